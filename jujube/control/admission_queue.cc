#include "jujube/control/admission_queue.h"

#include <utility>

namespace jujube::control {

void AdmissionQueue::push(Entry entry, Instant now) {
  Entries.push_back({now, std::move(entry)});
}

void AdmissionQueue::serve(Instant now) {
  const Error late{ErrorKind::Overloaded, "the leader is behind",
                   "resend it later"};
  std::size_t runs = 0;
  std::size_t sheds = 0;
  while (!Entries.empty() && runs < MaxRuns && sheds < MaxSheds) {
    const Held oldest = std::move(Entries.front());
    Entries.pop_front();
    if (now - oldest.Arrived > Patience) {
      ++sheds;
      oldest.What.Shed(late);
    } else {
      ++runs;
      oldest.What.Run();
    }
  }
}

} // namespace jujube::control
