// A one-shot reply to a message, for threads that have no mailbox.
#ifndef JUJUBE_RUNTIME_REPLY_SLOT_H_
#define JUJUBE_RUNTIME_REPLY_SLOT_H_

#include <memory>
#include <optional>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"

namespace jujube::runtime {

// Holds at most one value. Threads of the HTTP library block on it until the
// task to which they sent a message replies.
template <typename T> class ReplySlot {
public:
  // Stores the reply. Calls after the first have no effect.
  void set(T value) ABSL_LOCKS_EXCLUDED(Mutex) {
    absl::MutexLock lock(&Mutex);
    if (!Value)
      Value = std::move(value);
  }

  // Blocks until a value is set. Returns DeadlineExceeded if `timeout` passes
  // first.
  Result<T> wait(Duration timeout) ABSL_LOCKS_EXCLUDED(Mutex) {
    absl::MutexLock lock(&Mutex);
    const auto isSet = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
      return Value.has_value();
    };
    if (!Mutex.AwaitWithTimeout(absl::Condition(&isSet),
                                absl::Milliseconds(timeout.millis())))
      return Error{
          ErrorKind::DeadlineExceeded, "no reply within the deadline",
          "query the fate of the request, or resend it with the same id"};
    return *Value;
  }

private:
  absl::Mutex Mutex;
  std::optional<T> Value ABSL_GUARDED_BY(Mutex);
};

template <typename T> using ReplySlotPtr = std::shared_ptr<ReplySlot<T>>;

template <typename T> ReplySlotPtr<T> makeReplySlot() {
  return std::make_shared<ReplySlot<T>>();
}

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_REPLY_SLOT_H_
