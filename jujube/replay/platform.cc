#include "jujube/replay/platform.h"

#include <algorithm>
#include <tuple>

namespace jujube::replay {
namespace {

using placement::EndKind;

// Time from the start of a failing task to its failure.
constexpr Duration FailDelay = Duration::seconds(1);
// Multiplier that spreads the run times of a request's tasks evenly.
constexpr uint32_t SpreadStep = 37;
constexpr uint32_t SpreadSteps = 101;

} // namespace

void Platform::add(const SubmitRecord &record, const catalogue::Entry &entry,
                   Instant now) {
  LiveRequest &request = Requests[record.Request];
  request.Submitted = record;
  request.Entry = entry;
  request.AcceptedAt = now;
  request.Tasks.resize(record.Tasks);
}

void Platform::setFailing(const WorkerId &worker, bool isFailing) {
  if (isFailing)
    Failing.insert(worker);
  else
    Failing.erase(worker);
}

void Platform::loseWorker(const WorkerId &worker, Instant now) {
  for (const TaskId &id : OnWorker[worker]) {
    task(id).IsWorkerLost = true;
    schedule(Delays.LeaseDelay, TimerCause::Lease, id, now);
  }
}

void Platform::offer(const TaskId &id, const WorkerId &worker,
                     const Resources &grant, Instant now) {
  LiveTask &live = task(id);
  ++live.Attempt;
  live.IsPlaced = true;
  live.IsWorkerLost = false;
  live.Worker = worker;
  live.Grant = grant;
  OnWorker[worker].insert(id);
  schedule(Delays.OfferDelay, TimerCause::Start, id, now);
}

void Platform::stop(const TaskId &id, bool savesProgress, Instant now) {
  schedule(savesProgress ? Delays.CheckpointDelay : Delays.StopDelay,
           savesProgress ? TimerCause::Checkpoint : TimerCause::Stop, id, now);
}

Instant Platform::nextAt() const {
  return Timers.empty() ? Instant::never() : Timers.top().At;
}

void Platform::schedule(Duration delay, TimerCause why, const TaskId &id,
                        Instant now) {
  Timers.push({now + delay, NextSeq++, why, id, task(id).Attempt});
}

bool Platform::isStale(const Timer &timer) const {
  const LiveTask &live =
      Requests.at(timer.Task.Request).Tasks[timer.Task.Index];
  return !live.IsPlaced || live.Attempt != timer.Attempt ||
         (live.IsWorkerLost && timer.Why != TimerCause::Lease);
}

std::vector<TaskEvent> Platform::takeDue(Instant now) {
  std::vector<TaskEvent> events;
  while (nextAt() <= now) {
    const Timer timer = Timers.top();
    Timers.pop();
    if (!isStale(timer))
      events.push_back(apply(timer, now));
  }
  return events;
}

TaskEvent Platform::apply(const Timer &timer, Instant now) {
  const TaskId &id = timer.Task;
  const LiveRequest &request = Requests.at(id.Request);
  if (timer.Why == TimerCause::Start) {
    start(id, now);
    return {TaskEventKind::Started, id};
  }
  if (timer.Why == TimerCause::Usage) {
    schedule(Delays.UsagePeriod, TimerCause::Usage, id, now);
    return {TaskEventKind::Measured, id,
            useOf(request, request.Tasks[id.Index])};
  }
  return endAttempt(id, timer.Why, now);
}

Resources Platform::useOf(const LiveRequest &request,
                          const LiveTask &task) const {
  Resources use = request.Submitted.Use;
  if (request.Entry.CanThrottle)
    use.MilliCpu = std::min(use.MilliCpu, task.Grant.MilliCpu);
  return use;
}

// Throttling prolongs a task in proportion to the missing processor time.
Duration Platform::runOf(const LiveRequest &request, uint32_t index) const {
  const SubmitRecord &record = request.Submitted;
  const int64_t percent = 100 - record.RunSpread +
                          int64_t{2} * record.RunSpread *
                              (index * SpreadStep % SpreadSteps) / SpreadSteps;
  const Duration run = record.Run * percent / 100;
  const Resources &grant = request.Tasks[index].Grant;
  if (!request.Entry.CanThrottle || grant.MilliCpu <= 0 ||
      record.Use.MilliCpu <= grant.MilliCpu)
    return run;
  return run * record.Use.MilliCpu / grant.MilliCpu;
}

void Platform::setRunning(LiveRequest &request, LiveTask &task,
                          bool isRunning) {
  if (task.IsRunning == isRunning)
    return;
  task.IsRunning = isRunning;
  const Resources change = request.Submitted.Use * (isRunning ? 1 : -1);
  Used += change;
  UsedOn[task.Worker] += change;
}

void Platform::start(const TaskId &id, Instant now) {
  LiveRequest &request = Requests.at(id.Request);
  LiveTask &live = request.Tasks[id.Index];
  live.StartedAt = now;
  setRunning(request, live, true);
  schedule(Delays.UsagePeriod, TimerCause::Usage, id, now);
  if (request.Submitted.IsFailing || Failing.contains(live.Worker))
    schedule(FailDelay, TimerCause::Fail, id, now);
  else if (request.Entry.Class != catalogue::WorkClass::Service)
    schedule(
        std::max(runOf(request, id.Index) - live.Saved, Duration::millis(1)),
        TimerCause::End, id, now);
}

TaskEvent Platform::endAttempt(const TaskId &id, TimerCause why, Instant now) {
  LiveRequest &request = Requests.at(id.Request);
  LiveTask &live = request.Tasks[id.Index];
  const bool hasStarted = live.IsRunning;
  const Duration ran = hasStarted ? now - live.StartedAt : Duration();
  setRunning(request, live, false);
  live.IsPlaced = false;
  OnWorker[live.Worker].erase(id);
  TaskEvent event{TaskEventKind::Ended, id};
  const bool mayRepeat = request.Entry.IsIdempotent || !hasStarted;
  if (why == TimerCause::End) {
    live.IsFinished = true;
    ++request.Finished;
    return event;
  }
  if (why == TimerCause::Checkpoint) {
    live.Saved = live.Saved + ran;
    event.End = EndKind::Stopped;
    return event;
  }
  if (request.Entry.Class != catalogue::WorkClass::Service)
    event.LostSeconds = static_cast<double>(ran.millis()) / 1000;
  event.MayRunAgain = mayRepeat;
  event.End = why == TimerCause::Lease ? EndKind::Lost : EndKind::Stopped;
  if (why == TimerCause::Fail) {
    event.End = EndKind::Failed;
    event.MayRunAgain =
        mayRepeat && ++live.Failures < request.Entry.MaxAttempts;
  }
  return event;
}

bool Platform::isFinished(const RequestId &id) const {
  const LiveRequest &request = Requests.at(id);
  return request.Finished == request.Tasks.size();
}

double Platform::countOverloaded(const Ledger &ledger) const {
  return static_cast<double>(
      std::ranges::count_if(UsedOn, [&ledger](const auto &item) {
        const auto it = ledger.workers().find(item.first);
        return it != ledger.workers().end() &&
               item.second.MemoryMb > it->second.Capacity.MemoryMb;
      }));
}

} // namespace jujube::replay
