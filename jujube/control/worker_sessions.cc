#include "jujube/control/worker_sessions.h"

#include <algorithm>
#include <utility>

#include "jujube/logging/line.h"

namespace jujube::control {
namespace {

using dispatch::OrderVerdict;
using jobs::EndKind;
using logging::Event;
using logging::Level;
using logging::Line;

// Pause before a stop without an answer is resent.
constexpr Duration StopRetryPause = Duration::millis(300);
// The most times that a start is sent.
constexpr int MaxStartSends = 3;
// A worker that has not been heard from for this long gets no tasks: two and a
// half announcement periods.
constexpr Duration MaxSilence = Duration::millis(4000);
// How long a worker is not used after it refused a start.
constexpr Duration NoRoomPause = Duration::millis(300);
constexpr Duration UnhealthyPause = Duration::millis(1000);

} // namespace

WorkerSessions::WorkerSessions(Hooks hooks, const jobs::JobStateMachine &book,
                               dispatch::LeasePolicy leases, uint64_t fence,
                               std::size_t maxWaitingOrders)
    : Callbacks(std::move(hooks)), Book(book), Leases(leases), Fence(fence),
      MaxWaitingOrders(maxWaitingOrders) {}

WorkerSessions::Session &WorkerSessions::sessionOf(const WorkerId &worker) {
  const auto it = Sessions.find(worker);
  if (it != Sessions.end())
    return it->second;
  const jobs::Worker *held = Book.findWorker(worker);
  const Instant now = Callbacks.Now();
  Session session{dispatch::LeaseClock(Leases, now)};
  session.WorkerIncarnation =
      held != nullptr ? held->WorkerIncarnation : Incarnation{};
  session.LastHeard = now;
  session.NextLeaseOrder = now;
  return Sessions.emplace(worker, std::move(session)).first->second;
}

std::optional<Address> WorkerSessions::addressOf(const WorkerId &worker) const {
  const jobs::Worker *held = Book.findWorker(worker);
  return held != nullptr ? std::optional(held->At) : std::nullopt;
}

void WorkerSessions::takeOver() {
  for (const auto &[id, worker] : Book.workers())
    (void)sessionOf(id);
  for (const auto &[id, load] : Book.loads()) {
    Session &session = sessionOf(id);
    for (const jobs::TaskKey &key : load.Tasks) {
      RunState run;
      run.Attempt = Book.findTask(key)->Live->Attempt;
      run.Since = Callbacks.Now();
      run.MayArrive = true;
      session.Runs.emplace(key, std::move(run));
      const jobs::Job *job = Book.find(key.Job);
      if (isEnded(job->State) || Book.findTask(key)->IsDone)
        stop(key, StopReason::JobEnded);
    }
  }
}

bool WorkerSessions::isStale(const jobs::Announcement &announcement) const {
  const auto it = Sessions.find(announcement.AnnouncedWorker.Id);
  return it != Sessions.end() &&
         it->second.WorkerIncarnation ==
             announcement.AnnouncedWorker.WorkerIncarnation &&
         announcement.Sequence < it->second.Sequence;
}

void WorkerSessions::noteAnnouncement(const jobs::Announcement &announcement) {
  Session &session = sessionOf(announcement.AnnouncedWorker.Id);
  if (announcement.AnnouncedWorker.WorkerIncarnation <
      session.WorkerIncarnation)
    return;
  if (announcement.AnnouncedWorker.WorkerIncarnation >
      session.WorkerIncarnation)
    beginIncarnation(announcement.AnnouncedWorker.Id, session,
                     announcement.AnnouncedWorker.WorkerIncarnation);
  if (announcement.Sequence < session.Sequence)
    return;
  session.Sequence = announcement.Sequence;
  session.LastHeard = Callbacks.Now();
  session.Clock.recordSample(announcement.WorkerClock, Callbacks.Now());
}

void WorkerSessions::verify(const WorkerId &worker) {
  Session &session = sessionOf(worker);
  session.IsUnverified = true;
  session.NextLeaseOrder = Callbacks.Now();
}

void WorkerSessions::noteWorkerChanged(const WorkerId &worker) {
  const jobs::Worker *held = Book.findWorker(worker);
  const auto it = Sessions.find(worker);
  if (held == nullptr && it != Sessions.end() && it->second.Runs.empty()) {
    WaitingOrders -= it->second.IsOrderWaiting ? 1 : 0;
    Sessions.erase(it);
  } else if (held != nullptr) {
    (void)sessionOf(worker);
  }
}

void WorkerSessions::beginIncarnation(const WorkerId &worker, Session &session,
                                      Incarnation life) {
  Line(Event::WorkerRestarted)
      .with("worker", worker)
      .with("life", life)
      .with("life_before", session.WorkerIncarnation)
      .with("attempts", session.Runs.size());
  session.WorkerIncarnation = life;
  session.Sequence = 0;
  session.AckedEnds = 0;
  session.ConfirmedAckedEnds = 0;
  session.Outcomes.clear();
  session.Clock = dispatch::LeaseClock(Leases, Callbacks.Now());
}

WorkerSessions::RunState *WorkerSessions::findRun(const WorkerId &worker,
                                                  const jobs::TaskKey &task,
                                                  uint32_t attempt) {
  const auto session = Sessions.find(worker);
  if (session == Sessions.end())
    return nullptr;
  const auto run = session->second.Runs.find(task);
  return run != session->second.Runs.end() && run->second.Attempt == attempt
             ? &run->second
             : nullptr;
}

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
  order.Fence = Fence;
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
                          decltype(dispatch::Order::What) what,
                          Duration timeout, AnswerHook done) {
  const Incarnation life = sessionOf(worker).WorkerIncarnation;
  Callbacks.Send({worker, at, std::move(what)}, timeout,
                 [this, worker, life,
                  done = std::move(done)](const dispatch::OrderAnswer &answer) {
                   const Incarnation now = sessionOf(worker).WorkerIncarnation;
                   const bool isOfNow =
                       now == life &&
                       answer.WorkerIncarnation.value_or(now) >= now;
                   done(isOfNow ? answer : dispatch::OrderAnswer());
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
  const std::optional<Address> at = addressOf(worker);
  const std::optional<Instant> expires = session.Clock.grant(Callbacks.Now());
  if (!at || !expires) {
    if (run.MayArrive)
      stop(task, StopReason::StartUnanswered);
    else
      storeLost(task, run);
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
      .with("term", Fence);
  const uint32_t attempt = run.Attempt;
  send(worker, *at, *run.Order, OrderTimeout,
       [this, worker, task, attempt](const dispatch::OrderAnswer &answer) {
         onStartAnswer(worker, task, attempt, answer);
       });
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
    run->MayArrive = true;
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
      .with("term", Fence);
  if (run->MayArrive && isSameLife)
    stop(task, StopReason::StartUnanswered);
  else
    storeLost(task, *run);
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
      run->State == Phase::Stopped)
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
      .with("term", Fence);
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
  send(worker, *at, dispatch::StopOrder{task, attempt, Fence}, OrderTimeout,
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
    storeLost(task, *run);
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

void WorkerSessions::storeLost(const jobs::TaskKey &task, const RunState &run) {
  Callbacks.Store(
      {jobs::AttemptEnded{task, run.Attempt, EndKind::Lost, run.Checkpoint}},
      [](bool) {});
}

void WorkerSessions::noteEnded(const jobs::TaskKey &task,
                               const WorkerId &worker) {
  const auto it = Sessions.find(worker);
  if (it != Sessions.end())
    it->second.Runs.erase(task);
}

void WorkerSessions::tick() {
  if (!Callbacks.MayGrant())
    return;
  for (auto &[worker, session] : Sessions)
    tickSession(worker, session);
}

void WorkerSessions::tickSession(const WorkerId &worker, Session &session) {
  const Instant now = Callbacks.Now();
  if (!session.Runs.empty() && session.Clock.areLeasesOver(now)) {
    Line(Event::LeasesExpired, Level::Warning)
        .with("worker", worker)
        .with("attempts", session.Runs.size())
        .with("silent_ms", now - session.LastHeard);
    for (auto &[task, run] : session.Runs)
      storeLost(task, run);
    return;
  }
  for (auto &[task, run] : session.Runs) {
    const bool isDue = run.NextSend != Instant() && now >= run.NextSend;
    if (run.State == Phase::Stopping && !run.IsStopPending &&
        now >= run.NextSend)
      sendStop(worker, task);
    else if (run.State == Phase::Starting && isDue) {
      run.NextSend = Instant();
      sendStart(worker, task);
    }
  }
  const bool hasUnconfirmedEnds =
      session.AckedEnds > session.ConfirmedAckedEnds;
  // A worker that did not answer a lease order, or has to be verified, is not
  // used until it answers one.
  const bool isUnconfirmed = (session.Misses > 0 || session.IsUnverified) &&
                             now - session.LastHeard <= MaxSilence;
  const bool isNeeded =
      !session.Runs.empty() || hasUnconfirmedEnds || isUnconfirmed;
  if (isNeeded && !session.IsLeaseOrderPending && !session.IsStoring &&
      now >= session.NextLeaseOrder)
    sendLeaseOrder(worker, session);
}

std::vector<dispatch::WorkerView> WorkerSessions::usable() const {
  const Instant now = Callbacks.Now();
  std::vector<dispatch::WorkerView> views;
  views.reserve(Sessions.size());
  // Both maps are sorted by worker id.
  auto it = Sessions.begin();
  for (const auto &[id, held] : Book.workers()) {
    while (it != Sessions.end() && it->first < id)
      ++it;
    if (it == Sessions.end())
      break;
    if (it->first == id && isUsable(it->second, held, now))
      views.push_back({&held, now < it->second.SuspectUntil});
  }
  return views;
}

bool WorkerSessions::isUsable(const Session &session, const jobs::Worker &held,
                              Instant now) {
  return !held.IsDraining &&
         held.WorkerIncarnation == session.WorkerIncarnation &&
         session.Misses == 0 && !session.IsUnverified &&
         session.Clock.isKnown() && now >= session.AvoidUntil &&
         now - session.LastHeard <= MaxSilence;
}

void WorkerSessions::noteSilent(const WorkerId &worker, Session &session) {
  if (session.Misses++ > 0)
    return;
  session.SilentSince = Callbacks.Now();
  Line(Event::WorkerUnreachable, Level::Warning)
      .with("worker", worker)
      .with("attempts", session.Runs.size())
      .with("heard_ms", session.SilentSince - session.LastHeard);
}

void WorkerSessions::noteHeard(const WorkerId &worker, Session &session) {
  if (std::exchange(session.Misses, 0) > 0)
    Line(Event::WorkerReachable)
        .with("worker", worker)
        .with("silent_ms", Callbacks.Now() - session.SilentSince);
}

WorkerSessions::LinkCounts WorkerSessions::countLinks() const {
  LinkCounts counts;
  for (const auto &[id, session] : Sessions) {
    ++(session.Misses > 0 ? counts.Silent : counts.Answering);
    counts.Leased += session.Runs.empty() ? 0 : 1;
  }
  return counts;
}

std::optional<Instant> WorkerSessions::lastHeard(const WorkerId &worker) const {
  const auto it = Sessions.find(worker);
  return it == Sessions.end() ? std::nullopt
                              : std::optional(it->second.LastHeard);
}

} // namespace jujube::control
