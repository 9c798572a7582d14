#include "testing/state_slices.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::testing {
namespace {

using limits::SliceReply;
using limits::SliceReport;
using limits::SliceUpdate;
using limits::TeamDemand;

constexpr Duration Tick = Duration::millis(250);
constexpr int64_t TicksPerReport = 4;
// A worker stops its tasks this long after its last renewal.
constexpr Duration WorkerLease = Duration::seconds(10);
constexpr int64_t KeeperOrigin = 5'000'000;

// Resources that one task of a team requests.
constexpr std::array<Resources, SliceTeams> TaskDemands = {
    Resources{1000, 500, 0}, Resources{500, 4000, 1}};

TeamId teamId(uint32_t team) { return TeamId(absl::StrCat("team", team)); }

} // namespace

SliceDriver::SliceDriver(uint32_t seed)
    : Generator(seed), Leases(Policy.BorrowLease, Policy.Drift, Instant()) {
  Leases = {Policy.BorrowLease, Policy.Drift, keeperTime()};
  for (uint32_t n = 0; n < SliceZones; ++n) {
    Zones[n].Id = ZoneId(absl::StrCat("zone", n));
    Zones[n].Origin = 1'000'000 * int64_t{n};
    // The clocks drift apart by up to 0.6 s over a lease of 30 s.
    Zones[n].RatePermille = 990 + 10 * int64_t{n};
    takeOver(Zones[n]);
  }
  for (uint32_t team = 0; team < SliceTeams; ++team)
    setCeiling(team, 100);
}

bool SliceDriver::advance(Duration span) {
  const Instant end = Now + span;
  while (Now < end) {
    Now = Now + Tick;
    ++Ticks;
    deliverDue();
    tickKeeper();
    std::ranges::for_each(Zones, [this](Zone &zone) { tickZone(zone); });
    if (!checkCeilings())
      return false;
  }
  return true;
}

void SliceDriver::setDemand(uint32_t zone, uint32_t team, uint32_t tasks) {
  Zones[zone].Demand[team] = tasks;
  Zones[zone].Running[team] = std::min(Zones[zone].Running[team], tasks);
}

void SliceDriver::setWorkersReachable(uint32_t zone, bool isReachable) {
  Zones[zone].AreWorkersReachable = isReachable;
}

void SliceDriver::setJournalStalled(uint32_t zone, bool isStalled) {
  Zones[zone].IsJournalStalled = isStalled;
}

void SliceDriver::killLeader(uint32_t zone, Duration span) {
  Zones[zone].Leader.reset();
  Zones[zone].LeaderFrom = Now + span;
}

void SliceDriver::changeKeeper(Duration span) { KeeperFrom = Now + span; }

void SliceDriver::setCeiling(uint32_t team, uint32_t tasks) {
  const Resources ceiling = TaskDemands[team] * tasks;
  Ledger.apply(limits::SetCeiling{teamId(team), ceiling});
  Bounds[team] = maxOf(Bounds[team], ceiling);
}

uint32_t SliceDriver::running(uint32_t zone, uint32_t team) const {
  return Zones[zone].Running[team];
}

bool SliceDriver::isCeilingMet(uint32_t team) const {
  return Ledger.isCeilingMet(teamId(team));
}

Instant SliceDriver::localTime(const Zone &zone) const {
  return Instant::fromMillis(zone.Origin +
                             Now.millis() * zone.RatePermille / 1000);
}

Instant SliceDriver::keeperTime() const {
  return Instant::fromMillis(KeeperOrigin + Now.millis());
}

uint32_t SliceDriver::random(uint32_t n) {
  return static_cast<uint32_t>(Generator()) % n;
}

void SliceDriver::tickZone(Zone &zone) {
  const Instant now = localTime(zone);
  if (now - zone.LastRenewal >= WorkerLease)
    zone.Running = {};
  if (!zone.Leader.has_value() && Now >= zone.LeaderFrom)
    takeOver(zone);
  if (zone.Leader.has_value())
    lead(zone, now);
}

void SliceDriver::lead(Zone &zone, Instant now) {
  commit(zone);
  if (zone.Leader->isReadyToRenew(now)) {
    stopExcess(zone, now);
    // An offer is committed before it is sent.
    if (!zone.IsJournalStalled)
      startTasks(zone, now);
  }
  const std::vector<TeamDemand> demands = demandsOf(zone);
  if (Ticks % TicksPerReport == 0 || zone.Leader->hasUnreportedChanges(demands))
    sendReport(zone, demands, now);
}

void SliceDriver::stopExcess(Zone &zone, Instant now) {
  bool isWithin = true;
  for (uint32_t team = 0; team < SliceTeams; ++team) {
    uint32_t &running = zone.Running[team];
    const Resources allowed = zone.Leader->limitForRunning(teamId(team), now);
    while (running > 0 && zone.AreWorkersReachable &&
           !(TaskDemands[team] * running).fitsIn(allowed))
      --running;
    isWithin &= running == 0 || (TaskDemands[team] * running).fitsIn(allowed);
  }
  if (isWithin)
    zone.LastRenewal = now;
}

