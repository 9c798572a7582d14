// Bounded message queues between tasks.
#ifndef JUJUBE_RUNTIME_MAILBOX_H_
#define JUJUBE_RUNTIME_MAILBOX_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <memory>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "jujube/base/result.h"
#include "jujube/runtime/signal_event.h"

namespace jujube::runtime {

// A multi-producer, single-consumer queue. It outlives restarts of the
// consuming task, so that the pointers that senders hold stay valid.
template <typename Message> class Mailbox {
public:
  explicit Mailbox(std::size_t capacity) : Capacity(capacity) {}

  // Enqueues a message. Returns Overloaded if the mailbox is full; the sender
  // decides whether to drop the message, retry, or return the error to its own
  // caller.
  Status post(Message message) ABSL_LOCKS_EXCLUDED(Mutex) {
    absl::MutexLock lock(&Mutex);
    if (Queue.size() >= Capacity)
      return Error{ErrorKind::Overloaded, "the mailbox is full", "retry later"};
    Queue.push_back(std::move(message));
    if (Queue.size() == 1)
      Event.raise();
    return Ok{};
  }

  // Removes and returns up to `maxMessages` messages, oldest first. fd() stays
  // readable while messages remain.
  std::deque<Message> drain(std::size_t maxMessages = SIZE_MAX)
      ABSL_LOCKS_EXCLUDED(Mutex) {
    absl::MutexLock lock(&Mutex);
    if (Queue.size() <= maxMessages) {
      Event.clear();
      return std::exchange(Queue, {});
    }
    const auto end = Queue.begin() + static_cast<std::ptrdiff_t>(maxMessages);
    std::deque<Message> taken(std::make_move_iterator(Queue.begin()),
                              std::make_move_iterator(end));
    Queue.erase(Queue.begin(), end);
    return taken;
  }

  // Returns a descriptor that is readable while messages are queued.
  int fd() const { return Event.fd(); }

private:
  const std::size_t Capacity;
  SignalEvent Event;
  absl::Mutex Mutex;
  std::deque<Message> Queue ABSL_GUARDED_BY(Mutex);
};

// Shared by the senders and the consuming task.
template <typename Message>
using MailboxPtr = std::shared_ptr<Mailbox<Message>>;

template <typename Message>
MailboxPtr<Message> makeMailbox(std::size_t capacity) {
  return std::make_shared<Mailbox<Message>>(capacity);
}

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_MAILBOX_H_
