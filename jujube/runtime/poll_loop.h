// The event loop of a task, the only place where the task blocks.
#ifndef JUJUBE_RUNTIME_POLL_LOOP_H_
#define JUJUBE_RUNTIME_POLL_LOOP_H_

#include <poll.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "jujube/base/clock.h"
#include "jujube/runtime/file_descriptor.h"
#include "jujube/runtime/mailbox.h"

namespace jujube::runtime {

// Identifies a timer within a loop.
struct TimerId {
  Instant When;
  uint64_t Value = 0;
  auto operator<=>(const TimerId &) const = default;
};

// Waits for file descriptors and timers and calls their handlers on the thread
// of the task that owns the loop. Not thread-safe. Handlers may add and remove
// watches and timers. An iteration of the loop is called a turn; its cost
// depends on the number of ready descriptors, not of watched descriptors.
class PollLoop {
public:
  // Receives the poll(2) events that occurred.
  using EventHandler = std::function<void(short events)>;
  using TimerHandler = std::function<void()>;

  explicit PollLoop(Clock clock);

  // Watches `fd` for poll(2) events and replaces an earlier watch of `fd`. The
  // watch must be removed before the descriptor is closed.
  void watch(int fd, short events, EventHandler handler);
  void unwatch(int fd);

  // Calls `handler` for each message of `mailbox`, oldest first, for at most
  // `maxPerTurn` messages per turn.
  template <typename Message>
  void watchMailbox(MailboxPtr<Message> mailbox,
                    std::function<void(Message)> handler,
                    std::size_t maxPerTurn = SIZE_MAX) {
    const int fd = mailbox->fd();
    watch(fd, POLLIN,
          [mailbox = std::move(mailbox), handler = std::move(handler),
           maxPerTurn](short) {
            for (Message &message : mailbox->drain(maxPerTurn))
              handler(std::move(message));
          });
  }

  // Calls `handler` once, at or after `when`. The id can be passed to cancel().
  TimerId callAt(Instant when, TimerHandler handler);
  // Calls `handler` repeatedly, first after `period` and then `period` after
  // each call returns.
  void callEvery(Duration period, TimerHandler handler);
  void cancel(TimerId id);

  // Calls `handler` at the end of every turn, after all due events and timers
  // have been handled. Used to batch work for many events.
  void onTurnEnd(TimerHandler handler) { TurnEndHandler = std::move(handler); }

  // Calls `begin` after the wait of a turn and before its first handler, and
  // `end` after the last handler, including onTurnEnd's. Used to measure turns.
  void onTurn(TimerHandler begin, TimerHandler end) {
    BeforeTurnHandler = std::move(begin);
    AfterTurnHandler = std::move(end);
  }

  // Runs one turn: blocks until an event or a timer is due, but for at most one
  // minute, and calls the handlers of all that are due.
  Status runOnce();
  // Runs turns until a handler calls stop().
  Status run();
  void stop() { IsStopped = true; }

  // Returns the due time of the earliest timer, or Instant::never() if there is
  // no timer.
  Instant nextTimer() const {
    return Timers.empty() ? Instant::never() : Timers.begin()->first;
  }

  Instant now() const { return LoopClock.now(); }
  const Clock &clock() const { return LoopClock; }

private:
  struct Watch {
    short Events = 0;
    // Shared, so that a handler that removes its own watch stays alive until it
    // returns.
    std::shared_ptr<const EventHandler> Handler;
    // Distinguishes this watch from a later watch of a reused descriptor.
    uint64_t Serial = 0;
  };
  struct Ready {
    int Fd = -1;
    short Events = 0;
    uint64_t Serial = 0;
  };
  struct Timer {
    TimerId Id;
    TimerHandler Handler;
  };

  // Calls epoll_ctl(2). Returns false and leaves errno set if it fails.
  bool updateEpoll(int operation, int fd, short events) const;
  Result<std::vector<Ready>> waitForEvents();
  void fireTimers();
  int timeoutMillis() const;

  Clock LoopClock;
  FileDescriptor Epoll;
  absl::flat_hash_map<int, Watch> Watches;
  // Watched descriptors that epoll(7) does not support, and the events that
  // poll(2) would report for them immediately.
  std::map<int, short> AlwaysReady;
  std::multimap<Instant, Timer> Timers;
  TimerHandler TurnEndHandler;
  TimerHandler BeforeTurnHandler;
  TimerHandler AfterTurnHandler;
  uint64_t LastSerial = 0;
  uint64_t LastTimer = 0;
  bool IsStopped = false;
};

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_POLL_LOOP_H_
