// An event that a task can wait for in its poll loop.
#ifndef JUJUBE_RUNTIME_SIGNAL_EVENT_H_
#define JUJUBE_RUNTIME_SIGNAL_EVENT_H_

#include "jujube/runtime/file_descriptor.h"

namespace jujube::runtime {

// A level-triggered flag, implemented with an eventfd. Any thread may raise it;
// the waiting task clears it.
class SignalEvent {
public:
  SignalEvent();

  void raise();
  void clear();
  // Returns a descriptor that is readable while the event is raised.
  int fd() const { return Event.get(); }

private:
  FileDescriptor Event;
};

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_SIGNAL_EVENT_H_
