#include "testing/state_fates.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/fate/attempt_digest.h"

namespace jujube::testing {
namespace {

using fate::Directive;
using fate::DirectiveKind;
using fate::Event;
using fate::FateState;
using fate::TaskPhase;
using fate::TaskReport;

constexpr Duration Tick = Duration::millis(500);
constexpr Duration Lease = Duration::seconds(10);
constexpr Duration Drift = Duration::seconds(1);
constexpr std::size_t MaxDue = 100;
// A worker waits this long for the reply to a sync.
constexpr Duration ReplyWait = Duration::seconds(2);
// This worker sends full reports; the others leave out unchanged tasks.
constexpr uint32_t FullSyncWorker = 2;
constexpr Resources Grant{100, 100, 0};
// How a worker handles its tasks.
constexpr uint32_t Continue = 0;
constexpr uint32_t Finish = 1;
constexpr uint32_t Refuse = 3;

RequestId requestId(uint32_t n) { return RequestId(absl::StrCat("zone.r", n)); }

fate::Submission workOf(uint32_t n) {
  fate::Submission work;
  work.Request = requestId(n);
  work.Team = TeamId("events");
  work.Entry.Id = EntryId("entry");
  work.Entry.Owner = work.Team;
  work.Entry.IsIdempotent = n % 2 == 1;
  work.Entry.Class =
      n % 3 == 0 ? catalogue::WorkClass::Gang : catalogue::WorkClass::Batch;
  work.Entry.Demand = {100, 100, 0};
  work.Tasks = 1 + n / 2 % 3;
  work.StartWithin = Duration::seconds(n / 2 % 2 == 0 ? 15 : 0);
  work.BodyDigest = absl::StrCat("digest", n);
  return work;
}

} // namespace

bool FateDriver::TrackedTask::isRunning() const {
  return Phase == TaskPhase::Started || Phase == TaskPhase::Running;
}

FateDriver::FateDriver(uint32_t seed)
    : Generator(seed), Leases(Lease, Drift, Now) {
  for (uint32_t n = 0; n < FateWorkers; ++n) {
    Workers[n].Id = WorkerId(absl::StrCat("worker", n));
    Workers[n].RatePermille = 950 + 50 * int64_t{n};
  }
}

uint32_t FateDriver::random(uint32_t n) {
  return static_cast<uint32_t>(Generator()) % n;
}

Instant FateDriver::localTime(const Worker &worker) const {
  return Instant::fromMillis(Now.millis() * worker.RatePermille / 1000);
}

Instant FateDriver::delay(const Worker &worker) {
  const uint32_t most = worker.IsCut ? 40'000 : 600;
  return Now + Duration::millis(random(most));
}

void FateDriver::submit(uint32_t n) { propose(Book.submit(workOf(n), Now)); }

void FateDriver::cancel(uint32_t n) {
  propose(Book.cancel(requestId(n), TeamId("events"), Now));
}

void FateDriver::propose(const Result<std::optional<Event>> &event) {
  if (isOk(event) && valueOf(event).has_value())
    Proposed.push_back(*valueOf(event));
}

void FateDriver::propose(std::vector<Event> events) {
  std::ranges::move(events, std::back_inserter(Proposed));
}

void FateDriver::commit() {
  for (const Event &event : std::exchange(Proposed, {}))
    Book.apply(event);
}

void FateDriver::changeLeader() {
  Proposed.resize(random(static_cast<uint32_t>(Proposed.size() + 1)),
                  fate::FateForgotten{});
  commit();
  Book = valueOf(fate::FateStateMachine::fromState(Book.state()));
  LeaderTerm = LeaderTerm.next();
  Leases = {Lease, Drift, Now};
  Scopes = {};
}

void FateDriver::restartWorker(uint32_t n) {
  Workers[n].WorkerIncarnation = Workers[n].WorkerIncarnation.next();
  Workers[n].Tasks.clear();
  Workers[n].Highest.clear();
  Workers[n].Filter = {};
  Workers[n].WaitsUntil = Instant();
}

void FateDriver::setCut(uint32_t n, bool isCut) { Workers[n].IsCut = isCut; }

void FateDriver::setBehaviour(uint32_t n, uint32_t behaviour) {
  Workers[n].Behaviour = behaviour;
}

std::string FateDriver::advance(Duration span) {
  const Instant end = Now + span;
  while (Now < end) {
    Now = Now + Tick;
    for (uint32_t n = 0; n < FateWorkers; ++n)
      tickWorker(n);
    deliver();
    tickLeader();
    if (std::string broken = checkRules(); !broken.empty())
      return broken;
  }
  return checkIndex();
}

std::string FateDriver::checkIndex() const {
  const fate::FateStateMachine anew =
      valueOf(fate::FateStateMachine::fromState(Book.state()));
  return anew.byWorker() == Book.byWorker()
             ? ""
             : "the worker index differs from the task records";
}

bool FateDriver::doRecordsAgree() const {
  return std::ranges::all_of(Workers, [this](const Worker &worker) {
    fate::AttemptDigest running;
    for (const auto &[id, tracked] : worker.Tasks)
      if (tracked.isRunning())
        fate::addAttempt(running, id, tracked.Token);
    return Book.indexOn(worker.Id).Running == running;
  });
}

std::string FateDriver::settle() {
  for (Worker &worker : Workers) {
    worker.IsCut = false;
    worker.Behaviour = Continue;
  }
  const Instant end = Now + Duration::minutes(5);
  while (!doRecordsAgree()) {
    if (Now >= end)
      return "the leader's and the workers' records do not converge";
    if (std::string broken = advance(Tick); !broken.empty())
      return broken;
  }
  for (Worker &worker : Workers)
    worker.Behaviour = Finish;
  if (std::string broken = advance(Duration::minutes(15)); !broken.empty())
    return broken;
  for (uint32_t n = 0; n < FateRequests; ++n) {
    const auto state = Book.stateOf(requestId(n));
    if (state.has_value() && !fate::isTerminal(*state))
      return absl::StrCat("request ", n, " does not reach an end");
  }
  return "";
}

void FateDriver::tickLeader() {
  if (random(4) != 0)
    commit();
  for (const WorkerId &worker : Book.busyWorkers())
    if (Leases.hasEnded(worker, Now))
      propose(Book.workerExpired(worker, Now));
  propose(Book.dueEvents(Now, MaxDue));
  offerQueued();
}

void FateDriver::offerQueued() {
  for (const TaskId &id : Book.queuedTasks()) {
    const Worker &worker = Workers[random(FateWorkers)];
    // A worker is known once it has synced with this leader.
    if (Leases.endOf(worker.Id) <= Now)
      continue;
    if (auto offer = Book.offer(id, LeaderTerm, worker.Id,
                                worker.WorkerIncarnation, Grant, Now))
      Proposed.push_back(*std::move(offer));
  }
}

void FateDriver::tickWorker(uint32_t n) {
  Worker &worker = Workers[n];
  const Instant now = localTime(worker);
  runTasks(worker, now);
  if (now < worker.WaitsUntil)
    return;
  if (worker.WaitsUntil != Instant())
    worker.Filter.onFailure();
  worker.WaitsUntil = now + ReplyWait;
  Sync sync{n, delay(worker), now, ++worker.LastSync, syncOf(n)};
  Syncs.push_back(sync);
  if (random(5) == 0) {
    sync.DueAt = delay(worker);
    Syncs.push_back(std::move(sync));
  }
}

void FateDriver::runTasks(Worker &worker, Instant now) {
  if (now >= worker.LeaseEnd)
    stopAll(worker);
  for (auto &[id, tracked] : worker.Tasks) {
    if (!tracked.isRunning() || worker.Behaviour == Continue || random(4) != 0)
      continue;
    tracked.Phase =
        worker.Behaviour == Finish ? TaskPhase::Finished : TaskPhase::Failed;
    tracked.Text = absl::StrCat("answer ", random(1000));
    if (tracked.Phase == TaskPhase::Finished)
      Answers[id][tracked.Token] = tracked.Text;
  }
}

fate::WorkerSync FateDriver::syncOf(uint32_t n) {
  Worker &worker = Workers[n];
  const fate::WorkerAnnouncement self{worker.Id, worker.WorkerIncarnation};
  std::vector<TaskReport> ended;
  std::vector<fate::RunningAttempt> running;
  for (const auto &[id, tracked] : worker.Tasks) {
    const TaskReport report{id, tracked.Token, tracked.Phase, {}, tracked.Text};
    if (tracked.isRunning())
      running.push_back({report, Grant});
    else
      ended.push_back(report);
  }
  if (n != FullSyncWorker)
    return worker.Filter.next(self, ended, running);
  std::ranges::transform(running, std::back_inserter(ended),
                         &fate::RunningAttempt::Report);
  return {self, std::move(ended)};
}

void FateDriver::stopAll(Worker &worker) {
  for (auto &[id, tracked] : worker.Tasks)
    if (tracked.isRunning())
      tracked.Phase = TaskPhase::Stopped;
}

void FateDriver::deliver() {
  const auto take = [this](auto &messages) {
    const auto later =
        std::stable_partition(messages.begin(), messages.end(),
                              [this](const auto &m) { return m.DueAt > Now; });
    std::remove_reference_t<decltype(messages)> due(later, messages.end());
    messages.erase(later, messages.end());
    return due;
  };
  for (const Sync &sync : take(Syncs))
    if (random(5) != 0)
      handle(sync);
  for (const Reply &reply : take(Replies))
    if (random(5) != 0)
      handle(reply);
}

void FateDriver::handle(const Sync &sync) {
  const Worker &worker = Workers[sync.Worker];
  const Incarnation start = sync.What.Announcement.WorkerIncarnation;
  Scopes.onSync(sync.What, Book, Now);
  propose(Book.workerRestarted(worker.Id, start, Now));
  for (const TaskReport &report : sync.What.Reports)
    propose(Book.report(worker.Id, start, report, Now));
  // An expired lease starts again only after the attempts under it were lost.
  if (!Leases.renew(worker.Id, Now)) {
    if (!Book.attemptsOn(worker.Id).empty())
      return;
    Leases.reset(worker.Id, Now);
  }
  Scopes.onReply(worker.Id, Now);
  Replies.push_back({sync.Worker,
                     delay(worker),
                     sync.SentAt,
                     start,
                     sync.Number,
                     {LeaderTerm, Lease, directivesFor(worker, sync),
                      Scopes.nextScope(worker.Id)}});
}

std::vector<Directive> FateDriver::directivesFor(const Worker &worker,
                                                 const Sync &sync) const {
  std::vector<Directive> directives;
  for (const fate::Attempt &attempt : Book.attemptsOn(worker.Id)) {
    if (attempt.WorkerIncarnation != sync.What.Announcement.WorkerIncarnation)
      continue;
    if (attempt.IsStopping)
      directives.push_back({DirectiveKind::Stop, attempt.Task, attempt.Token});
    else if (attempt.State == FateState::Offered)
      directives.push_back({DirectiveKind::Start, attempt.Task, attempt.Token});
  }
  for (const TaskReport &report : sync.What.Reports)
    if (const auto kind = Book.directiveFor(worker.Id, report))
      directives.push_back({*kind, report.Task, report.Token});
  return directives;
}

void FateDriver::handle(const Reply &reply) {
  Worker &worker = Workers[reply.Worker];
  const Instant end = reply.SentAt + reply.What.Lease;
  // A reply to another start, or one that arrives after its own lease, is
  // ignored.
  if (reply.WorkerIncarnation != worker.WorkerIncarnation ||
      end <= localTime(worker))
    return;
  worker.LeaseEnd = std::max(worker.LeaseEnd, end);
  if (reply.Number == worker.LastSync && worker.WaitsUntil != Instant()) {
    worker.Filter.onReply(reply.What);
    worker.WaitsUntil = Instant();
  } else {
    worker.Filter.onUnfilteredReply(reply.What);
  }
  for (const Directive &directive : reply.What.Directives)
    execute(worker, directive);
}

void FateDriver::execute(Worker &worker, const Directive &directive) {
  const auto it = worker.Tasks.find(directive.Task);
  const bool isHeld =
      it != worker.Tasks.end() && it->second.Token == directive.Token;
  AttemptToken &highest = worker.Highest[directive.Task];
  if (directive.Kind == DirectiveKind::Acknowledge) {
    if (isHeld && !it->second.isRunning())
      worker.Tasks.erase(it);
  } else if (directive.Kind == DirectiveKind::Stop) {
    if (isHeld && it->second.isRunning())
      it->second.Phase = TaskPhase::Stopped;
    else if (directive.Token > highest)
      worker.Tasks[directive.Task] = {directive.Token, TaskPhase::Refused, ""};
    highest = std::max(highest, directive.Token);
  } else if (directive.Token > highest) {
    highest = directive.Token;
    const bool isRefused = worker.Behaviour == Refuse;
    worker.Tasks[directive.Task] = {
        directive.Token, isRefused ? TaskPhase::Refused : TaskPhase::Started,
        ""};
    if (!isRefused)
      ++Starts[directive.Task];
  }
}

std::string FateDriver::checkRules() {
  std::map<TaskId, uint32_t> places;
  for (const Worker &worker : Workers)
    for (const auto &[id, tracked] : worker.Tasks)
      if (tracked.isRunning() && ++places[id] > 1)
        return "a task runs on two workers at once";
  for (uint32_t n = 0; n < FateRequests; ++n) {
    const fate::RequestRecord *request = Book.findRequest(requestId(n));
    if (request == nullptr)
      continue;
    for (uint32_t k = 0; k < request->Tasks.size(); ++k)
      if (std::string broken = checkTask({requestId(n), k}, *request);
          !broken.empty())
        return broken;
  }
  return "";
}

std::string FateDriver::checkTask(const TaskId &id,
                                  const fate::RequestRecord &request) {
  const fate::TaskRecord &task = request.Tasks[id.Index];
  if (!request.Work.Entry.IsIdempotent && Starts[id] > 1)
    return "a task that is not idempotent was started twice";
  if (!fate::isTerminal(task.State))
    return "";
  if (task.State == FateState::NotRun && Starts[id] > 0)
    return "a task that ran is recorded as never run";
  if (task.State == FateState::Finished && Answers[id][task.Token] != task.Text)
    return "the recorded answer is not the task's answer";
  const auto [it, isNew] = Ended.try_emplace(id, task);
  return it->second == task ? "" : "the record of an ended task changed";
}

} // namespace jujube::testing
