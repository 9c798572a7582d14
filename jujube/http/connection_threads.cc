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

  static void *main(void *argument) {
    const std::unique_ptr<std::shared_ptr<State>> owned(
        static_cast<std::shared_ptr<State> *>(argument));
    State &state = **owned;
    pthread_setname_np(pthread_self(), "http-conn");
    while (ConnectionPtr connection = state.next())
      state.Settings.Serve(std::move(connection));
    return nullptr;
  }

  // Starts a detached thread, which keeps the state alive.
  static bool startThread(const std::shared_ptr<State> &state) {
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, StackBytes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    auto argument = std::make_unique<std::shared_ptr<State>>(state);
    pthread_t thread{};
    const int failure =
        pthread_create(&thread, &attributes, main, argument.get());
    pthread_attr_destroy(&attributes);
    if (failure == 0)
      (void)argument.release();
    return failure == 0;
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

Status ConnectionThreads::serve(ConnectionPtr &connection) {
  State &state = *Shared;
  bool needsThread = false;
  bool isSaturated = false;
  {
    absl::MutexLock lock(&state.Mutex);
    needsThread = state.IdleThreads <= state.Waiting.size();
    isSaturated = needsThread && state.Threads >= state.Settings.MaxThreads;
    if (state.IsStopping ||
        (isSaturated && state.Waiting.size() >= state.Settings.MaxWaiting))
      return Error{ErrorKind::Overloaded, "too many requests are in progress",
                   "retry later or at another entry host"};
    state.Waiting.push_back(std::move(connection));
    if (needsThread && !isSaturated)
      ++state.Threads;
  }
  if (needsThread && !isSaturated && !State::startThread(Shared)) {
    // The connection waits for a thread that becomes free.
    absl::MutexLock lock(&state.Mutex);
    --state.Threads;
  }
  return Ok{};
}

void ConnectionThreads::stop() {
  absl::MutexLock lock(&Shared->Mutex);
  if (!std::exchange(Shared->IsStopping, true))
    Shared->reportIfStopped();
}

} // namespace jujube::http
