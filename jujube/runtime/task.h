// Tasks: POSIX threads that own their state and their sockets.
#ifndef JUJUBE_RUNTIME_TASK_H_
#define JUJUBE_RUNTIME_TASK_H_

#include <functional>
#include <memory>
#include <string>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/poll_loop.h"
#include "jujube/runtime/signal_event.h"

namespace jujube::runtime {

// What the body of a task gets from its supervisor.
class TaskContext {
public:
  TaskContext(std::string name, Clock clock,
              std::shared_ptr<SignalEvent> stopRequest);

  const std::string &name() const { return Name; }
  PollLoop &loop() { return Loop; }
  Instant now() const { return Loop.now(); }

  // Called on the task's thread when it is asked to stop. The default ends the
  // loop at once; a task that has work in progress sets its own and calls
  // loop().stop() once that is done.
  void onStop(std::function<void()> handler) {
    StopHandler = std::move(handler);
  }

private:
  std::string Name;
  PollLoop Loop;
  std::shared_ptr<SignalEvent> StopRequest;
  std::function<void()> StopHandler;
};

// The work of a task. It builds its state anew, runs context.loop() and returns
// when it is asked to stop, or with an error, after which its supervisor
// restarts it by policy. Exceptions count as errors.
using TaskBody = std::function<Status(TaskContext &)>;

// Tells how a task ended.
struct TaskExit {
  std::string Name;
  Status Outcome;
};

// One running thread. It has to be joined before it is destroyed.
class Task {
public:
  // Starts a thread that runs `body` and then calls `onExit` as its last act.
  static Result<std::unique_ptr<Task>>
  start(std::string name, Clock clock, TaskBody body,
        std::function<void(TaskExit)> onExit);
  ~Task();
  Task(const Task &) = delete;
  Task &operator=(const Task &) = delete;

  // Asks the body to stop; returns at once.
  void requestStop();
  // Waits until the thread has ended.
  void join();

private:
  struct Thread;
  Task();
  std::unique_ptr<Thread> Running;
};

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_TASK_H_
