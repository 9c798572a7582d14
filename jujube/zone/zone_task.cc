#include "jujube/zone/zone_task.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace jujube::zone {
namespace {

constexpr Duration PlanPeriod = Duration::millis(50);
constexpr Duration SweepPeriod = Duration::millis(100);
constexpr Duration SlicePeriod = Duration::seconds(1);
constexpr Duration SliceTimeout = Duration::millis(900);
// After this long without a report from an entry host, the fate of its live
// offers counts as unresolved. Longer than any live request may take.
constexpr Duration EntryHostTimeout = Duration::seconds(15);

} // namespace

ZoneTask::ZoneTask(const ZoneOptions &options, runtime::TaskContext &context,
                   wire::PacketMailbox outbox)
    : Settings(options), Loop(context.loop()),
      Messages(Loop, options.Self, options.Listen, std::move(outbox)),
      Keepers(Loop, Messages),
      Catalogue(Loop, Keepers,
                {[this] {
                   return wire::HostStatus{{Settings.Self,
                                            catalogue::HostRole::Zone,
                                            Settings.Zone, Settings.Listen},
                                           isServing(),
                                           Group.log().term()};
                 },
                 [this] {
                   if (ActiveScheduler)
                     ActiveScheduler->setCatalogue(Catalogue.catalogue());
                 }}),
      Group(Loop, Messages,
            {"scheduler", [this] { return isServing(); },
             [this](const wire::Envelope &request) {
               std::visit([&](const auto &what) { handle(request, what); },
                          request.What);
             }}) {}

ZoneTask::~ZoneTask() = default;

Result<std::unique_ptr<ZoneTask>>
ZoneTask::create(const ZoneOptions &options, runtime::TaskContext &context,
                 wire::PacketMailbox outbox) {
  std::unique_ptr<ZoneTask> task(
      new ZoneTask(options, context, std::move(outbox)));
  if (Status status = task->openReplica(); !isOk(status))
    return errorOf(status);
  task->Keepers.setMembers(options.Keepers);
  task->Catalogue.start();
  task->startTimers();
  return task;
}

Status ZoneTask::openReplica() {
  consensus::Options options;
  options.Self = {Settings.Self, Settings.Listen};
  // A member without a disk needs a higher incarnation on every start, so it
  // uses the wall time.
  options.HostIncarnation =
      Incarnation{static_cast<uint64_t>(Settings.WallClock.now().millis())};
  options.Configured = Settings.Peers;
  options.Rule = consensus::Formation::WhenMajorityEmpty;
  if (Status status = Group.open(options, {}, Settings.ElectionSeed,
                                 replicaHooks(), std::nullopt);
      !isOk(status))
    return status;
  Group.log().onTurnEnd([this] {
    if (isServing() && ActiveScheduler->needsPlan())
      ActiveScheduler->plan(moment());
    Outbox.flush([this](const std::vector<fate::Event> &events,
                        replica::ProposalHook done) {
      propose(events, std::move(done));
    });
    if (!isServing())
      return;
    for (const WorkerId &worker : std::exchange(WorkersToAnswer, {}))
      answerSync(worker);
  });
  return Ok{};
}

replica::ReplicaHooks ZoneTask::replicaHooks() {
  replica::ReplicaHooks hooks;
  hooks.Apply = [this](const std::string &payload) { apply(payload); };
  hooks.Restore = [this](const std::string &data) {
    auto state = wire::decodeFateSnapshot(data);
    CHECK(isOk(state)) << errorOf(state).text();
    auto book = fate::FateStateMachine::fromState(valueOf(std::move(state)));
    CHECK(isOk(book)) << errorOf(book).text();
    Book = valueOf(std::move(book));
  };
  hooks.Capture = [this] { return wire::encodeFateSnapshot(Book.state()); };
  hooks.RoleChanged = [this](const consensus::RoleChanged &change) {
    changeRole(change);
  };
  return hooks;
}

void ZoneTask::startTimers() {
  Loop.callEvery(PlanPeriod, [this] {
    if (isServing())
      ActiveScheduler->plan(moment());
  });
  Loop.callEvery(SweepPeriod, [this] {
    answerDueRequests();
    if (isServing())
      ActiveScheduler->sweep(moment());
    if (isServing() && ActiveScheduler->hasUrgentSliceReport())
      reportToKeepers();
  });
  Loop.callEvery(SlicePeriod, [this] { reportToKeepers(); });
}

Moment ZoneTask::moment() const {
  return {Loop.now(), Settings.WallClock.now()};
}

void ZoneTask::changeRole(const consensus::RoleChanged &change) {
  if (change.Now == consensus::Role::Leader && change.Leader == Settings.Self) {
    startLeading(change.At);
    return;
  }
  ActiveScheduler.reset();
  Outbox.clear();
  Runners.reset();
  refuseParkedRequests();
}

