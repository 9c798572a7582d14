// Tasks: threads that own their state and sockets and communicate by messages.
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

// The environment of a running task, passed to its body. Use it only on the
// thread of the task.
class TaskContext {
public:
  TaskContext(std::string name, Clock clock,
              std::shared_ptr<SignalEvent> stopRequest);

  const std::string &name() const { return Name; }
  PollLoop &loop() { return Loop; }
  Instant now() const { return Loop.now(); }

  // Sets the handler that runs on the thread of the task when a stop is
  // requested. The default handler stops the loop. A task with work in progress
  // sets its own handler and calls loop().stop() when the work is complete.
  void onStop(std::function<void()> handler) {
    StopHandler = std::move(handler);
  }

private:
  std::string Name;
  PollLoop Loop;
  std::shared_ptr<SignalEvent> StopRequest;
  std::function<void()> StopHandler;
};

// The body of a task. It creates its state, runs context.loop() and returns Ok
// when it is asked to stop. If it returns an error, its supervisor restarts it
// by policy. An exception is converted to an error.
using TaskBody = std::function<Status(TaskContext &)>;

// The result of a task that has ended.
struct TaskExit {
  std::string Name;
  Status Outcome;
};

// A task that runs on its own thread. The destructor requests a stop and joins
// the thread.
class Task {
public:
  // Starts a thread that runs `body` and then calls `onExit`.
  static Result<std::unique_ptr<Task>>
  start(std::string name, Clock clock, TaskBody body,
        std::function<void(TaskExit)> onExit);
  ~Task();
  Task(const Task &) = delete;
  Task &operator=(const Task &) = delete;

  // Requests a stop without waiting for it.
  void requestStop();
  // Blocks until the thread has ended. Later calls have no effect.
  void join();

private:
  struct Thread;
  Task();
  std::unique_ptr<Thread> TaskThread;
};

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_TASK_H_
