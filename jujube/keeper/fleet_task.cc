#include "jujube/keeper/fleet_task.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"
#include "jujube/base/digest.h"
#include "jujube/catalogue/follower.h"
#include "jujube/logging/line.h"
#include "jujube/replica/store_hooks.h"

namespace jujube::keeper {
namespace {

using logging::Event;
using logging::Line;

// Longest time that a poll is parked while the catalogue is unchanged.
constexpr Duration PollHold = Duration::millis(500);
// After this time an edit is answered as not in force yet.
constexpr Duration EditHold = Duration::seconds(6);
// A control host that has not polled for this long is removed from the list.
constexpr Duration HostTimeout = Duration::seconds(5);
// Upper bound on the drift between two clocks over catalogue::FreshnessBound.
constexpr Duration ClockDrift = Duration::millis(200);
// How often parked requests are checked.
constexpr Duration SweepPeriod = Duration::millis(20);
constexpr Duration ReclaimPeriod = Duration::seconds(1);
constexpr Duration ExpiryPeriod = Duration::seconds(1);

} // namespace

FleetTask::FleetTask(const KeeperOptions &options,
                     runtime::TaskContext &context, wire::PacketMailbox outbox)
    : Settings(options), Loop(context.loop()),
      Messages(Loop, options.Self, options.Listen, std::move(outbox)),
      Group(Loop, Messages,
            {"keeper",
             [this] { return RevisionTracker && Group.log().mayServe(); },
             [this](const wire::Envelope &request) {
               std::visit([&](const auto &what) { handle(request, what); },
                          request.What);
             }}),
      Hosts(HostTimeout) {}

FleetTask::~FleetTask() = default;

Result<std::unique_ptr<FleetTask>>
FleetTask::create(const KeeperOptions &options, runtime::TaskContext &context,
                  wire::PacketMailbox outbox) {
  std::unique_ptr<FleetTask> task(
      new FleetTask(options, context, std::move(outbox)));
  if (Status status = task->openReplica(); !isOk(status))
    return errorOf(status);
  task->Loop.callEvery(SweepPeriod,
                       [self = task.get()] { self->answerParked(); });
  task->Loop.callEvery(ReclaimPeriod,
                       [self = task.get()] { self->reclaimEndedLeases(); });
  task->Loop.callEvery(ExpiryPeriod, [self = task.get()] {
    self->Hosts.expire(self->Loop.now());
  });
  return task;
}

Status FleetTask::openReplica() {
  auto disk = storage::Store::open({Settings.DataFolder}, Clock::wall().now());
  if (!isOk(disk))
    return errorOf(disk);
  Disk = valueOf(std::move(disk));
  Line(Event::JournalOpened)
      .with("bytes", Disk->report().JournalBytes)
      .with("torn_bytes", Disk->report().TornBytes);
  consensus::Options options;
  options.Self = {Settings.Self, Settings.Listen};
  options.HostIncarnation = Disk->incarnation();
  options.Configured = Settings.Keepers;
  options.Rule = consensus::Formation::WhenAllEmpty;
  return Group.open(options, Disk->takeRecovered(), Settings.ElectionSeed,
                    replicaHooks(), replica::diskHooksFor(*Disk));
}

replica::ReplicaHooks FleetTask::replicaHooks() {
  replica::ReplicaHooks hooks;
  hooks.Apply = [this](const std::string &payload) {
    const auto command = wire::decodeFleetCommand(payload);
    CHECK(isOk(command)) << errorOf(command).text();
    State.apply(valueOf(command));
  };
  hooks.Restore = [this](const std::string &data) {
    const auto state = wire::decodeFleetState(data);
    CHECK(isOk(state)) << errorOf(state).text();
    auto restored = FleetState::restore(valueOf(state));
    CHECK(isOk(restored)) << errorOf(restored).text();
    State = valueOf(std::move(restored));
  };
  hooks.Capture = [this] { return wire::encodeFleetState(State.capture()); };
  hooks.RoleChanged = [this](const consensus::RoleChanged &change) {
    changeRole(change);
  };
  return hooks;
}

void FleetTask::changeRole(const consensus::RoleChanged &change) {
  const bool isLeader =
      change.Now == consensus::Role::Leader && change.Leader == Settings.Self;
  if (isLeader) {
    const Instant now = Loop.now();
    const limits::SlicePolicy policy;
    Hosts.lead(change.At);
    RevisionTracker = std::make_unique<catalogue::PropagationTracker>(
        now, catalogue::FreshnessBound, ClockDrift);
    SliceLeases = std::make_unique<limits::LeaseTable<ZoneId>>(
        policy.BorrowLease, policy.Drift, now);
    return;
  }
  RevisionTracker.reset();
  SliceLeases.reset();
  const Error why = Group.lostLeadershipError();
  for (const ParkedPoll &poll : std::exchange(Polls, {}))
    Group.refuse(poll.Request, why);
  for (const ParkedEdit &edit : std::exchange(Edits, {}))
    Group.refuse(edit.Request, why);
}

void FleetTask::recordHost(const wire::HostStatus &status) {
  if (Hosts.record(status, Loop.now()))
    Line(Event::HostJoined)
        .with("joined", status.Host.Id)
        .with("role", nameIn(catalogue::HostRoleNames, status.Host.Role))
        .with("zone", status.Host.Zone);
  if (status.IsLeader && !State.slices().hasZone(status.Host.Zone))
    propose(limits::SliceCommand(limits::AddZone{status.Host.Zone}),
            [](const Status &) {});
}

void FleetTask::handle(const wire::Envelope &request,
                       const wire::PollCatalogue &poll) {
  recordHost(poll.Self);
  RevisionTracker->onPoll(poll.Self.Host.Id, poll.Have);
  ParkedPoll parked{request, Loop.now() + PollHold};
  if (poll.Have != State.catalogue().latest())
    answerPoll(parked);
  else
    Polls.push_back(std::move(parked));
}

void FleetTask::answerPoll(const ParkedPoll &parked) {
  const auto &poll = std::get<wire::PollCatalogue>(parked.Request.What);
  wire::CatalogueReply news;
  news.News = State.catalogue().updateSince(poll.Have);
  news.HostsVersion = Hosts.version();
  if (poll.KnownHostsVersion != news.HostsVersion)
    news.Hosts = Hosts.hosts();
  news.News.IsConfirmed = Group.log().mayServe();
  if (!news.News.IsConfirmed)
    return;
  RevisionTracker->onReply(poll.Self.Host.Id, poll.Have, news.News.To,
                           Loop.now());
  Messages.reply(parked.Request, std::move(news));
}

void FleetTask::propose(const wire::FleetCommand &command,
                        replica::ProposalHook done) {
  Group.log().propose(wire::encodeFleetCommand(command), std::move(done));
}

void FleetTask::handle(const wire::Envelope &request,
                       const wire::ProposeEdit &edit) {
  if (edit.IsDryRun) {
    const Result<Revision> verdict = State.catalogue().check(edit.Edit);
    if (isOk(verdict))
      Messages.reply(request, wire::EditReply{{valueOf(verdict), false}});
    else
      Group.refuse(request, errorOf(verdict));
    return;
  }
  propose(edit.Edit, [this, request, edit = edit.Edit](const Status &status) {
    if (!isOk(status)) {
      Group.refuse(request, errorOf(status));
      return;
    }
    const Result<Revision> result = State.answerTo(edit);
    if (isOk(result))
      Edits.push_back({request, edit, valueOf(result), Loop.now() + EditHold});
    else
      Group.refuse(request, errorOf(result));
  });
}

void FleetTask::answerEdit(const ParkedEdit &edit, bool isInForce) {
  Messages.reply(edit.Request, wire::EditReply{{edit.At, isInForce}});
}

void FleetTask::answerParked() {
  if (!RevisionTracker)
    return;
  const Instant now = Loop.now();
  std::erase_if(Polls, [&](const ParkedPoll &parked) {
    const auto &poll = std::get<wire::PollCatalogue>(parked.Request.What);
    if (now < parked.AnswerBy && poll.Have == State.catalogue().latest())
      return false;
    answerPoll(parked);
    return true;
  });
  std::erase_if(Edits, [&](const ParkedEdit &edit) {
    const bool isInForce = RevisionTracker->isInForce(edit.At, now) &&
                           State.isCeilingInForce(edit.Edit);
    if (!isInForce && now < edit.AnswerBy)
      return false;
    answerEdit(edit, isInForce);
    return true;
  });
}

void FleetTask::handle(const wire::Envelope &request,
                       const wire::ReadHistory &read) {
  Messages.reply(request,
                 wire::HistoryPage{State.catalogue().history(read.MaxLines)});
}

void FleetTask::handle(const wire::Envelope &request,
                       const wire::ReportSlices &report) {
  const auto command = State.slices().commandFor(report.Report);
  if (!command) {
    answerReport(request, report.Report);
    return;
  }
  propose(*command,
          [this, request, report = report.Report](const Status &status) {
            if (isOk(status))
              answerReport(request, report);
          });
}

void FleetTask::handle(const wire::Envelope &request,
                       const wire::ReadMetrics &) {
  wire::MetricsReply news;
  Messages.addTraffic(catalogue::HostRole::Keeper, news.Metrics);
  Messages.reply(request, std::move(news));
}

void FleetTask::answerReport(const wire::Envelope &request,
                             const limits::SliceReport &report) {
  if (!SliceLeases || !Group.log().mayServe())
    return;
  if (SliceLeases->renew(report.Zone, Loop.now()))
    Messages.reply(request,
                   wire::SliceReportReply{State.slices().replyTo(report)});
  else
    renewEndedLease(report.Zone,
                    [this, request, report] { answerReport(request, report); });
}

void FleetTask::renewEndedLease(const ZoneId &zone,
                                const std::function<void()> &then) {
  if (!State.slices().holdsBorrowed(zone)) {
    SliceLeases->reset(zone, Loop.now());
    then();
    return;
  }
  Line(Event::SlicesReclaimed).with("zone", zone);
  propose(limits::SliceCommand(
              limits::ReclaimBorrowed{zone, State.slices().latest()}),
          [this, zone, then](const Status &status) {
            if (!isOk(status) || !SliceLeases)
              return;
            SliceLeases->reset(zone, Loop.now());
            then();
          });
}

void FleetTask::reclaimEndedLeases() {
  if (!SliceLeases || !Group.log().mayServe())
    return;
  for (const limits::LedgerZone &line : State.slices().state().Zones)
    if (SliceLeases->hasEnded(line.Zone, Loop.now()) &&
        State.slices().holdsBorrowed(line.Zone))
      renewEndedLease(line.Zone, [] {});
}

} // namespace jujube::keeper
