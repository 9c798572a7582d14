#include "jujube/control/admission_queue.h"

#include <utility>

namespace jujube::control {

void AdmissionQueue::push(Entry entry, Instant now) {
  Entries.push_back({now, std::move(entry)});
}

void AdmissionQueue::serve(Instant now) {
  const Error overloaded{ErrorKind::Overloaded, "the leader is overloaded",
                         "resend it later"};
  std::size_t runs = 0;
  std::size_t sheds = 0;
  while (!Entries.empty() && runs < MaxRuns && sheds < MaxSheds) {
    const QueuedEntry oldest = std::move(Entries.front());
    Entries.pop_front();
    if (now - oldest.ArrivalTime > MaxWait) {
      ++sheds;
      oldest.Command.Shed(overloaded);
    } else {
      ++runs;
      oldest.Command.Run();
    }
  }
}

} // namespace jujube::control
