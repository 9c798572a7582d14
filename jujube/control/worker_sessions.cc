#include "jujube/control/worker_sessions.h"

#include <algorithm>
#include <utility>

#include "jujube/logging/line.h"

namespace jujube::control {
namespace {

using logging::Event;
using logging::Level;
using logging::Line;

// A worker that has not been heard from for this long gets no tasks: two and a
// half announcement periods.
constexpr Duration MaxSilence = Duration::millis(4000);

} // namespace

WorkerSessions::WorkerSessions(Hooks hooks, const jobs::JobStateMachine &book,
                               dispatch::LeasePolicy leases, uint64_t term,
                               std::size_t maxWaitingOrders)
    : Callbacks(std::move(hooks)), Book(book), Leases(leases), Term(term),
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
  session.FenceNumber = ++LastFenceNumber;
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
      noteMayArrive(run);
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
  session.ColdUntil = Callbacks.Now() + announcement.ColdRemaining;
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
  const Instant now = Callbacks.Now();
  session.WorkerIncarnation = life;
  session.FenceNumber = ++LastFenceNumber;
  session.IsFenceConfirmed = false;
  session.IsUnverified = true;
  session.NextLeaseOrder = now;
  session.Sequence = 0;
  session.AckedEnds = 0;
  session.ConfirmedAckedEnds = 0;
  session.Outcomes.clear();
  session.Clock = dispatch::LeaseClock(Leases, now);
  // What the incarnation before said of its attempts does not hold for this
  // one, which may have taken their starts.
  for (auto &[task, run] : session.Runs) {
    run.Since = now;
    run.IsListed = false;
    run.Share.reset();
    noteMayArrive(run);
    if (run.State == Phase::Stopped) {
      run.State = Phase::Stopping;
      run.NextSend = now;
    }
  }
}

void WorkerSessions::noteMayArrive(RunState &run) {
  run.MayArrive = true;
  run.LatestArrival = Callbacks.Now() + MaxOrderDelay;
}

bool WorkerSessions::hasExpired(const Session &session, const RunState &run,
                                Instant now) {
  if (!session.Clock.areLeasesOver(now))
    return false;
  const bool isOnThisIncarnation = run.IsListed && now >= run.LatestArrival;
  return isOnThisIncarnation || session.Clock.areLeasesOverAfterRestart(now);
}

bool WorkerSessions::endExpired(const WorkerId &worker, Session &session) {
  const Instant now = Callbacks.Now();
  std::size_t ended = 0;
  std::size_t left = 0;
  for (auto &[task, run] : session.Runs) {
    if (run.State != Phase::Ended && !hasExpired(session, run, now)) {
      ++left;
      continue;
    }
    ended += run.State != Phase::Ended ? 1 : 0;
    storeLost(worker, task, run);
  }
  if (ended > 0)
    Line(Event::LeasesExpired, Level::Warning)
        .with("worker", worker)
        .with("attempts", ended)
        .with("silent_ms", now - session.LastHeard);
  return left == 0;
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
  if (endExpired(worker, session) && !session.Runs.empty())
    return;
  for (auto &[task, run] : session.Runs) {
    const bool isDue = run.NextSend != Instant() && now >= run.NextSend;
    if (run.State == Phase::Stopping && !run.IsStopPending &&
        now >= run.NextSend) {
      sendStop(worker, task);
    } else if (run.State == Phase::Starting && isDue) {
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
    if (it->first == id && !Book.isEvacuated(held) &&
        isUsable(it->second, held, now))
      views.push_back(
          {&held, now < it->second.SuspectUntil, now < it->second.ColdUntil});
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
