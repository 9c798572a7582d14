#include "testing/routing_world.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace jujube::testing {
namespace {

using routing::RouterCounters;

const EntryId &deskId() {
  static const EntryId Id("desk");
  return Id;
}

ZoneId zoneId(std::size_t zone) { return ZoneId(absl::StrCat("zone", zone)); }

// Clocks of hosts have different origins.
constexpr int64_t OffsetStepMs = 1000003;

} // namespace

RoutingWorld::RoutingWorld(WorldOptions options)
    : Options(std::move(options)), Random(Options.Seed) {
  Oracle.ChecksSlots = !Options.Baseline;
  Zones.resize(Options.Zones);
  for (std::size_t zone = 0; zone < Options.Zones; ++zone) {
    ZoneIndex[zoneId(zone)] = zone;
    for (std::size_t i = 0; i < Options.EntryHostsPerZone; ++i) {
      EntryHost host;
      host.Zone = zone;
      host.Self.Host = HostId(absl::StrCat("entry", EntryHosts.size()));
      host.Offset = Duration::millis(OffsetStepMs *
                                     static_cast<int64_t>(EntryHosts.size()));
      if (Options.MaxDriftPermille > 0)
        host.DriftPermille =
            static_cast<int32_t>(std::uniform_int_distribution<int32_t>(
                -Options.MaxDriftPermille, Options.MaxDriftPermille)(Random));
      EntryHosts.push_back(std::move(host));
    }
    addRunners(zone);
  }
  for (std::size_t zone = 0; zone < Options.Zones; ++zone)
    startLedger(zone);
  for (std::size_t i = 0; i < EntryHosts.size(); ++i)
    startRouter(i);
  for (std::size_t i = 0; i < Runners.size(); ++i)
    heartbeat(i);
}

void RoutingWorld::addRunners(std::size_t zone) {
  for (std::size_t i = 0; i < Options.RunnersPerZone; ++i) {
    routing::RunnerAnnouncement runner;
    runner.Runner = RunnerId(absl::StrCat("runner", Runners.size()));
    runner.Start = {1};
    runner.Entry = deskId();
    runner.Zone = zoneId(zone);
    runner.Slots = Options.Slots;
    RunnerIndex[runner.Runner] = Runners.size();
    Runners.push_back(std::make_unique<FakeRunner>(runner, Events, Oracle,
                                                   Options.ServiceOf));
  }
}

void RoutingWorld::startRouter(std::size_t i) {
  EntryHost &host = EntryHosts[i];
  host.Self.Start = host.Self.Start.next();
  if (Options.Baseline) {
    host.Baseline = Options.Baseline(i);
    return;
  }
  routing::RouterOptions options = Options.Router;
  options.Self = host.Self;
  options.Zone = zoneId(host.Zone);
  host.Router = std::make_unique<routing::Router>(
      valueOf(routing::Router::create(options, localTime(host))));
  host.Router->setShares(Options.Teams);
  act(i, host.Router->tick(localTime(host)));
}

void RoutingWorld::startLedger(std::size_t zone) {
  routing::LedgerOptions options;
  options.Zone = zoneId(zone);
  options.LedgerTerm = Zones[zone].LedgerTerm;
  options.Lease = Options.Router.Lease;
  options.MaxRequestTime = Options.Router.MaxRequestTime;
  // The first leader has no predecessor whose leases it must wait for.
  const bool isFirst = options.LedgerTerm == Term{1};
  const Instant since = isFirst ? Instant::fromMillis(-1000000) : Events.now();
  Zones[zone].Ledger = std::make_unique<routing::CreditLedger>(
      valueOf(routing::CreditLedger::create(options, since)));
}

Instant RoutingWorld::localTime(const EntryHost &host) const {
  const int64_t elapsed = Events.now().millis();
  return Instant::fromMillis(elapsed + elapsed * host.DriftPermille / 1000) +
         host.Offset;
}

// Sent to the leader of the runner's zone, and from there to all entry hosts.
void RoutingWorld::heartbeat(std::size_t index) {
  FakeRunner &runner = *Runners[index];
  const routing::RunnerAnnouncement announcement = runner.announcement();
  const std::size_t zone = ZoneIndex.at(announcement.Zone);
  if (runner.isAlive()) {
    send(zone, zone, [this, zone, announcement] {
      Zones[zone].Ledger->announce(announcement, Events.now());
      Zones[zone].Ledger->tick(Events.now());
    });
    for (std::size_t i = 0; i < EntryHosts.size(); ++i)
      send(zone, EntryHosts[i].Zone,
           [this, i, announcement] { hear(i, announcement); });
  }
  Events.callAfter(Options.HeartbeatPeriod,
                   [this, index] { heartbeat(index); });
}