void ZoneTask::startLeading(Term term) {
  Outbox.clear();
  SchedulerHooks hooks;
  hooks.Propose = [this](std::vector<fate::Event> events) {
    Outbox.add(std::move(events));
  };
  hooks.WakeWorker = [this](const WorkerId &worker) {
    WorkersToAnswer.insert(worker);
  };
  hooks.RequestEnded = [this](const RequestId &id) { answerFateQueries(id); };
  auto scheduler = Scheduler::create(
      Settings, term, Book, Catalogue.catalogue(), std::move(hooks), moment());
  auto runners = RunnerRegistry::create(Settings.Zone, term, Loop.now());
  CHECK(isOk(scheduler) && isOk(runners))
      << "the default options were rejected";
  ActiveScheduler = valueOf(std::move(scheduler));
  Runners = valueOf(std::move(runners));
  Runners->expectEntryHosts(Catalogue.hosts());
  announceLeadership(term);
  // Reports at once, because no worker's lease is renewed before the keepers
  // have replied.
  Loop.callAt(Loop.now(), [this] { reportToKeepers(); });
}

void ZoneTask::announceLeadership(Term term) {
  for (const wire::HostStatus &host : Catalogue.hosts())
    if (host.Host.Role == catalogue::HostRole::Entry)
      Messages.send(host.Host.Peer,
                    wire::AnnounceLeader{Settings.Zone, term, Settings.Listen});
}

void ZoneTask::apply(const std::string &payload) {
  const auto events = wire::decodeZoneEvents(payload);
  CHECK(isOk(events)) << errorOf(events).text();
  for (const fate::Event &event : valueOf(events))
    if (Book.apply(event) && ActiveScheduler)
      ActiveScheduler->onApplied(event, moment());
}

void ZoneTask::propose(const std::vector<fate::Event> &events,
                       replica::ProposalHook done) {
  Group.log().propose(wire::encodeZoneEvents(events), std::move(done));
}

TeamId ZoneTask::actingTeam(const RequestId &id,
                            const TeamId &presented) const {
  const fate::RequestRecord *record = Book.findRequest(id);
  if (presented.empty() && record && record->Work.Entry.IsOpen)
    return record->Work.Team;
  return presented;
}

bool ZoneTask::isVisibleTo(const RequestId &id, const TeamId &presented) const {
  const auto view = Book.view(id);
  return view && view->Team == actingTeam(id, presented);
}

void ZoneTask::answerFate(const wire::Envelope &request, const RequestId &id) {
  if (auto view = Book.view(id))
    Messages.reply(request, wire::FateReply{std::move(*view)});
  else
    Group.refuse(request,
                 Error{ErrorKind::NotFound,
                       absl::StrCat("there is no request ", id.str()),
                       "check the request id; fates are kept for a day"});
}

void ZoneTask::proposeThenAnswer(
    const wire::Envelope &request, const RequestId &id,
    const Result<std::optional<fate::Event>> &event) {
  if (!isOk(event)) {
    Group.refuse(request, errorOf(event));
    return;
  }
  if (!valueOf(event)) {
    answerFate(request, id);
    return;
  }
  propose({*valueOf(event)}, [this, request, id](const Status &status) {
    if (isOk(status))
      answerFate(request, id);
    else
      Group.refuse(request, errorOf(status));
  });
}

void ZoneTask::handle(const wire::Envelope &request,
                      const wire::SubmitWork &submit) {
  proposeThenAnswer(request, submit.Work.Request,
                    Book.submit(submit.Work, Settings.WallClock.now()));
}

void ZoneTask::handle(const wire::Envelope &request,
                      const wire::CancelWork &cancel) {
  proposeThenAnswer(request, cancel.Request,
                    Book.cancel(cancel.Request,
                                actingTeam(cancel.Request, cancel.Team),
                                Settings.WallClock.now()));
}

void ZoneTask::handle(const wire::Envelope &request,
                      const wire::QueryFate &ask) {
  if (!isVisibleTo(ask.Request, ask.Team)) {
    Group.refuse(
        request,
        Error{ErrorKind::NotFound,
              absl::StrCat("the team has no request ", ask.Request.str()),
              "check the request id and the key; fates are kept for a day"});
    return;
  }
  if (ask.Wait <= Duration() || fate::isTerminal(*Book.stateOf(ask.Request)))
    answerFate(request, ask.Request);
  else
    FateQueries.emplace(ask.Request,
                        ParkedFateQuery{request, Loop.now() + ask.Wait});
}

void ZoneTask::answerFateQueries(const RequestId &id) {
  const auto [first, last] = FateQueries.equal_range(id);
  std::for_each(first, last,
                [&](const auto &item) { answerFate(item.second.Request, id); });
  FateQueries.erase(first, last);
}

