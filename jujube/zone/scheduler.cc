#include "jujube/zone/scheduler.h"

#include "jujube/logging/line.h"
#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>
#include <variant>

namespace jujube::zone {
namespace {

using logging::Event;
using logging::Level;
using logging::Line;

// How often the planner's limits are recomputed from the slices.
constexpr Duration LimitUpdatePeriod = Duration::millis(200);
// Maximum number of time-driven events in one sweep.
constexpr std::size_t MaxDueEvents = 256;

metrics::Labels labelsOf(const fate::Submission &work) {
  return {work.Team.str(),
          std::string(nameIn(catalogue::WorkClassNames, work.Entry.Class))};
}

// Maps the last phase that a worker reported to the planner's kind of end.
placement::EndKind endKindOf(fate::TaskPhase phase) {
  switch (phase) {
  case fate::TaskPhase::Finished:
    return placement::EndKind::Finished;
  case fate::TaskPhase::Failed:
    return placement::EndKind::Failed;
  case fate::TaskPhase::Refused:
    return placement::EndKind::Refused;
  default:
    return placement::EndKind::Stopped;
  }
}

// Returns a team's limit in the planner. It is at least what the team's
// attempts use, up to `allowed`, so that running attempts are not stopped; new
// attempts have to fit into `startable`.
Resources plannerLimit(const Resources &limitForStart, const Resources &allowed,
                       const Resources &used) {
  return maxOf(limitForStart, minOf(used, allowed));
}

} // namespace

Scheduler::Scheduler(const ZoneOptions &options, Term term,
                     const fate::FateStateMachine &book,
                     placement::Planner planner, SchedulerHooks hooks,
                     Moment at)
    : Settings(options), LeaderTerm(term), Book(book),
      Planner(std::move(planner)), Hooks(std::move(hooks)), Pending(book),
      Leases(options.WorkerLease, options.WorkerDrift, at.Now),
      Slices(options.Zone, term, {}, at.Now, book.holdings()) {}

Result<std::unique_ptr<Scheduler>> Scheduler::create(
    const ZoneOptions &options, Term term, const fate::FateStateMachine &book,
    const catalogue::Catalogue &catalogue, SchedulerHooks hooks, Moment at) {
  placement::Options planning;
  planning.Zone = options.Zone;
  planning.Policy = options.Policy;
  planning.Seed = term.Value;
  auto planner =
      placement::Planner::create(planning, placement::hooksFor(options.Policy));
  if (!isOk(planner))
    return errorOf(planner);
  std::unique_ptr<Scheduler> scheduler(new Scheduler(
      options, term, book, valueOf(std::move(planner)), std::move(hooks), at));
  scheduler->setCatalogue(catalogue);
  scheduler->restore(at);
  return scheduler;
}

Instant Scheduler::acceptedAt(const fate::RequestRecord &request,
                              Moment at) const {
  const Duration waited = std::max(Duration(), at.Wall - request.AcceptedAt);
  return at.Now - waited;
}

void Scheduler::restore(Moment at) {
  std::map<RequestId, std::vector<uint32_t>> open;
  for (const fate::Attempt &attempt : Book.activeAttempts()) {
    const fate::RequestRecord *request = Book.findRequest(attempt.Task.Request);
    Planner.restore(request->Work, acceptedAt(*request, at),
                    {attempt.Task, attempt.Worker, attempt.Reserved, at.Now,
                     attempt.IsStopping});
    Leases.reset(attempt.Worker, at.Now);
    Incarnation &start = Workers[attempt.Worker];
    start = std::max(start, attempt.WorkerIncarnation);
    open[attempt.Task.Request];
  }
  for (const TaskId &task : Book.queuedTasks())
    open[task.Request].push_back(task.Index);
  for (const auto &[id, queued] : open)
    restoreRequest(id, queued, at);
  updateLimits(at.Now);
}

void Scheduler::restoreRequest(const RequestId &id,
                               const std::vector<uint32_t> &queued, Moment at) {
  const fate::RequestRecord *request = Book.findRequest(id);
  const Instant accepted = acceptedAt(*request, at);
  for (uint32_t i = 0; i < request->Tasks.size(); ++i)
    if (request->Tasks[i].State == fate::FateState::Finished)
      Planner.restoreFinished(request->Work, accepted, i);
  if (queued.empty())
    return;
  const bool hasRun =
      std::ranges::any_of(request->Tasks, &fate::TaskRecord::MayHaveRun);
  Planner.enqueue({request->Work, accepted, queued, hasRun}, at.Now);
}

void Scheduler::setCatalogue(const catalogue::Catalogue &catalogue) {
  Teams.clear();
  std::ranges::transform(catalogue.contents().Teams, std::back_inserter(Teams),
                         [](const auto &team) { return team.Value; });
  Planner.setTeams(Teams);
}

std::vector<limits::TeamDemand> Scheduler::demands() const {
  std::vector<limits::TeamDemand> all;
  std::ranges::transform(
      Teams, std::back_inserter(all), [this](const auto &team) {
        return limits::TeamDemand{team.Id, Planner.used(team.Id),
                                  Planner.wanted(team.Id)};
      });
  return all;
}

void Scheduler::updateLimits(Instant now) {
  NeedsPlan = true;
  NextLimitUpdate = now + LimitUpdatePeriod;
  for (const catalogue::Team &team : Teams)
    Planner.setSlice(team.Id, plannerLimit(Slices.limitForStart(team.Id, now),
                                           Slices.limitForRunning(team.Id, now),
                                           Planner.used(team.Id)));
}

void Scheduler::enqueueAll(const RequestId &id, Moment at) {
  const fate::RequestRecord *request = Book.findRequest(id);
  std::vector<uint32_t> tasks(request->Tasks.size());
  std::iota(tasks.begin(), tasks.end(), 0U);
  Planner.enqueue({request->Work, acceptedAt(*request, at), std::move(tasks)},
                  at.Now);
}

void Scheduler::finishIfEnded(const RequestId &id, Moment at) {
  const auto state = Book.stateOf(id);
  if (!state || !fate::isTerminal(*state))
    return;
  Planner.forget(id);
  if (const auto *request = Book.findRequest(id)) {
    const metrics::Labels labels = labelsOf(request->Work);
    Metrics.add(std::string(nameIn(fate::FateStateNames, *state)), labels);
    Metrics.observe("total_ms", labels,
                    (at.Wall - request->AcceptedAt).millis());
  }
  Hooks.RequestEnded(id);
}

void Scheduler::onAttemptEnded(const TaskId &task, placement::EndKind kind,
                               Moment at) {
  Pending.forget(task);
  Planner.attemptEnded(task, kind, at.Now);
  const fate::TaskRecord *record = Book.findTask(task);
  if (record && record->State == fate::FateState::Queued)
    Planner.requeue(task, at.Now);
  finishIfEnded(task.Request, at);
}

void Scheduler::observeStart(const TaskId &task, Moment at) {
  const fate::RequestRecord *request = Book.findRequest(task.Request);
  if (!request)
    return;
  const fate::TaskRecord *record = Book.findTask(task);
  if (record && record->Attempts == 1)
    Metrics.observe("wait_ms", labelsOf(request->Work),
                    (at.Wall - request->AcceptedAt).millis());
  Metrics.add("started", labelsOf(request->Work));
}

void Scheduler::onApplied(const fate::Event &event, Moment at) {
  NeedsPlan = true;
  std::visit([&](const auto &e) { on(e, at); }, event);
}

void Scheduler::on(const fate::RequestAccepted &event, Moment at) {
  Metrics.add("accepted", labelsOf(event.Work));
  enqueueAll(event.Work.Request, at);
}

void Scheduler::on(const fate::TaskOffered &event, Moment) {
  Hooks.WakeWorker(event.Worker);
}

void Scheduler::on(const fate::TaskStarted &event, Moment at) {
  Planner.attemptStarted(event.Task, at.Now);
  observeStart(event.Task, at);
}

void Scheduler::on(const fate::TaskEnded &event, Moment at) {
  onAttemptEnded(event.Task, endKindOf(event.Phase), at);
  const auto it = LastReporter.find(event.Task);
  if (it == LastReporter.end())
    return;
  const WorkerId worker = it->second;
  LastReporter.erase(it);
  Hooks.WakeWorker(worker);
}

void Scheduler::on(const fate::AttemptLost &event, Moment at) {
  onAttemptEnded(event.Task, placement::EndKind::Lost, at);
}

void Scheduler::on(const fate::RequestCancelled &event, Moment at) {
  Planner.cancel(event.Request);
  const fate::RequestRecord *request = Book.findRequest(event.Request);
  for (const fate::TaskRecord &task : request->Tasks)
    if (task.HasActiveAttempt)
      Hooks.WakeWorker(task.Worker);
  finishIfEnded(event.Request, at);
}

void Scheduler::on(const fate::RequestRejected &event, Moment at) {
  Planner.cancel(event.Request);
  finishIfEnded(event.Request, at);
}

void Scheduler::on(const fate::LiveEnded &event, Moment) {
  Hooks.RequestEnded(event.Request);
}

void Scheduler::on(const limits::SliceUpdate &, Moment at) {
  Slices.onCommitted(Book.holdings());
  updateLimits(at.Now);
}

Status Scheduler::takeSync(const fate::WorkerSync &sync, Moment at) {
  const WorkerId &worker = sync.Announcement.Worker;
  const Incarnation start = sync.Announcement.WorkerIncarnation;
  const Error unavailable{
      ErrorKind::Unavailable,
      "the worker's lease has ended and its tasks are being "
      "reclaimed",
      "stop all tasks and sync again"};
  if (Expiring.contains(worker))
    return unavailable;
  const auto known = Workers.find(worker);
  if (known != Workers.end() && known->second > start)
    return Error{ErrorKind::StaleData,
                 "a newer process with the same worker id has announced itself",
                 "give each worker an id of its own"};
  // Repeated in each sync, because an offer to an earlier incarnation may have
  // been committed since the last one.
  std::vector<fate::Event> events =
      Book.workerRestarted(worker, start, at.Wall);
  if (events.empty() && Leases.hasEnded(worker, at.Now) &&
      !Book.attemptsOn(worker).empty())
    return unavailable; // The next sweep ends these attempts.
  if (Leases.hasEnded(worker, at.Now))
    Leases.reset(worker, at.Now);
  Workers[worker] = start;
  Planner.announceWorker(sync.Announcement, at.Now);
  Scopes.onSync(sync, Book, at.Now);
  // A sync may contain only changes, so unanswered reports of ended attempts
  // are kept.
  auto &unanswered = Unanswered[worker];
  std::erase_if(unanswered, [](const auto &item) {
    return item.second.Phase == fate::TaskPhase::Started ||
           item.second.Phase == fate::TaskPhase::Running;
  });
  for (const fate::TaskReport &report : sync.Reports) {
    unanswered.insert_or_assign(report.Task, report);
    LastReporter[report.Task] = worker;
    auto newEvents = Book.report(worker, start, report, at.Wall);
    std::ranges::move(newEvents, std::back_inserter(events));
    if (report.Usage != Resources{})
      Planner.recordUsage(report.Task, report.Usage);
  }
  if (!events.empty())
    Hooks.Propose(std::move(events));
  return Ok{};
}

std::vector<fate::Directive> Scheduler::takeAnswers(const WorkerId &worker) {
  std::vector<fate::Directive> answers;
  std::erase_if(Unanswered[worker], [&](const auto &item) {
    const fate::TaskReport &report = item.second;
    const auto kind = Book.directiveFor(worker, report);
    if (kind)
      answers.push_back({*kind, report.Task, report.Token});
    return kind.has_value();
  });
  return answers;
}

std::optional<fate::SyncReply> Scheduler::replyTo(const WorkerId &worker,
                                                  bool isDue, Moment at) {
  if (!Slices.isReadyToRenew(at.Now) || Expiring.contains(worker))
    return std::nullopt;
  std::vector<fate::Directive> directives = takeAnswers(worker);
  std::ranges::move(Pending.takeDue(worker, Workers[worker], at.Now),
                    std::back_inserter(directives));
  const bool shouldReply =
      isDue || !directives.empty() || Scopes.isUrgent(worker);
  if (!shouldReply || !Leases.renew(worker, at.Now))
    return std::nullopt;
  Scopes.onReply(worker, at.Now);
  return fate::SyncReply{LeaderTerm, Settings.WorkerLease,
                         std::move(directives), Scopes.nextScope(worker)};
}

void Scheduler::plan(Moment at) {
  NeedsPlan = false;
  if (at.Now >= NextLimitUpdate)
    updateLimits(at.Now);
  std::vector<fate::Event> events;
  for (const placement::Action &action : Planner.plan(at.Now)) {
    auto event =
        std::visit([&](const auto &a) { return execute(a, at); }, action);
    if (event)
      events.push_back(std::move(*event));
  }
  if (!events.empty())
    Hooks.Propose(std::move(events));
}

std::optional<fate::Event> Scheduler::execute(const placement::Offer &offer,
                                              Moment at) {
  auto event = Book.offer(offer.Task, LeaderTerm, offer.Worker,
                          Workers[offer.Worker], offer.Reserved, at.Wall);
  if (!event)
    Planner.attemptEnded(offer.Task, placement::EndKind::Refused, at.Now);
  return event;
}

std::nullopt_t Scheduler::requestStop(const TaskId &task,
                                      fate::DirectiveKind kind) {
  Pending.requestStop(task, kind);
  if (const fate::TaskRecord *record = Book.findTask(task))
    Hooks.WakeWorker(record->Worker);
  return std::nullopt;
}

void Scheduler::sendGrant(const TaskId &task, const Resources &size) {
  Pending.requestThrottle(task, size);
  if (const fate::TaskRecord *record = Book.findTask(task))
    Hooks.WakeWorker(record->Worker);
}

std::optional<fate::Event>
Scheduler::execute(const placement::ThrottleTask &throttle, Moment at) {
  auto event = Book.changeReservation(throttle.Task, throttle.Grant, at.Wall);
  // Without an event the journal already holds this reservation, so the grant
  // may be sent at once.
  if (!event)
    sendGrant(throttle.Task, throttle.Grant);
  return event;
}

std::optional<fate::Event>
Scheduler::execute(const placement::RejectRequest &reject, Moment at) {
  return Book.reject(reject.Request, reject.Why, at.Wall);
}

void Scheduler::sweep(Moment at) {
  std::vector<fate::Event> events = Book.dueEvents(at.Wall, MaxDueEvents);
  std::erase_if(Expiring, [this](const WorkerId &worker) {
    return Book.attemptsOn(worker).empty();
  });
  for (const WorkerId &worker : Leases.ended(at.Now)) {
    if (Expiring.contains(worker))
      continue;
    Line(Event::WorkerLost, Level::Warning).with("worker", worker);
    Planner.markWorkerLost(worker, at.Now);
    auto newEvents = Book.workerExpired(worker, at.Wall);
    if (!newEvents.empty())
      Expiring.insert(worker);
    std::ranges::move(newEvents, std::back_inserter(events));
    Leases.erase(worker);
    Scopes.forget(worker);
    Unanswered.erase(worker);
  }
  if (!events.empty())
    Hooks.Propose(std::move(events));
}

bool Scheduler::hasUrgentSliceReport() const {
  return Slices.hasUnreportedChanges(demands());
}

limits::SliceReport Scheduler::reportSlices(Moment at) {
  const auto needs = demands();
  if (auto update = Slices.releaseExcess(needs, at.Now))
    Hooks.Propose({std::move(*update)});
  updateLimits(at.Now);
  return Slices.report(needs, at.Now);
}

void Scheduler::takeSlices(const limits::SliceReply &reply, Moment at) {
  if (auto update = Slices.receive(reply, at.Now))
    Hooks.Propose({std::move(*update)});
  updateLimits(at.Now);
}

} // namespace jujube::zone
