// A thread pool that serves the requests of connections.
#ifndef JUJUBE_HTTP_CONNECTION_THREADS_H_
#define JUJUBE_HTTP_CONNECTION_THREADS_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/http/connection.h"

namespace jujube::http {

// A bounded pool whose threads are started on demand. A request occupies a
// thread until its response is written, because the HTTP library and the
// commands block. Idle threads end after a timeout, so that memory use follows
// the load. Thread-safe.
class ConnectionThreads {
public:
  // Starts a detached thread that runs `body`; returns false if the system
  // can't create one.
  using StartThreadHook = std::function<bool(std::function<void()> body)>;

  struct Options {
    std::size_t MaxThreads = 640;
    // Maximum number of connections with a request that wait for a thread.
    std::size_t MaxWaiting = 64;
    // An idle thread ends after this time.
    Duration IdleTimeout = Duration::seconds(10);
    // Serves the requests of a connection; called on a pool thread.
    std::function<void(ConnectionPtr)> Serve;
    // Called once after stop() when no thread is left; must not call the pool.
    std::function<void()> OnStopped;
    // Replaceable for tests.
    StartThreadHook StartThread = startDetachedThread;
  };

  explicit ConnectionThreads(Options options);
  // Calls stop() and waits until all threads have ended.
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads &) = delete;
  ConnectionThreads &operator=(const ConnectionThreads &) = delete;

  // Hands a connection to a thread. Returns Overloaded and leaves `connection`
  // unchanged if the pool is stopping, if all threads are busy and the queue is
  // full, or if there is no thread and none can be started.
  Status serve(ConnectionPtr &connection);

  // Refuses new connections; queued connections are still served.
  void stop();

private:
  static bool startDetachedThread(std::function<void()> body);

  struct State;
  std::shared_ptr<State> SharedState;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_CONNECTION_THREADS_H_