void ZoneTask::handle(const wire::Envelope &request,
                      const wire::SyncTasks &sync) {
  const WorkerId &worker = sync.Sync.Announcement.Worker;
  const Status status = ActiveScheduler->takeSync(sync.Sync, moment());
  if (!isOk(status)) {
    Group.refuse(request, errorOf(status));
    return;
  }
  ParkedSyncs &parked = Syncs[worker];
  // While another sync is parked, one that brings only changes (it has no
  // digest of unreported attempts) is answered at once.
  const bool isExtra = !parked.empty() && !sync.Sync.Unreported;
  const Duration hold =
      isExtra ? Duration() : ActiveScheduler->replyHold(sync.Sync, Loop.now());
  parked.push_back({request, Loop.now() + hold});
  WorkersToAnswer.insert(worker);
}

void ZoneTask::answerSync(const WorkerId &worker) {
  const auto it = Syncs.find(worker);
  if (it == Syncs.end())
    return;
  ParkedSyncs &parked = it->second;
  const auto next = std::ranges::min_element(parked, {}, &ParkedSync::AnswerBy);
  const bool isDue = next->AnswerBy <= Loop.now();
  auto reply = ActiveScheduler->replyTo(worker, isDue, moment());
  if (!reply)
    return;
  Messages.reply(next->Request, wire::SyncTasksReply{std::move(*reply)});
  parked.erase(next);
  if (parked.empty())
    Syncs.erase(it);
}

void ZoneTask::answerDueRequests() {
  const Instant now = Loop.now();
  for (const auto &[worker, parked] : Syncs)
    if (std::ranges::any_of(parked, [now](const ParkedSync &sync) {
          return sync.AnswerBy <= now;
        }))
      WorkersToAnswer.insert(worker);
  std::erase_if(FateQueries, [&](const auto &item) {
    if (item.second.AnswerBy > now)
      return false;
    answerFate(item.second.Request, item.first);
    return true;
  });
}

void ZoneTask::refuseParkedRequests() {
  const Error why = Group.lostLeadershipError();
  for (const auto &[worker, parked] : std::exchange(Syncs, {}))
    for (const ParkedSync &sync : parked)
      Group.refuse(sync.Request, why);
  for (const auto &[id, parked] : std::exchange(FateQueries, {}))
    Group.refuse(parked.Request, why);
}

void ZoneTask::handle(const wire::Envelope &request,
                      const wire::ForwardAnnouncement &pass) {
  Runners->announce(pass.Runner, Loop.now());
  Messages.reply(request, wire::Done{});
}

void ZoneTask::handle(const wire::Envelope &request,
                      const wire::ReportCredits &report) {
  if (auto news = Runners->report(report.Report, Loop.now()))
    Messages.reply(request, std::move(*news), wire::Channel::Datagram);
}

void ZoneTask::handle(const wire::Envelope &request,
                      const wire::JournalLive &live) {
  const auto event = Book.offerLive(live.Offer);
  if (!isOk(event)) {
    Group.refuse(request, errorOf(event));
    return;
  }
  if (!valueOf(event)) {
    answerFate(request, live.Offer.Request);
    return;
  }
  propose({*valueOf(event)}, [this, request](const Status &status) {
    if (isOk(status))
      Messages.reply(request, wire::Done{});
    else
      Group.refuse(request, errorOf(status));
  });
}

void ZoneTask::handle(const wire::Envelope &request,
                      const wire::JournalLiveEnd &live) {
  propose({live.End}, [this, request](const Status &status) {
    if (isOk(status))
      Messages.reply(request, wire::Done{});
    else
      Group.refuse(request, errorOf(status));
  });
}

void ZoneTask::handle(const wire::Envelope &request, const wire::ReadZone &) {
  wire::ZoneReply news{status(), ActiveScheduler->metrics()};
  Messages.addTraffic(catalogue::HostRole::Zone, news.Metrics);
  Messages.reply(request, std::move(news));
}

api::ZoneStatus ZoneTask::status() const {
  const placement::PlannerStatus planner = ActiveScheduler->status();
  api::ZoneStatus status;
  status.Zone = Settings.Zone;
  status.Leader = Settings.Self;
  status.Voters = static_cast<uint32_t>(Group.log().voters());
  status.Workers = planner.Workers;
  status.QuarantinedWorkers = planner.QuarantinedWorkers;
  status.QueuedTasks = planner.QueuedTasks;
  status.RunningTasks = planner.PlacedTasks;
  status.Held = planner.Held;
  status.Reserved = planner.Reserved;
  return status;
}

void ZoneTask::reportToKeepers() {
  if (!isServing())
    return;
  Runners->expectEntryHosts(Catalogue.hosts());
  Runners->tick(Loop.now());
  for (const HostId &host :
       Runners->takeSilentHosts(EntryHostTimeout, Loop.now()))
    Outbox.add(Book.entryHostLost(host, Settings.WallClock.now()));
  Keepers.callOnce(wire::ReportSlices{ActiveScheduler->reportSlices(moment())},
                   SliceTimeout, [this](const Result<wire::Message> &reply) {
                     const auto *news =
                         isOk(reply) ? std::get_if<wire::SliceReportReply>(
                                           &valueOf(reply))
                                     : nullptr;
                     if (news && isServing())
                       ActiveScheduler->takeSlices(news->Reply, moment());
                   });
}

} // namespace jujube::zone
