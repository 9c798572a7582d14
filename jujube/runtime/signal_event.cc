#include "jujube/runtime/signal_event.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

#include "glog/logging.h"

namespace jujube::runtime {

SignalEvent::SignalEvent() : Event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  PCHECK(Event.isOpen()) << "eventfd failed; raise the limit of open files";
}

void SignalEvent::raise() {
  const uint64_t one = 1;
  // Fails only if the counter is at its maximum; the event is raised then.
  (void)!write(Event.get(), &one, sizeof one);
}

void SignalEvent::clear() {
  uint64_t count = 0;
  (void)!read(Event.get(), &count, sizeof count);
}

} // namespace jujube::runtime
