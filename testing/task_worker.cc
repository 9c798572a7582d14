#include "testing/task_worker.h"

#include <utility>

namespace jujube::testing {
namespace {

constexpr Duration RetryPause = Duration::millis(200);
constexpr Duration ChangesPause = Duration::millis(10);

} // namespace

void TaskWorker::send(fate::WorkerSync sync, std::function<void()> next) {
  const Instant sentAt = Loop.now();
  Sync(std::move(sync), [this, sentAt, next = std::move(next)](
                            const Result<fate::SyncReply> &reply) {
    if (isOk(reply))
      Worker.apply(valueOf(reply), sentAt, Loop.now());
    const Duration pause = isOk(reply) ? Duration() : RetryPause;
    Loop.callAt(Loop.now() + pause, [this, next] {
      next();
      settle();
    });
  });
}

void TaskWorker::sendPending() {
  send(Worker.sync(Loop.now()), [this] { sendPending(); });
}

void TaskWorker::sendChanges() {
  IsChangesSyncBusy = true;
  send(Worker.takeChanges(), [this] {
    Loop.callAt(Loop.now() + ChangesPause, [this] {
      IsChangesSyncBusy = false;
      settle();
    });
  });
}

void TaskWorker::settle() {
  Worker.tick(Loop.now());
  for (const RunEvent &event : Worker.takeEvents())
    Log.record(event);
  if (!IsChangesSyncBusy && Worker.takeHasChanges())
    sendChanges();
  if (Timer)
    Loop.cancel(*Timer);
  Timer.reset();
  if (const Instant next = Worker.nextWake(); next < Instant::never())
    Timer = Loop.callAt(next, [this] {
      Timer.reset();
      settle();
    });
}

} // namespace jujube::testing
