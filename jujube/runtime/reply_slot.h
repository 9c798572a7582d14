// The answer to one message, waited for by a thread that has no mailbox.
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

// Holds at most one value. The threads of the HTTP library wait on it for the
// answer of the task that they sent a message to.
template <typename T> class ReplySlot {
public:
  // Sets the value; later values are ignored.
  void set(T value) ABSL_LOCKS_EXCLUDED(Mutex) {
    absl::MutexLock lock(&Mutex);
    if (!Value)
      Value = std::move(value);
  }

  // Blocks until a value is there or `timeout` has passed.
  Result<T> wait(Duration timeout) ABSL_LOCKS_EXCLUDED(Mutex) {
    absl::MutexLock lock(&Mutex);
    const auto isSet = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
      return Value.has_value();
    };
    if (!Mutex.AwaitWithTimeout(absl::Condition(&isSet),
                                absl::Milliseconds(timeout.millis())))
      return Error{
          ErrorKind::DeadlineExceeded, "no answer in time",
          "ask for the fate of the request, or resend it with the same id"};
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