void SliceDriver::startTasks(Zone &zone, Instant now) {
  for (uint32_t team = 0; team < SliceTeams; ++team) {
    uint32_t &running = zone.Running[team];
    const Resources limitForStart =
        zone.Leader->limitForStart(teamId(team), now);
    while (running < zone.Demand[team] &&
           (TaskDemands[team] * (running + 1)).fitsIn(limitForStart))
      ++running;
  }
}

std::vector<TeamDemand> SliceDriver::demandsOf(const Zone &zone) const {
  std::vector<TeamDemand> demands;
  for (uint32_t team = 0; team < SliceTeams; ++team)
    demands.push_back({teamId(team), TaskDemands[team] * zone.Running[team],
                       TaskDemands[team] * zone.Demand[team]});
  return demands;
}

void SliceDriver::sendReport(Zone &zone, const std::vector<TeamDemand> &demands,
                             Instant now) {
  if (auto update = zone.Leader->releaseExcess(demands, now))
    zone.Proposed.push_back(*std::move(update));
  const auto n = static_cast<uint32_t>(&zone - Zones.data());
  send(n, {Now, n, zone.Leader->report(demands, now)});
}

void SliceDriver::takeOver(Zone &zone) {
  // Only part of the predecessor's proposals are committed.
  zone.Proposed.resize(random(static_cast<uint32_t>(zone.Proposed.size() + 1)));
  for (const SliceUpdate &update : zone.Proposed)
    zone.Holdings.apply(update);
  zone.Proposed.clear();
  zone.IsJournalStalled = false;
  zone.LeaderTerm = zone.LeaderTerm.next();
  zone.Leader.emplace(zone.Id, zone.LeaderTerm, Policy, localTime(zone),
                      zone.Holdings);
}

void SliceDriver::commit(Zone &zone) {
  if (zone.IsJournalStalled || zone.Proposed.empty() || random(4) == 0)
    return;
  for (const SliceUpdate &update : zone.Proposed)
    zone.Holdings.apply(update);
  zone.Proposed.clear();
  zone.Leader->onCommitted(zone.Holdings);
}

void SliceDriver::tickKeeper() {
  if (Now < KeeperFrom)
    return;
  if (KeeperFrom != Instant()) {
    KeeperFrom = Instant();
    Leases = {Policy.BorrowLease, Policy.Drift, keeperTime()};
    Ledger = valueOf(limits::SliceLedger::fromState(Ledger.state(), Policy));
  }
  for (const ZoneId &zone : Leases.ended(keeperTime()))
    if (Ledger.holdsBorrowed(zone))
      Ledger.apply(limits::ReclaimBorrowed{zone, Ledger.latest()});
}

void SliceDriver::deliverDue() {
  std::vector<Message> due;
  const auto isDue = [this](const Message &m) { return m.DueAt <= Now; };
  std::ranges::copy_if(Messages, std::back_inserter(due), isDue);
  std::erase_if(Messages, isDue);
  for (Message &message : due) {
    if (Zones[message.Zone].Link != LinkState::Cut) {
      std::visit([&](const auto &body) { handle(body, message.Zone); },
                 message.Body);
    } else if (random(2) == 0) {
      // A connection may hold a message until the partition is over.
      message.DueAt = Now + Duration::seconds(5);
      Messages.push_back(std::move(message));
    }
  }
}

void SliceDriver::send(uint32_t zone, Message message) {
  const LinkState link = Zones[zone].Link;
  if (link == LinkState::Cut || (link == LinkState::Lossy && random(5) < 2))
    return;
  if (link == LinkState::Lossy) {
    message.DueAt = Now + Duration::millis(random(3000));
    if (random(3) == 0)
      Messages.push_back({message.DueAt + Duration::millis(random(20'000)),
                          message.Zone, message.Body});
  } else if (link == LinkState::Slow) {
    message.DueAt = Now + Duration::millis(1000 + random(44'000));
  }
  Messages.push_back(std::move(message));
}

void SliceDriver::handle(const SliceReport &report, uint32_t zone) {
  if (Now < KeeperFrom || KeeperFrom != Instant())
    return;
  if (const auto command = Ledger.commandFor(report))
    Ledger.apply(*command);
  if (!Leases.renew(report.Zone, keeperTime())) {
    if (Ledger.holdsBorrowed(report.Zone))
      Ledger.apply(limits::ReclaimBorrowed{report.Zone, Ledger.latest()});
    Leases.reset(report.Zone, keeperTime());
  }
  send(zone, {Now, zone, Ledger.replyTo(report)});
}

void SliceDriver::handle(const SliceReply &reply, uint32_t zone) {
  Zone &target = Zones[zone];
  if (!target.Leader.has_value())
    return;
  if (auto update = target.Leader->receive(reply, localTime(target)))
    target.Proposed.push_back(*std::move(update));
}

bool SliceDriver::checkCeilings() {
  for (uint32_t team = 0; team < SliceTeams; ++team) {
    if (isCeilingMet(team))
      Bounds[team] = Ledger.ceiling(teamId(team));
    Resources sum;
    for (const Zone &zone : Zones)
      sum += TaskDemands[team] * zone.Running[team];
    if (!sum.fitsIn(Bounds[team]))
      return false;
  }
  return true;
}

} // namespace jujube::testing
