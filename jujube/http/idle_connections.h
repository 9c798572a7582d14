// The connections that wait for their next request.
#ifndef JUJUBE_HTTP_IDLE_CONNECTIONS_H_
#define JUJUBE_HTTP_IDLE_CONNECTIONS_H_

#include <list>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace jujube::http {

// Lets the owner of the listening socket end waits of connection threads: to
// make room for a new connection, or to stop. A wait is ended by shutting the
// receiving side of its socket, so a request that has arrived is still read.
class IdleConnections {
public:
  // Called by a connection's thread before it waits. Returns false if the
  // server is stopping; the thread then serves what has arrived and ends.
  bool enter(int fd) ABSL_LOCKS_EXCLUDED(Mutex);
  // Called when the wait is over, before the socket is closed.
  void leave(int fd) ABSL_LOCKS_EXCLUDED(Mutex);

  // Ends the longest wait; returns false if no connection waits.
  bool endLongest() ABSL_LOCKS_EXCLUDED(Mutex);
  // Ends all waits, also those to come.
  void endAll() ABSL_LOCKS_EXCLUDED(Mutex);

private:
  absl::Mutex Mutex;
  // Longest wait first.
  std::list<int> Waiting ABSL_GUARDED_BY(Mutex);
  bool IsStopping ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_IDLE_CONNECTIONS_H_
