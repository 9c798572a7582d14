// A stand-in worker that talks to an entry host's task over a fake wire.
#ifndef TESTING_TASK_WORKER_H_
#define TESTING_TASK_WORKER_H_

#include <functional>
#include <optional>

#include "jujube/base/result.h"
#include "jujube/runtime/poll_loop.h"
#include "testing/standin_run_log.h"
#include "testing/standin_worker.h"

namespace jujube::testing {

// Keeps one sync pending and reports changes at once, as the stand-in process
// does.
class TaskWorker {
public:
  using ReplyHook = std::function<void(Result<fate::SyncReply>)>;
  using SyncHook = std::function<void(fate::WorkerSync, ReplyHook)>;

  TaskWorker(StandinWorkerOptions options, runtime::PollLoop &loop,
             SyncHook sync, RunLog &log)
      : Worker(std::move(options)), Loop(loop), Sync(std::move(sync)),
        Log(log) {}

  void start() { sendPending(); }
  const WorkerStats &stats() const { return Worker.stats(); }

private:
  void sendPending();
  void sendChanges();
  void send(fate::WorkerSync sync, std::function<void()> next);
  void settle();

  StandinWorker Worker;
  runtime::PollLoop &Loop;
  SyncHook Sync;
  RunLog &Log;
  bool IsChangesSyncBusy = false;
  std::optional<runtime::TimerId> Timer;
};

} // namespace jujube::testing

#endif // TESTING_TASK_WORKER_H_
