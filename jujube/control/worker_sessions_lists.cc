// Lease orders and their answers: the attempts that a worker lists as running
// or ended, and attempts that are missing or unexpected.
#include <algorithm>
#include <utility>

#include "jujube/control/worker_sessions.h"
#include "jujube/logging/line.h"

namespace jujube::control {
namespace {

using dispatch::OrderVerdict;
using jobs::EndKind;

// How long a worker may delay the answer to a lease order until a task ends.
// The worker protocol allows 2 s. If an answer is lost, the report of an end is
// delayed by the timeout, which must fit within the shortest objectives.
constexpr Duration MaxAnswerDelay = Duration::millis(700);
constexpr Duration LeaseOrderTimeout = Duration::millis(1000);
// Time between lease orders that may not wait at the worker.
constexpr Duration ShortOrderPeriod = Duration::millis(200);
// Pause after a lease order without an answer.
constexpr Duration LeaseOrderRetryPause = Duration::millis(150);
// A worker is used only if no other worker fits, after tasks of this many
// different jobs have failed in a row, or among its last MaxOutcomes ends. One
// task in twenty fails for a reason that has nothing to do with the worker.
constexpr std::size_t SuspectAfterConsecutive = 3;
constexpr std::size_t SuspectAfterTotal = 4;
constexpr std::size_t MaxOutcomes = 8;

// The number of different jobs that failed, among the outcomes from index `n`
// on. Successful outcomes have an empty id.
std::size_t countJobs(const std::deque<jobs::JobId> &outcomes, std::size_t n) {
  const std::set<jobs::JobId> jobs(
      outcomes.begin() + static_cast<std::ptrdiff_t>(n), outcomes.end());
  return jobs.size() - jobs.count(jobs::JobId());
}

} // namespace

void WorkerSessions::sendLeaseOrder(const WorkerId &worker, Session &session) {
  const std::optional<Address> at = addressOf(worker);
  if (!at)
    return;
  const Instant now = Callbacks.Now();
  dispatch::LeaseOrder order;
  // A worker that did not answer, or has to be verified, only gets a query
  // without a lease: renewing its leases would delay the restart of its tasks
  // elsewhere.
  if (session.Misses == 0 && !session.IsUnverified)
    order.Expires = session.Clock.grant(now);
  order.AckedEnds = session.AckedEnds;
  const bool mayDelayAnswer =
      session.Misses == 0 && order.Expires &&
      std::ranges::all_of(session.Runs, [](const auto &it) {
        return it.second.State != Phase::Stopped;
      });
  if (mayDelayAnswer && !session.Runs.empty() &&
      WaitingOrders < MaxWaitingOrders)
    order.Wait = MaxAnswerDelay;
  session.IsLeaseOrderPending = true;
  session.IsOrderWaiting = order.Wait > Duration();
  WaitingOrders += session.IsOrderWaiting ? 1 : 0;
  const uint64_t sentAckedEnds = session.AckedEnds;
  send(worker, *at, order, LeaseOrderTimeout,
       [this, worker, now, sentAckedEnds](const dispatch::OrderAnswer &answer) {
         onLeaseAnswer(worker, now, sentAckedEnds, answer);
       });
}

void WorkerSessions::onLeaseAnswer(const WorkerId &worker, Instant askedAt,
                                   uint64_t sentAckedEnds,
                                   const dispatch::OrderAnswer &answer) {
  Session &session = sessionOf(worker);
  session.IsLeaseOrderPending = false;
  const bool hasWaited = std::exchange(session.IsOrderWaiting, false);
  WaitingOrders -= hasWaited ? 1 : 0;
  const Instant now = Callbacks.Now();
  if (answer.Verdict == OrderVerdict::OtherIncarnation) {
    for (auto &[task, run] : session.Runs)
      storeLost(worker, task, run);
    session.IsUnverified = true;
    session.NextLeaseOrder = now + LeaseOrderRetryPause;
    return;
  }
  const Incarnation before = session.WorkerIncarnation;
  (void)noteAnswer(worker, session, answer);
  if (answer.Verdict != OrderVerdict::Accepted) {
    noteSilent(worker, session);
    session.NextLeaseOrder = now + LeaseOrderRetryPause;
    return;
  }
  noteHeard(worker, session);
  // An incarnation that answered an order to the one before has not seen the
  // present fence yet.
  if (session.WorkerIncarnation == before)
    session.IsUnverified = false;
  const bool mayWait = hasWaited || WaitingOrders < MaxWaitingOrders;
  session.NextLeaseOrder = mayWait ? now : now + ShortOrderPeriod;
  if (session.WorkerIncarnation == before)
    session.ConfirmedAckedEnds =
        std::max(session.ConfirmedAckedEnds, sentAckedEnds);
  reconcileLists(worker, session, askedAt, answer);
  adjustFillerShare(worker, session, answer.Running);
}

void WorkerSessions::reconcileLists(const WorkerId &worker, Session &session,
                                    Instant askedAt,
                                    const dispatch::OrderAnswer &answer) {
  std::vector<jobs::Event> events;
  uint64_t last = session.AckedEnds;
  std::set<jobs::TaskKey> listed;
  for (const dispatch::ReportedEnd &row : answer.Ended) {
    last = std::max(last, row.Number);
    RunState *run = findRun(worker, row.Task, row.Attempt);
    if (run == nullptr)
      continue;
    listed.insert(row.Task);
    noteOutcome(session, row.Task, row.How);
    events.emplace_back(
        jobs::AttemptEnded{row.Task, row.Attempt, row.How, row.Checkpoint});
  }
  for (const dispatch::ReportedAttempt &row : answer.Running) {
    RunState *run = findRun(worker, row.Task, row.Attempt);
    if (run == nullptr) {
      stopStray(worker, row);
      continue;
    }
    listed.insert(row.Task);
    run->IsListed |= answer.WorkerIncarnation == session.WorkerIncarnation;
    run->Checkpoint = row.Checkpoint.empty() ? run->Checkpoint : row.Checkpoint;
  }
  const bool areListsComplete =
      answer.IsRunningComplete && answer.IsEndedComplete;
  for (auto &[task, run] : session.Runs) {
    const bool isDue =
        areListsComplete && run.Since < askedAt && !listed.contains(task);
    if (isDue && run.State == Phase::Stopped)
      events.emplace_back(
          jobs::AttemptEnded{task, run.Attempt, EndKind::Lost, run.Checkpoint});
    else if (isDue && run.State == Phase::Running)
      stop(task, StopReason::NotListed);
  }
  if (events.empty()) {
    session.AckedEnds = last;
    return;
  }
  session.IsStoring = true;
  const Incarnation life = session.WorkerIncarnation;
  Callbacks.Store(std::move(events), [this, worker, last, life](bool isStored) {
    const auto it = Sessions.find(worker);
    if (it == Sessions.end())
      return;
    it->second.IsStoring = false;
    if (isStored && it->second.WorkerIncarnation == life)
      it->second.AckedEnds = std::max(it->second.AckedEnds, last);
  });
}

void WorkerSessions::stopStray(const WorkerId &worker,
                               const dispatch::ReportedAttempt &row) {
  if (Book.isLive(row.Task, row.Attempt))
    return;
  const std::optional<Address> at = addressOf(worker);
  logging::Line(logging::Event::UnknownAttempt)
      .with("job", row.Task.Job)
      .with("occurrence", row.Task.Occurrence)
      .with("step", row.Task.Step)
      .with("index", row.Task.Index)
      .with("attempt", row.Attempt)
      .with("worker", worker)
      .with("term", Term);
  if (at)
    send(worker, *at, dispatch::StopOrder{row.Task, row.Attempt}, OrderTimeout,
         [](const dispatch::OrderAnswer &) {});
}

void WorkerSessions::noteOutcome(Session &session, const jobs::TaskKey &task,
                                 EndKind how) {
  if (how != EndKind::Done && how != EndKind::Failed)
    return;
  session.Outcomes.push_back(how == EndKind::Failed ? task.Job : jobs::JobId());
  if (session.Outcomes.size() > MaxOutcomes)
    session.Outcomes.pop_front();
  const Instant now = Callbacks.Now();
  if (now < session.SuspectUntil)
    return;
  const auto lastDone = std::ranges::find_if(
      session.Outcomes.rbegin(), session.Outcomes.rend(), &jobs::JobId::empty);
  const auto sinceDone = static_cast<std::size_t>(
      std::distance(session.Outcomes.begin(), lastDone.base()));
  const std::size_t all = countJobs(session.Outcomes, 0);
  const std::size_t inARow = countJobs(session.Outcomes, sinceDone);
  if (inARow >= SuspectAfterConsecutive || all >= SuspectAfterTotal) {
    session.SuspectUntil = now + session.NextSuspectSpan;
    session.NextSuspectSpan =
        std::min(session.NextSuspectSpan * 2, MaxSuspectSpan);
  } else if (all <= 1) {
    session.NextSuspectSpan = FirstSuspectSpan;
  }
}

} // namespace jujube::control
