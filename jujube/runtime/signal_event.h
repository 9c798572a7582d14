// An event that a poll loop can wait for.
#ifndef JUJUBE_RUNTIME_SIGNAL_EVENT_H_
#define JUJUBE_RUNTIME_SIGNAL_EVENT_H_

#include "jujube/runtime/file_descriptor.h"

namespace jujube::runtime {

// A level-triggered flag on an eventfd. Any thread may raise it; the waiting
// task clears it.
class SignalEvent {
public:
  SignalEvent();

  void raise();
  void clear();
  // Readable while raised.
  int fd() const { return Event.get(); }

private:
  FileDescriptor Event;
};

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_SIGNAL_EVENT_H_
