// The one place where a task blocks.
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

// Identifies a timer of one loop.
struct TimerId {
  Instant When;
  uint64_t Value = 0;
  auto operator<=>(const TimerId &) const = default;
};

// Waits on descriptors and timers and calls their handlers, all on the thread
// of the task that owns it. Handlers may add and remove watches and timers. The
// cost of a turn depends on the descriptors that are ready, not on all that are
// watched.
class PollLoop {
public:
  // Called with the poll(2) events that occurred.
  using EventHandler = std::function<void(short events)>;
  using TimerHandler = std::function<void()>;

  explicit PollLoop(Clock clock);

  // Watches `fd` for poll(2) events; replaces an earlier watch of it. A watch
  // has to be removed before its descriptor is closed.
  void watch(int fd, short events, EventHandler handler);
  void unwatch(int fd);

  // Calls `handler` for each message of `mailbox`, oldest first, at most `most`
  // of them a turn.
  template <typename Message>
  void watchMailbox(MailboxPtr<Message> mailbox,
                    std::function<void(Message)> handler,
                    std::size_t most = SIZE_MAX) {
    const int fd = mailbox->fd();
    watch(fd, POLLIN,
          [mailbox = std::move(mailbox), handler = std::move(handler),
           most](short) {
            for (Message &message : mailbox->drain(most))
              handler(std::move(message));
          });
  }

  // Calls `handler` once, at or after `when`.
  TimerId callAt(Instant when, TimerHandler handler);
  // Calls `handler` every `period` from now on.
  void callEvery(Duration period, TimerHandler handler);
  void cancel(TimerId id);

  // Calls `handler` at the end of every turn, once all events and timers that
  // were due have been handled; to do work for many events together.
  void onTurnEnd(TimerHandler handler) { TurnEnd = std::move(handler); }

  // Calls `begin` once a turn has something to do, and `end` after all of it,
  // also after onTurnEnd's handler; to account for the turn.
  void onTurn(TimerHandler begin, TimerHandler end) {
    TurnBegins = std::move(begin);
    TurnEnded = std::move(end);
  }

  // Blocks until an event or timer is due and handles all that are.
  Status runOnce();
  // Runs until stop() is called from a handler.
  Status run();
  void stop() { IsStopped = true; }

  // When the earliest timer is due; Instant::never() without one.
  Instant nextTimer() const {
    return Timers.empty() ? Instant::never() : Timers.begin()->first;
  }

  Instant now() const { return Source.now(); }
  const Clock &clock() const { return Source; }

private:
  struct Watch {
    short Events = 0;
    // Shared with the call that may remove the watch.
    std::shared_ptr<const EventHandler> Handler;
    // Tells a watch from a later one on a reused descriptor.
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

  // Tells the kernel what is watched; false if it does not take `fd`.
  bool control(int operation, int fd, short events) const;
  Result<std::vector<Ready>> await();
  void fireTimers();
  int timeoutMillis() const;

  Clock Source;
  FileDescriptor Epoll;
  absl::flat_hash_map<int, Watch> Watches;
  // Watched descriptors that epoll(7) does not take, and the events that
  // poll(2) would report of them at once.
  std::map<int, short> AlwaysReady;
  std::multimap<Instant, Timer> Timers;
  TimerHandler TurnEnd;
  TimerHandler TurnBegins;
  TimerHandler TurnEnded;
  uint64_t LastSerial = 0;
  uint64_t LastTimer = 0;
  bool IsStopped = false;
};

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_POLL_LOOP_H_
