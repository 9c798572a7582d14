// Threads that serve the requests of connections, started when they are needed.
#ifndef JUJUBE_HTTP_CONNECTION_THREADS_H_
#define JUJUBE_HTTP_CONNECTION_THREADS_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/http/connection.h"

namespace jujube::http {

// A bounded pool. A request occupies a thread until it is answered, because the
// HTTP library and the commands block; a thread without work ends after a
// while, so that memory follows the load.
class ConnectionThreads {
public:
  // Starts a detached thread that runs the body; false if the system has none.
  using StartThreadHook = std::function<bool(std::function<void()> body)>;

  struct Options {
    std::size_t MaxThreads = 640;
    // Connections with a request that wait for a thread; more are refused.
    std::size_t MaxWaiting = 64;
    Duration IdleThread = Duration::seconds(10);
    // Serves a connection, on a thread of the pool.
    std::function<void(ConnectionPtr)> Serve;
    // Called once no thread is left after stop(); must not call the pool.
    std::function<void()> OnStopped;
    // Tests set their own.
    StartThreadHook StartThread = startDetachedThread;
  };

  explicit ConnectionThreads(Options options);
  // Stops and waits until all threads have ended.
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads &) = delete;
  ConnectionThreads &operator=(const ConnectionThreads &) = delete;

  // Hands a connection to a thread. Returns Overloaded, leaving `connection`
  // as it was, if all threads are taken and too many connections wait, or if
  // there is no thread and none can be started.
  Status serve(ConnectionPtr &connection);

  // Takes no more connections; serves those that it has.
  void stop();

private:
  static bool startDetachedThread(std::function<void()> body);

  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_CONNECTION_THREADS_H_