void RoutingWorld::hear(std::size_t i,
                        const routing::RunnerAnnouncement &announcement) {
  EntryHost &host = EntryHosts[i];
  if (host.Router)
    act(i, host.Router->handleAnnouncement(announcement, Options.Latency,
                                           localTime(host)));
  else if (host.Baseline.Seen)
    act(i, host.Baseline.Seen(announcement, localTime(host)));
}

bool RoutingWorld::isCutBetween(std::size_t a, std::size_t b) const {
  const auto isCut = [this](std::size_t zone) {
    const auto it = Cut.find(zone);
    return it != Cut.end() && it->second;
  };
  return a != b && (isCut(a) || isCut(b));
}

void RoutingWorld::send(std::size_t from, std::size_t to,
                        const Handler &handler, bool mayDouble) {
  std::uniform_int_distribution<uint32_t> draw(1, 1000);
  const NetworkFaults &faults = Options.Faults;
  if (isCutBetween(from, to) || draw(Random) <= faults.LossPermille)
    return;
  const bool isDoubled = draw(Random) <= faults.DuplicatePermille;
  const int copies = isDoubled && mayDouble ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const int64_t extra = std::uniform_int_distribution<int64_t>(
        0, faults.MaxExtraDelay.millis())(Random);
    Events.callAfter((from == to ? Duration() : Options.Latency) +
                         Duration::millis(extra),
                     handler);
  }
}

void RoutingWorld::submit(std::size_t i, routing::LiveRequest request) {
  EntryHost &host = EntryHosts[i];
  request.Entry = deskId();
  RequestRecord &record = Records[request.Request];
  record.Request = request;
  record.SubmittedAt = Events.now();
  record.EntryHost = i;
  // Deadlines arrive as spans from now and are stored on the host's clock.
  request.Deadline =
      localTime(host) + (request.Deadline - Instant::fromMillis(0));
  if (host.Router)
    act(i, host.Router->submit(request, localTime(host)));
  else if (host.Baseline.Submit)
    act(i, host.Baseline.Submit(request, localTime(host)));
}

void RoutingWorld::killEntryHost(std::size_t i) {
  EntryHosts[i].Router.reset();
  EntryHosts[i].Baseline = {};
  ++EntryHosts[i].HostIncarnation;
}

void RoutingWorld::restartEntryHost(std::size_t i) {
  killEntryHost(i);
  startRouter(i);
}

void RoutingWorld::drainEntryHost(std::size_t i) {
  EntryHost &host = EntryHosts[i];
  if (host.Router)
    act(i, host.Router->beginDrain(localTime(host)));
}

void RoutingWorld::changeLeader(std::size_t zone) {
  Zones[zone].LedgerTerm = Zones[zone].LedgerTerm.next();
  startLedger(zone);
}

std::size_t RoutingWorld::queued(std::size_t i) const {
  return EntryHosts[i].Router ? EntryHosts[i].Router->queued() : 0;
}

RouterCounters RoutingWorld::counters() const {
  RouterCounters sum;
  for (const EntryHost &host : EntryHosts) {
    if (!host.Router)
      continue;
    const RouterCounters &one = host.Router->counters();
    sum.Dispatched += one.Dispatched;
    sum.Retried += one.Retried;
    sum.Hedged += one.Hedged;
    sum.SpilloverAttempts += one.SpilloverAttempts;
    sum.Shed += one.Shed;
    sum.Reports += one.Reports;
  }
  return sum;
}

SlotUse RoutingWorld::slotUse() const {
  SlotUse use;
  for (const auto &runner : Runners)
    use.Running += runner->inProgress();
  for (const Zone &zone : Zones)
    for (const routing::LedgerRunner &runner :
         zone.Ledger->runners(Events.now())) {
      use.Slots += runner.Announcement.Slots;
      use.Committed += runner.Committed;
    }
  for (const EntryHost &host : EntryHosts) {
    if (!host.Router)
      continue;
    for (const auto &[id, runner] : host.Router->runners().all()) {
      use.InFlight += runner.InFlight;
      use.Spare += runner.Credits > runner.InFlight
                       ? runner.Credits - runner.InFlight
                       : 0;
    }
  }
  return use;
}

} // namespace jujube::testing
