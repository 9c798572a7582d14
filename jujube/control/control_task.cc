#include "jujube/control/control_task.h"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"
#include "jujube/logging/line.h"
#include "jujube/replica/store_hooks.h"

namespace jujube::control {
namespace {

using logging::Event;
using logging::Line;

// Period of the checks of leases, stops and plans.
constexpr Duration TickPeriod = Duration::millis(50);
constexpr Duration SweepPeriod = Duration::seconds(2);
// A sync that takes longer counts as slow; a leader transfers leadership after
// several slow syncs in a row. The limit is half of a caller's attempt; a usual
// sync takes 6 to 9 ms.
constexpr Duration SlowSync = Duration::millis(90);
// A voter that has been silent for this long is replaced if a spare host is
// available. The limit follows from the time in which the successor of a lost
// machine has to catch up.
constexpr Duration ReplaceVoterAfter = Duration::millis(2500);
// Period of the log lines about the processor time of this task.
constexpr Duration WorkPeriod = Duration::seconds(10);

} // namespace

ControlTask::ControlTask(const ControlOptions &options,
                         const ControlMailboxes &mailboxes,
                         runtime::TaskContext &context,
                         wire::PacketMailbox outbox)
    : Settings(options), Loop(context.loop()),
      Meter(Loop.clock(), Settings.Processor),
      Messages(Loop, Settings.Self, Settings.Listen, std::move(outbox)),
      Group(Loop, Messages,
            {"control member",
             [this] { return Sessions != nullptr && Group.log().mayServe(); },
             [this](const wire::Envelope &request) { handle(request); }}),
      LeaderClient(Loop, Messages, Settings.Seeds),
      Calls(Loop, mailboxes.Calls, mailboxes.Results),
      WallClock(Settings.WallClock) {
  Loop.onTurn([this] { Meter.beginTurn(); }, [this] { noteTurn(); });
  Loop.watchMailbox<ClientRequest>(
      mailboxes.Clients,
      [this](ClientRequest request) { serve(std::move(request)); });
  Loop.watchMailbox<http::MetricsRequest>(
      mailboxes.MetricsRequests, [this](const http::MetricsRequest &question) {
        question.Answer->set(snapshot());
      });
  Loop.watch(mailboxes.Leaving->fd(), POLLIN,
             [this, leaving = mailboxes.Leaving](short) {
               leaving->clear();
               Line(Event::Leaving).with("term", Group.log().term());
               Group.log().transferLeadership();
             });
}

Result<std::unique_ptr<ControlTask>>
ControlTask::create(const ControlOptions &options,
                    const ControlMailboxes &mailboxes,
                    runtime::TaskContext &context, wire::PacketMailbox outbox) {
  std::unique_ptr<ControlTask> task(
      new ControlTask(options, mailboxes, context, std::move(outbox)));
  if (Status status = task->openReplica(); !isOk(status))
    return errorOf(status);
  task->Loop.callEvery(TickPeriod, [raw = task.get()] {
    if (raw->Sessions) {
      const auto scope = raw->Meter.enter(Work::WorkerOrders);
      raw->Sessions->tick();
    }
    raw->IsPlanDue = true;
  });
  task->Loop.callEvery(WorkPeriod, [raw = task.get()] { raw->logWork(); });
  task->Loop.callEvery(SweepPeriod, [raw = task.get()] { raw->sweep(); });
  return task;
}

Status ControlTask::openReplica() {
  storage::StoreOptions folder;
  folder.Folder = Settings.DataFolder;
  folder.ChecksFolderAccess = Settings.ChecksDataAccess;
  folder.Hooks = Settings.Files;
  auto disk = storage::Store::open(std::move(folder), WallClock.now());
  if (!isOk(disk))
    return errorOf(disk);
  Storage = std::make_unique<storage::Store>(valueOf(std::move(disk)));
  Line(Event::JournalOpened)
      .with("bytes", Storage->report().JournalBytes)
      .with("torn_bytes", Storage->report().TornBytes)
      .with("incarnation", Storage->incarnation());
  consensus::Options options;
  options.Self = {Settings.Self, Settings.Listen};
  options.HostIncarnation = Storage->incarnation();
  for (const Address &seed : Settings.Seeds)
    options.Configured.push_back({hostIdOf(seed), seed});
  const bool isSeed = std::ranges::find(Settings.Seeds, Settings.Listen) !=
                      Settings.Seeds.end();
  options.Rule = Settings.MayBootstrap && isSeed
                     ? consensus::Formation::WhenAllEmpty
                     : consensus::Formation::Never;
  options.TargetVoters = Settings.Voters;
  options.AdmitsUnknownHosts = true;
  options.ReplaceAfter = ReplaceVoterAfter;
  options.Heartbeat = GroupHeartbeat;
  options.Lease = GroupLease;
  if (Status status =
          Group.open(options, Storage->takeRecovered(), Settings.ElectionSeed,
                     replicaHooks(), diskHooks());
      !isOk(status))
    return status;
  Group.log().onTurnEnd([this] {
    serveAdmitted();
    {
      const auto scope = Meter.enter(Work::Plan, 0);
      endTurn();
    }
    Meter.settle(Work::Peers);
  });
  return Ok{};
}

// Measures the duration of writes, since a leader with a slow disk transfers
// leadership.
replica::DiskHooks ControlTask::diskHooks() {
  replica::DiskHooks hooks = replica::diskHooksFor(*Storage);
  hooks.Write = [this, write = std::move(hooks.Write)](
                    const std::vector<consensus::Persist> &changes) {
    const auto scope = Meter.enter(Work::Sync);
    const Instant begin = Loop.now();
    Status synced = write(changes);
    const Duration span = Loop.now() - begin;
    TaskMetrics.observe("sync_ms", {}, static_cast<double>(span.millis()));
    SlowSyncs = span > SlowSync ? SlowSyncs + 1 : 0;
    return synced;
  };
  hooks.SaveSnapshot = [this, save = std::move(hooks.SaveSnapshot)](
                           const consensus::Snapshot &snapshot) {
    const auto scope = Meter.enter(Work::Snapshot, 0);
    return save(snapshot);
  };
  return hooks;
}

replica::ReplicaHooks ControlTask::replicaHooks() {
  replica::ReplicaHooks hooks;
  hooks.Apply = [this](const std::string &payload) { applyRecord(payload); };
  hooks.Restore = [this](const std::string &data) {
    auto state = wire::decodeJobSnapshot(data);
    CHECK(isOk(state)) << errorOf(state).text();
    Book = jobs::JobStateMachine::restore(valueOf(std::move(state)));
  };
  hooks.Capture = [this] {
    const auto scope = Meter.enter(Work::Snapshot);
    return wire::encodeJobSnapshot(Book.capture());
  };
  hooks.RoleChanged = [this](const consensus::RoleChanged &change) {
    changeRole(change);
  };
  return hooks;
}

void ControlTask::changeRole(const consensus::RoleChanged &change) {
  const bool isLeader =
      change.Now == consensus::Role::Leader && change.Leader == Settings.Self;
  if (isLeader) {
    const auto scope = Meter.enter(Work::TakeOver);
    becomeLeader();
    return;
  }
  noteLeadershipLost(change);
  Sessions.reset();
  Approved = dispatch::Approvals();
  EndedAt.clear();
  Waits = WaitTracker();
  IsPlanStoring = false;
  PlanResume.reset();
  Shares = {};
  for (const BatchPart &part : Batch.take())
    part.finish(false);
}

void ControlTask::becomeLeader() {
  Sessions = std::make_shared<WorkerSessions>(
      sessionHooks(), Book, Settings.Leases, Group.log().term().Value,
      Settings.Calling.MaxConnections / 2);
  const Instant now = Loop.now();
  for (const auto &[id, job] : Book.jobs())
    if (isEnded(job.State))
      EndedAt.emplace(id, now);
    else
      Waits.begin(id, now);
  for (const jobs::Withdrawal &withdrawn : Book.withdrawals().capture())
    EndedAt.emplace(withdrawn.Job, now);
  Sessions->takeOver();
  CurrentLeadership = Leadership{now, now};
  noteLeadershipTaken(Loop.now() - now);
  IsPlanDue = true;
}

WorkerSessions::Hooks ControlTask::sessionHooks() {
  WorkerSessions::Hooks hooks;
  hooks.Send = [this](const dispatch::Order &order, Duration timeout,
                      std::function<void(dispatch::OrderAnswer)> done) {
    sendOrder(order, timeout, std::move(done));
  };
  hooks.Store = [this](std::vector<jobs::Event> events,
                       std::function<void(bool)> done) {
    // The callback is dropped if this member has lost leadership and the
    // sessions with the workers have been destroyed.
    for (jobs::Event &event : events)
      if (auto *end = std::get_if<jobs::AttemptEnded>(&event))
        event = jobs::AttemptEndedAt{std::move(*end), WallClock.now()};
    store(std::move(events),
          [done = std::move(done),
           sessions = std::weak_ptr<WorkerSessions>(Sessions)](bool isStored) {
            if (sessions.lock() != nullptr)
              done(isStored);
          });
  };
  hooks.Now = [this] { return Loop.now(); };
  hooks.MayGrant = [this] { return Group.log().mayServe(); };
  hooks.ExpireTicket = [this](const jobs::StepKey &step,
                              const WorkerId &worker) {
    Approved.expire(step, worker);
  };
  return hooks;
}

void ControlTask::sendOrder(const dispatch::Order &order, Duration timeout,
                            std::function<void(dispatch::OrderAnswer)> done) {
  const auto scope = Meter.enter(Work::WorkerOrders);
  http::OutboundCall call = Settings.Workers.Encode(order);
  call.Timeout = timeout;
  // Drop answers to orders of an earlier term of leadership.
  Calls.call(std::move(call),
             [this, order, done = std::move(done),
              sessions = std::weak_ptr<WorkerSessions>(Sessions)](
                 const http::OutboundResult &result) {
               if (sessions.lock() == nullptr || sessions.lock() != Sessions)
                 return;
               const auto scope = Meter.enter(Work::WorkerAnswers);
               done(Settings.Workers.Decode(order, result));
               IsPlanDue = true;
             });
}

void ControlTask::receive(const wire::TransportEvent &event) {
  const auto scope = Meter.enter(Work::Peers);
  Group.receive(event);
}

void ControlTask::store(std::vector<jobs::Event> events,
                        std::function<void(bool)> done) {
  // Events are stored at the end of a turn. Schedule another turn, in case the
  // last turn has already ended.
  if (Batch.empty())
    Loop.callAt(Loop.now(), [] {});
  Batch.add(std::move(events), std::move(done));
}

void ControlTask::flushBatch() {
  for (BatchPart &part : Batch.take()) {
    const auto scope = Meter.enter(Work::Propose, part.Events.size());
    const std::string payload = wire::encodeControlEvents(part.Events);
    Group.log().propose(payload,
                        [part = std::move(part)](const Status &status) {
                          part.finish(isOk(status));
                        });
  }
}

void ControlTask::applyRecord(const std::string &payload) {
  const auto scope = Meter.enter(Work::Apply, 0);
  const auto events = wire::decodeControlEvents(payload);
  CHECK(isOk(events)) << errorOf(events).text();
  Meter.addUnits(Work::Apply, valueOf(events).size());
  for (const jobs::Event &event : valueOf(events))
    applyEvent(event);
}

// Applies an event and, on the leader, acts on its effects.
void ControlTask::applyEvent(const jobs::Event &event) {
  if (std::holds_alternative<jobs::ConfigurationPut>(event))
    ConfiguredAt = Loop.now();
  if (Sessions == nullptr) {
    Book.apply(event);
    return;
  }
  IsPlanDue = true;
  if (const auto *end = std::get_if<jobs::AttemptEnded>(&event)) {
    applyAttemptEnded(*end, event);
  } else if (const auto *timed = std::get_if<jobs::AttemptEndedAt>(&event)) {
    applyAttemptEnded(timed->What, event);
  } else if (const auto *gone = std::get_if<jobs::WorkerGone>(&event)) {
    applyWorkerGone(*gone);
  } else if (const auto *cancel = std::get_if<jobs::JobCancelled>(&event)) {
    applyJobCancelled(cancel->Job, event);
  } else if (const auto *withdrawn = std::get_if<jobs::JobWithdrawn>(&event)) {
    applyJobCancelled(withdrawn->Job, event);
  } else {
    Book.apply(event);
    if (const auto *accepted = std::get_if<jobs::JobAccepted>(&event))
      noteAccepted(accepted->Spec);
    else if (const auto *placed = std::get_if<jobs::JobAcceptedAt>(&event))
      noteAccepted(placed->What.Spec);
    else if (const auto *submitted = std::get_if<jobs::JobSubmitted>(&event))
      noteAccepted(submitted->What.Spec);
    else if (const auto *changed = std::get_if<jobs::WorkerChanged>(&event))
      Sessions->noteWorkerChanged(changed->Now.Id);
  }
}

void ControlTask::applyAttemptEnded(const jobs::AttemptEnded &end,
                                    const jobs::Event &event) {
  if (!Book.isLive(end.Task, end.Attempt)) {
    Book.apply(event);
    return;
  }
  const WorkerId worker = Book.findTask(end.Task)->Live->Worker;
  const jobs::Job &job = *Book.find(end.Task.Job);
  const bool wasOpen = !isEnded(job.State);
  const std::optional<Duration> objective =
      wasOpen ? objectiveSpan(job) : std::nullopt;
  Book.apply(event);
  Sessions->noteEnded(end.Task, worker);
  noteEnd(end, job, worker);
  if (!isEnded(job.State)) {
    stopRestOfGang(jobs::stepOf(end.Task));
    return;
  }
  EndedAt.emplace(end.Task.Job, Loop.now());
  if (wasOpen)
    noteJobEnded(job, objective);
  stopLiveTasks(end.Task.Job);
}

void ControlTask::applyWorkerGone(const jobs::WorkerGone &event) {
  const std::set<jobs::TaskKey> lost = Book.loadOf(event.Worker).Tasks;
  Book.apply(event);
  if (Book.findWorker(event.Worker) != nullptr)
    return;
  for (const jobs::TaskKey &task : lost) {
    Sessions->noteEnded(task, event.Worker);
    stopRestOfGang(jobs::stepOf(task));
  }
  Line(Event::WorkerLost)
      .with("worker", event.Worker)
      .with("life", event.WorkerIncarnation)
      .with("attempts", lost.size());
  Sessions->noteWorkerChanged(event.Worker);
}

void ControlTask::applyJobCancelled(const jobs::JobId &id,
                                    const jobs::Event &event) {
  const jobs::Job *job = Book.find(id);
  const bool wasOpen = job != nullptr && !isEnded(job->State);
  const std::optional<Duration> objective =
      wasOpen ? objectiveSpan(*job) : std::nullopt;
  Book.apply(event);
  // The withdrawal may be that of another team, or beyond the bounds.
  const bool hasEffect =
      job != nullptr ? isEnded(job->State) : Book.withdrawals().contains(id);
  if (!hasEffect)
    return;
  stopLiveTasks(id);
  EndedAt.emplace(id, Loop.now());
  if (wasOpen)
    noteJobEnded(*job, objective);
}

void ControlTask::stopLiveTasks(const jobs::JobId &id) {
  const jobs::Job *job = Book.find(id);
  if (job == nullptr || job->State == jobs::JobState::Completed)
    return;
  for (uint32_t k = 0; k < job->Occurrences.size(); ++k)
    for (uint32_t s = 0; s < job->Occurrences[k].Steps.size(); ++s)
      for (uint32_t i = 0; i < job->Occurrences[k].Steps[s].Tasks.size(); ++i)
        Sessions->stop({id, k, s, i}, StopReason::JobEnded);
}

// The other tasks of a gang cannot continue after one of them has ended.
void ControlTask::stopRestOfGang(const jobs::StepKey &key) {
  const jobs::StepSpec *spec = Book.findStep(key);
  const jobs::StepState *state = Book.findStepState(key);
  if (spec == nullptr || state == nullptr || !spec->IsGang || state->isDone())
    return;
  for (uint32_t i = 0; i < state->Tasks.size(); ++i)
    Sessions->stop({key.Job, key.Occurrence, key.Step, i},
                   StopReason::GangBroken);
}

} // namespace jujube::control
