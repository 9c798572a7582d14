#include "jujube/runtime/task.h"

#include <pthread.h>

#include <exception>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace jujube::runtime {
namespace {

// Linux limits thread names to 15 characters.
constexpr std::size_t MaxThreadName = 15;

Status runCatchingExceptions(const TaskBody &body, TaskContext &context) {
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
  Clock TaskClock = Clock::monotonic();
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
      TaskContext context(thread.Name, thread.TaskClock, thread.StopRequest);
      outcome = runCatchingExceptions(thread.Body, context);
    }
    thread.OnExit(TaskExit{thread.Name, std::move(outcome)});
    return nullptr;
  }
};

Task::Task() : TaskThread(std::make_unique<Thread>()) {}

Task::~Task() {
  requestStop();
  join();
}

Result<std::unique_ptr<Task>>
Task::start(std::string name, Clock clock, TaskBody body,
            std::function<void(TaskExit)> onExit) {
  std::unique_ptr<Task> task(new Task());
  Thread &thread = *task->TaskThread;
  thread.Name = std::move(name);
  thread.TaskClock = std::move(clock);
  thread.Body = std::move(body);
  thread.OnExit = std::move(onExit);
  if (pthread_create(&thread.Handle, nullptr, Thread::main, &thread) != 0)
    return Error{ErrorKind::Internal,
                 absl::StrCat("cannot start a thread for task ", thread.Name),
                 "raise the process limit or free memory"};
  thread.IsJoined = false;
  return task;
}

void Task::requestStop() { TaskThread->StopRequest->raise(); }

void Task::join() {
  if (TaskThread->IsJoined)
    return;
  pthread_join(TaskThread->Handle, nullptr);
  TaskThread->IsJoined = true;
}

} // namespace jujube::runtime
