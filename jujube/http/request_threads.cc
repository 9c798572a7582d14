#include "jujube/http/request_threads.h"

#include <pthread.h>

#include <deque>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace jujube::http {
namespace {

// The HTTP library's regular expressions recurse once per character, so the
// stack is large in case one of them gets to see a text. Only touched pages
// take memory.
constexpr std::size_t StackBytes = std::size_t{8} << 20;

void *runBody(void *argument) {
  const std::unique_ptr<std::function<void()>> body(
      static_cast<std::function<void()> *>(argument));
  pthread_setname_np(pthread_self(), "http-request");
  (*body)();
  return nullptr;
}

} // namespace

struct RequestThreads::State {
  explicit State(Options options) : Settings(std::move(options)) {}

  const Options Settings;
  absl::Mutex Mutex;
  std::deque<PendingRequestPtr> Waiting ABSL_GUARDED_BY(Mutex);
  std::size_t Threads ABSL_GUARDED_BY(Mutex) = 0;
  std::size_t IdleThreads ABSL_GUARDED_BY(Mutex) = 0;
  bool IsStopping ABSL_GUARDED_BY(Mutex) = false;

  // Blocks until a request is queued; null if the thread has to end.
  PendingRequestPtr waitForRequest() {
    absl::MutexLock lock(&Mutex);
    const auto hasWork = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
      return !Waiting.empty() || IsStopping;
    };
    ++IdleThreads;
    Mutex.AwaitWithTimeout(absl::Condition(&hasWork),
                           absl::Milliseconds(Settings.IdleTimeout.millis()));
    --IdleThreads;
    if (Waiting.empty()) {
      --Threads;
      reportIfStopped();
      return nullptr;
    }
    PendingRequestPtr request = std::move(Waiting.front());
    Waiting.pop_front();
    return request;
  }

  // Called with the lock held, so that the pool outlives the call.
  void reportIfStopped() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    if (IsStopping && Threads == 0)
      Settings.OnStopped();
  }

  void serveUntilIdle() {
    while (PendingRequestPtr request = waitForRequest())
      Settings.Serve(std::move(request));
  }

  // Starts a thread that shares ownership of the state. Returns false if it
  // can't be started.
  static bool startThread(const std::shared_ptr<State> &state)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(state->Mutex) {
    const bool isStarted =
        state->Settings.StartThread([state] { state->serveUntilIdle(); });
    if (isStarted)
      ++state->Threads;
    return isStarted;
  }
};

RequestThreads::RequestThreads(Options options)
    : SharedState(std::make_shared<State>(std::move(options))) {}

RequestThreads::~RequestThreads() {
  stop();
  State &state = *SharedState;
  absl::MutexLock lock(&state.Mutex);
  const auto areThreadsGone = [&state]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                                  state.Mutex) { return state.Threads == 0; };
  state.Mutex.Await(absl::Condition(&areThreadsGone));
}

bool RequestThreads::startDetachedThread(std::function<void()> body) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, StackBytes);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  auto argument = std::make_unique<std::function<void()>>(std::move(body));
  pthread_t thread{};
  const int failure =
      pthread_create(&thread, &attributes, runBody, argument.get());
  pthread_attr_destroy(&attributes);
  if (failure == 0)
    (void)argument.release();
  return failure == 0;
}

Status RequestThreads::serve(PendingRequestPtr &request) {
  const Error overloaded{ErrorKind::Overloaded,
                         "too many requests are in progress",
                         "retry later or at another entry host"};
  State &state = *SharedState;
  absl::MutexLock lock(&state.Mutex);
  if (state.IsStopping)
    return overloaded;
  const bool needsThread = state.IdleThreads <= state.Waiting.size();
  const bool mayGrow = state.Threads < state.Settings.MaxThreads;
  if (needsThread && !(mayGrow && State::startThread(SharedState))) {
    // The request has to wait for a busy thread to become free.
    if (state.Threads == 0 || state.Waiting.size() >= state.Settings.MaxWaiting)
      return overloaded;
  }
  state.Waiting.push_back(std::move(request));
  return Ok{};
}

void RequestThreads::stop() {
  absl::MutexLock lock(&SharedState->Mutex);
  if (!std::exchange(SharedState->IsStopping, true))
    SharedState->reportIfStopped();
}

} // namespace jujube::http
