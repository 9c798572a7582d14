// Starts and stops, and what their answers tell.
#include <algorithm>
#include <utility>

#include "jujube/control/worker_sessions.h"
#include "jujube/logging/line.h"

namespace jujube::control {
namespace {

using dispatch::OrderVerdict;
using jobs::EndKind;
using logging::Event;
using logging::Line;

// Pause before a stop without an answer is resent.
constexpr Duration StopRetryPause = Duration::millis(300);
// The most times that a start is sent.
constexpr int MaxStartSends = 3;
// How long a worker is not used after it refused a start.
constexpr Duration NoRoomPause = Duration::millis(300);
constexpr Duration UnhealthyPause = Duration::millis(1000);

} // namespace

void WorkerSessions::start(const dispatch::PlannedStart &planned) {
  const jobs::AttemptStarted &what = planned.Start;
  if (!Book.isLive(what.Task, what.Attempt))
    return;
  RunState run;
  run.Attempt = what.Attempt;
  run.State = Phase::Starting;
  dispatch::StartOrder order;
  order.Task = what.Task;
  order.Attempt = what.Attempt;
  order.Payload = Book.find(what.Task.Job)->Spec.Payload;
  order.Checkpoint = Book.findTask(what.Task)->Checkpoint;
  order.Ticket = planned.Ticket;
  run.Order = std::move(order);
  run.FreeMilliCpu = planned.FreeMilliCpu;
  run.IsDataRemote = planned.IsDataRemote;
  run.Slack = planned.Slack;
  run.Share = dispatch::FullShare;
  run.Checkpoint = Book.findTask(what.Task)->Checkpoint;
  sessionOf(what.Worker).Runs[what.Task] = std::move(run);
  sendStart(what.Worker, what.Task);
}

void WorkerSessions::send(const WorkerId &worker, const Address &at,
                          dispatch::OrderBody what, Duration timeout,
                          AnswerHook done) {
  const Session &target = sessionOf(worker);
  const Incarnation sentTo = target.WorkerIncarnation;
  const uint64_t fence = dispatch::fenceOf(Term, target.FenceNumber);
  std::visit([fence](auto &order) { order.Fence = fence; }, what);
  Callbacks.Send({worker, at, std::move(what)}, timeout,
                 [this, worker, sentTo,
                  done = std::move(done)](const dispatch::OrderAnswer &answer) {
                   Session &session = sessionOf(worker);
                   const Incarnation current = session.WorkerIncarnation;
                   const bool isCurrent =
                       current == sentTo &&
                       answer.WorkerIncarnation.value_or(current) >= current;
                   if (isCurrent && answer.Verdict == OrderVerdict::Accepted &&
                       !std::exchange(session.IsFenceConfirmed, true))
                     session.Clock.noteFenceConfirmed(Callbacks.Now());
                   // Lists are long: the answer is not copied.
                   if (isCurrent)
                     done(answer);
                   else
                     done(dispatch::OrderAnswer());
                 });
}

void WorkerSessions::sendStart(const WorkerId &worker,
                               const jobs::TaskKey &task) {
  Session &session = sessionOf(worker);
  RunState &run = session.Runs.at(task);
  if (!Callbacks.MayGrant()) {
    run.NextSend = Callbacks.Now();
    return;
  }
  const jobs::Worker *held = Book.findWorker(worker);
  if (held != nullptr && Book.isEvacuated(*held)) {
    giveUpStart(worker, task, run);
    return;
  }
  const std::optional<Address> at = addressOf(worker);
  const std::optional<Instant> expires = session.Clock.grant(Callbacks.Now());
  if (!at || !expires) {
    if (run.MayArrive)
      stop(task, StopReason::StartUnanswered);
    else
      storeLost(worker, task, run);
    return;
  }
  run.Order->Expires = *expires;
  ++run.Sends;
  Line line(Event::StartSent);
  line.with("job", task.Job)
      .with("occurrence", task.Occurrence)
      .with("step", task.Step)
      .with("index", task.Index)
      .with("attempt", run.Attempt)
      .with("worker", worker)
      .with("send", run.Sends)
      .with("free_milli_cpu", run.FreeMilliCpu)
      .with("far", run.IsDataRemote)
      .with("slack_ms", run.Slack)
      .with("saved", !run.Checkpoint.empty())
      .with("heard_ms", Callbacks.Now() - session.LastHeard)
      .with("term", Term);
  const uint32_t attempt = run.Attempt;
  send(worker, *at, *run.Order, OrderTimeout,
       [this, worker, task, attempt](const dispatch::OrderAnswer &answer) {
         onStartAnswer(worker, task, attempt, answer);
       });
}

// It may run already, and what runs goes on. The worker's next list tells.
void WorkerSessions::giveUpStart(const WorkerId &worker,
                                 const jobs::TaskKey &task, RunState &run) {
  if (!run.MayArrive) {
    storeLost(worker, task, run);
    return;
  }
  run.State = Phase::Running;
  run.Since = Callbacks.Now();
  run.Order.reset();
  Session &session = sessionOf(worker);
  session.NextLeaseOrder = std::min(session.NextLeaseOrder, run.Since);
}

void WorkerSessions::onStartAnswer(const WorkerId &worker,
                                   const jobs::TaskKey &task, uint32_t attempt,
                                   const dispatch::OrderAnswer &answer) {
  Session &session = sessionOf(worker);
  const bool isSameLife = noteAnswer(worker, session, answer);
  RunState *run = findRun(worker, task, attempt);
  if (run == nullptr || run->State != Phase::Starting)
    return;
  const Instant now = Callbacks.Now();
  switch (answer.Verdict) {
  case OrderVerdict::Accepted:
  case OrderVerdict::Superseded:
    // The lists of the worker show the outcome of a superseded attempt.
    run->State = Phase::Running;
    run->Since = now;
    run->Order.reset();
    session.NextLeaseOrder = std::min(session.NextLeaseOrder, now);
    return;
  case OrderVerdict::NoAnswer:
  case OrderVerdict::StaleFence:
    noteMayArrive(*run);
    if (run->Sends < MaxStartSends)
      sendStart(worker, task);
    else if (hasUnavailabilityLimit(task))
      run->NextSend = now + StopRetryPause;
    else
      stop(task, StopReason::StartUnanswered);
    return;
  case OrderVerdict::BadTicket:
    Callbacks.ExpireTicket(jobs::stepOf(task), worker);
    break;
  case OrderVerdict::InsufficientCapacity:
    session.AvoidUntil = now + NoRoomPause;
    break;
  case OrderVerdict::Unhealthy:
    session.AvoidUntil = now + UnhealthyPause;
    break;
  case OrderVerdict::OtherIncarnation:
    session.IsUnverified = true;
    break;
  case OrderVerdict::TooLate:
  case OrderVerdict::Invalid:
    break;
  }
  Line(Event::StartRefused)
      .with("job", task.Job)
      .with("occurrence", task.Occurrence)
      .with("step", task.Step)
      .with("index", task.Index)
      .with("attempt", attempt)
      .with("worker", worker)
      .with("verdict", nameIn(dispatch::OrderVerdictNames, answer.Verdict))
      .with("unanswered_before", run->MayArrive)
      .with("term", Term);
  if (run->MayArrive && isSameLife)
    stop(task, StopReason::StartUnanswered);
  else
    storeLost(worker, task, *run);
}

// True if the number of unavailable tasks of the step is limited. Such a task
// must not be stopped only because its start was not answered, since it may be
// running.
bool WorkerSessions::hasUnavailabilityLimit(const jobs::TaskKey &task) const {
  const jobs::StepSpec *spec = Book.findStep(jobs::stepOf(task));
  return spec != nullptr && spec->IsLongRunning && spec->MaxUnavailable;
}

void WorkerSessions::stop(const jobs::TaskKey &task, StopReason why) {
  const jobs::Task *held = Book.findTask(task);
  if (held == nullptr || !held->Live)
    return;
  RunState *run = findRun(held->Live->Worker, task, held->Live->Attempt);
  if (run == nullptr || run->State == Phase::Stopping ||
      run->State == Phase::Stopped || run->State == Phase::Ended)
    return;
  run->State = Phase::Stopping;
  Line(Event::StopSent)
      .with("job", task.Job)
      .with("occurrence", task.Occurrence)
      .with("step", task.Step)
      .with("index", task.Index)
      .with("attempt", run->Attempt)
      .with("worker", held->Live->Worker)
      .with("cause", nameIn(StopReasonNames, why))
      .with("term", Term);
  sendStop(held->Live->Worker, task);
}

void WorkerSessions::sendStop(const WorkerId &worker,
                              const jobs::TaskKey &task) {
  RunState &run = sessionOf(worker).Runs.at(task);
  const std::optional<Address> at = addressOf(worker);
  if (!at)
    return;
  run.IsStopPending = true;
  const uint32_t attempt = run.Attempt;
  send(worker, *at, dispatch::StopOrder{task, attempt}, OrderTimeout,
       [this, worker, task, attempt](const dispatch::OrderAnswer &answer) {
         onStopAnswer(worker, task, attempt, answer);
       });
}

void WorkerSessions::onStopAnswer(const WorkerId &worker,
                                  const jobs::TaskKey &task, uint32_t attempt,
                                  const dispatch::OrderAnswer &answer) {
  Session &session = sessionOf(worker);
  const bool isSameLife = noteAnswer(worker, session, answer);
  RunState *run = findRun(worker, task, attempt);
  if (run == nullptr || run->State != Phase::Stopping)
    return;
  run->IsStopPending = false;
  const Instant now = Callbacks.Now();
  if (!isSameLife) {
    storeLost(worker, task, *run);
    return;
  }
  if (answer.Verdict != OrderVerdict::Accepted) {
    run->NextSend = now + StopRetryPause;
    return;
  }
  run->State = Phase::Stopped;
  run->Since = now;
  session.NextLeaseOrder = now;
}

bool WorkerSessions::noteAnswer(const WorkerId &worker, Session &session,
                                const dispatch::OrderAnswer &answer) {
  if (answer.Verdict == OrderVerdict::OtherIncarnation)
    return false;
  if (answer.Verdict == OrderVerdict::NoAnswer)
    return true;
  if (answer.WorkerIncarnation &&
      *answer.WorkerIncarnation > session.WorkerIncarnation)
    beginIncarnation(worker, session, *answer.WorkerIncarnation);
  session.LastHeard = Callbacks.Now();
  if (answer.WorkerClock)
    session.Clock.recordSample(*answer.WorkerClock, Callbacks.Now());
  return true;
}

void WorkerSessions::storeLost(const WorkerId &worker,
                               const jobs::TaskKey &task, RunState &run) {
  if (run.IsEndPending)
    return;
  run.State = Phase::Ended;
  run.IsEndPending = true;
  const uint32_t attempt = run.Attempt;
  Callbacks.Store(
      {jobs::AttemptEnded{task, attempt, EndKind::Lost, run.Checkpoint}},
      [this, worker, task, attempt](bool) {
        if (RunState *refused = findRun(worker, task, attempt))
          refused->IsEndPending = false;
      });
}

} // namespace jujube::control
