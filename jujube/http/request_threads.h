// A thread pool that serves whole requests.
#ifndef JUJUBE_HTTP_REQUEST_THREADS_H_
#define JUJUBE_HTTP_REQUEST_THREADS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/http/request_assembler.h"

namespace jujube::http {

// A request that has arrived as a whole.
struct PendingRequest {
  // Identifies the connection.
  uint64_t Connection = 0;
  AssembledRequest What;
  // Its part of the server's work bytes.
  std::size_t WorkBytes = 0;
};
using PendingRequestPtr = std::unique_ptr<PendingRequest>;

// A bounded pool whose threads are started on demand. A request occupies a
// thread until its response is made, because the commands block. Idle threads
// end after a timeout, so that memory use follows the load. Thread-safe.
class RequestThreads {
public:
  // Starts a detached thread that runs `body`; returns false if the system
  // can't create one.
  using StartThreadHook = std::function<bool(std::function<void()> body)>;

  struct Options {
    std::size_t MaxThreads = 640;
    // Maximum number of requests that wait for a thread.
    std::size_t MaxWaiting = 64;
    // An idle thread ends after this time.
    Duration IdleTimeout = Duration::seconds(10);
    // Serves a request; called on a pool thread.
    std::function<void(PendingRequestPtr)> Serve;
    // Called once after stop() when no thread is left; must not call the pool.
    std::function<void()> OnStopped;
    // Replaceable for tests.
    StartThreadHook StartThread = startDetachedThread;
  };

  explicit RequestThreads(Options options);
  // Calls stop() and waits until all threads have ended.
  ~RequestThreads();
  RequestThreads(const RequestThreads &) = delete;
  RequestThreads &operator=(const RequestThreads &) = delete;

  // Hands a request to a thread. Returns Overloaded and leaves `request`
  // unchanged if the pool is stopping, if all threads are busy and the queue is
  // full, or if there is no thread and none can be started.
  Status serve(PendingRequestPtr &request);

  // Refuses new requests; queued requests are still served.
  void stop();

private:
  static bool startDetachedThread(std::function<void()> body);

  struct State;
  std::shared_ptr<State> SharedState;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_REQUEST_THREADS_H_
