#include "jujube/http/connection_threads.h"

#include <pthread.h>

#include <deque>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace jujube::http {
namespace {

// Regular expressions of the HTTP library recurse over a header's characters;
// only the pages that are touched take memory.
constexpr std::size_t StackBytes = std::size_t{8} << 20;

void *runBody(void *argument) {
  const std::unique_ptr<std::function<void()>> body(
      static_cast<std::function<void()> *>(argument));
  pthread_setname_np(pthread_self(), "http-conn");
  (*body)();
  return nullptr;
}

} // namespace

struct ConnectionThreads::State {
  explicit State(Options options) : Settings(std::move(options)) {}

  const Options Settings;
  absl::Mutex Mutex;
  std::deque<ConnectionPtr> Waiting ABSL_GUARDED_BY(Mutex);
  std::size_t Threads ABSL_GUARDED_BY(Mutex) = 0;
  std::size_t IdleThreads ABSL_GUARDED_BY(Mutex) = 0;
  bool IsStopping ABSL_GUARDED_BY(Mutex) = false;

  // Blocks until there is a connection; null if the thread has to end.
  ConnectionPtr next() {
    absl::MutexLock lock(&Mutex);
    const auto hasWork = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
      return !Waiting.empty() || IsStopping;
    };
    ++IdleThreads;
    Mutex.AwaitWithTimeout(absl::Condition(&hasWork),
                           absl::Milliseconds(Settings.IdleThread.millis()));
    --IdleThreads;
    if (Waiting.empty()) {
      --Threads;
      reportIfStopped();
      return nullptr;
    }
    ConnectionPtr connection = std::move(Waiting.front());
    Waiting.pop_front();
    return connection;
  }

  // Under the lock, so that the pool outlives the call.
  void reportIfStopped() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    if (IsStopping && Threads == 0)
      Settings.OnStopped();
  }

  void serveUntilIdle() {
    while (ConnectionPtr connection = next())
      Settings.Serve(std::move(connection));
  }

  // Starts a thread, which keeps the state alive.
  static bool grow(const std::shared_ptr<State> &state)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(state->Mutex) {
    const bool isStarted =
        state->Settings.StartThread([state] { state->serveUntilIdle(); });
    if (isStarted)
      ++state->Threads;
    return isStarted;
  }
};

ConnectionThreads::ConnectionThreads(Options options)
    : Shared(std::make_shared<State>(std::move(options))) {}

ConnectionThreads::~ConnectionThreads() {
  stop();
  State &state = *Shared;
  absl::MutexLock lock(&state.Mutex);
  const auto areThreadsGone = [&state]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                                  state.Mutex) { return state.Threads == 0; };
  state.Mutex.Await(absl::Condition(&areThreadsGone));
}

bool ConnectionThreads::startDetachedThread(std::function<void()> body) {
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

Status ConnectionThreads::serve(ConnectionPtr &connection) {
  const Error overloaded{ErrorKind::Overloaded,
                         "too many requests are in progress",
                         "retry later or at another entry host"};
  State &state = *Shared;
  absl::MutexLock lock(&state.Mutex);
  if (state.IsStopping)
    return overloaded;
  const bool needsThread = state.IdleThreads <= state.Waiting.size();
  const bool mayGrow = state.Threads < state.Settings.MaxThreads;
  if (needsThread && !(mayGrow && State::grow(Shared))) {
    // It can only wait for a thread that becomes free.
    if (state.Threads == 0 || state.Waiting.size() >= state.Settings.MaxWaiting)
      return overloaded;
  }
  state.Waiting.push_back(std::move(connection));
  return Ok{};
}

void ConnectionThreads::stop() {
  absl::MutexLock lock(&Shared->Mutex);
  if (!std::exchange(Shared->IsStopping, true))
    Shared->reportIfStopped();
}

} // namespace jujube::http
