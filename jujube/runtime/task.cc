#include "jujube/runtime/task.h"

#include <pthread.h>

#include <exception>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace jujube::runtime {
namespace {

// Linux keeps 15 characters of a thread's name.
constexpr std::size_t MaxThreadName = 15;

Status runGuarded(const TaskBody &body, TaskContext &context) {
  try {
    return body(context);
  } catch (const std::exception &e) {
    return Error{ErrorKind::Internal, absl::StrCat("exception: ", e.what()),
                 "report it with the log of this process"};
  }
}

} // namespace

TaskContext::TaskContext(std::string name, Clock clock,
                         std::shared_ptr<SignalEvent> stopRequest)
    : Name(std::move(name)), Loop(std::move(clock)),
      StopRequest(std::move(stopRequest)),
      StopHandler([this] { Loop.stop(); }) {
  Loop.watch(StopRequest->fd(), POLLIN, [this](short) {
    Loop.unwatch(StopRequest->fd());
    StopHandler();
  });
}

struct Task::Thread {
  std::string Name;
  Clock Source = Clock::monotonic();
  TaskBody Body;
  std::function<void(TaskExit)> OnExit;
  std::shared_ptr<SignalEvent> StopRequest = std::make_shared<SignalEvent>();
  pthread_t Handle{};
  bool IsJoined = true;

  static void *main(void *self) {
    auto &thread = *static_cast<Thread *>(self);
    pthread_setname_np(pthread_self(),
                       thread.Name.substr(0, MaxThreadName).c_str());
    Status outcome = Ok{};
    {
      TaskContext context(thread.Name, thread.Source, thread.StopRequest);
      outcome = runGuarded(thread.Body, context);
    }
    thread.OnExit(TaskExit{thread.Name, std::move(outcome)});
    return nullptr;
  }
};

Task::Task() : Running(std::make_unique<Thread>()) {}

Task::~Task() {
  requestStop();
  join();
}

Result<std::unique_ptr<Task>>
Task::start(std::string name, Clock clock, TaskBody body,
            std::function<void(TaskExit)> onExit) {
  std::unique_ptr<Task> task(new Task());
  Thread &thread = *task->Running;
  thread.Name = std::move(name);
  thread.Source = std::move(clock);
  thread.Body = std::move(body);
  thread.OnExit = std::move(onExit);
  if (pthread_create(&thread.Handle, nullptr, Thread::main, &thread) != 0)
    return Error{ErrorKind::Internal,
                 absl::StrCat("no thread for task ", thread.Name),
                 "raise the limit of processes or free memory"};
  thread.IsJoined = false;
  return task;
}

void Task::requestStop() { Running->StopRequest->raise(); }

void Task::join() {
  if (Running->IsJoined)
    return;
  pthread_join(Running->Handle, nullptr);
  Running->IsJoined = true;
}

} // namespace jujube::runtime
