#include "testing/consensus_driver.h"

#include <algorithm>
#include <variant>

#include "absl/strings/str_cat.h"
#include "jujube/consensus/quorum.h"

namespace jujube::testing {

using consensus::Action;
using consensus::Actions;
using consensus::DurableState;
using consensus::LogEntry;

namespace {

void persistTo(DurableState &disk, const consensus::Persist &change) {
  if (change.State)
    disk.Hard = *change.State;
  if (change.TruncateFrom.Value != 0)
    std::erase_if(disk.Entries, [&](const LogEntry &entry) {
      return entry.Index >= change.TruncateFrom;
    });
  disk.Entries.insert(disk.Entries.end(), change.Entries.begin(),
                      change.Entries.end());
}

void installTo(DurableState &disk, const consensus::Snapshot &snapshot) {
  disk.LatestSnapshot = snapshot;
  disk.Entries.clear();
}

} // namespace

ConsensusDriver::ConsensusDriver(DriverOptions options)
    : Settings(std::move(options)), Random(Settings.Seed),
      Hosts(Settings.Hosts + Settings.Standbys), Oracle(!Settings.IsDurable) {
  const int64_t bound = Settings.DriftPerMille;
  for (std::size_t i = 0; i < Hosts.size(); ++i) {
    Hosts[i].DriftPerMille = upTo(2 * bound) - bound;
    Hosts[i].OffsetMs = upTo(1'000'000);
    start(i);
  }
}

std::string ConsensusDriver::describe() const {
  std::string text;
  for (const Host &host : Hosts) {
    absl::StrAppend(&text, "\n", idOf(indexOf(host)).str(), "#",
                    host.HostIncarnation.Value);
    if (!host.Node)
      continue;
    const consensus::Node &node = *host.Node;
    absl::StrAppend(&text, " ", nameIn(consensus::RoleNames, node.role()),
                    " term ", node.term().Value, " of ",
                    node.group().Founder.str(), "#",
                    node.group().FounderIncarnation.Value, " commit ",
                    node.commitIndex().Value, "/", node.lastIndex().Value);
    for (const consensus::Member &member : node.membership().Members)
      absl::StrAppend(&text, member.IsVoter ? " voter " : " learner ",
                      member.Host.str(), "#", member.HostIncarnation.Value);
  }
  return text;
}

std::size_t ConsensusDriver::indexOf(const Host &host) const {
  return static_cast<std::size_t>(&host - Hosts.data());
}

HostId ConsensusDriver::idOf(std::size_t i) const {
  return HostId(absl::StrCat("host", i));
}

consensus::Options ConsensusDriver::optionsOf(std::size_t i) const {
  consensus::Options options;
  const auto peerOf = [this](std::size_t k) {
    return consensus::Peer{idOf(k),
                           Address{"127.0.0.1", static_cast<uint16_t>(k + 1)}};
  };
  for (std::size_t k = 0; k < Settings.Hosts; ++k)
    options.Configured.push_back(peerOf(k));
  options.Self = peerOf(i);
  options.HostIncarnation = Hosts[i].HostIncarnation;
  options.IsDurable = Settings.IsDurable;
  options.Rule = Settings.IsDurable ? consensus::Formation::WhenAllEmpty
                                    : consensus::Formation::WhenMajorityEmpty;
  if (i >= Settings.Hosts)
    options.Rule = consensus::Formation::Never;
  // Small bounds, so that short tests reach them.
  options.MaxAppendBytes = 1024;
  options.SnapshotChunkBytes = 128;
  options.RetainBytes = 512;
  options.MaxDriftPerMille = Settings.DriftPerMille;
  if (Settings.Adjust)
    Settings.Adjust(options);
  return options;
}

Instant ConsensusDriver::localTime(const Host &host) const {
  const int64_t ms = Now.millis();
  return Instant::fromMillis(host.OffsetMs + ms +
                             ms * host.DriftPerMille / 1000);
}

bool ConsensusDriver::chance(uint32_t perMille) {
  return upTo(999) < static_cast<int64_t>(perMille);
}

int64_t ConsensusDriver::upTo(int64_t max) {
  return std::uniform_int_distribution<int64_t>(0, max)(Random);
}

void ConsensusDriver::start(std::size_t i) {
  Host &host = Hosts[i];
  if (host.Node)
    return;
  if (!Settings.IsDurable || host.HostIncarnation.Value == 0)
    host.HostIncarnation = host.HostIncarnation.next();
  host.State = host.Disk.LatestSnapshot
                   ? AppliedState::decode(host.Disk.LatestSnapshot->Data)
                   : AppliedState();
  Result<consensus::Node> node = consensus::Node::create(
      optionsOf(i), host.Disk, std::mt19937_64(Random()), localTime(host));
  if (isOk(node))
    host.Node = valueOf(std::move(node));
  else
    Oracle.fail(errorOf(node).text());
}

void ConsensusDriver::crash(std::size_t i) {
  Host &host = Hosts[i];
  if (!host.Node)
    return;
  // Writes reach the disk in order, so a prefix may survive.
  const int64_t survivors = upTo(static_cast<int64_t>(host.Syncs.size()));
  for (int64_t k = 0; k < survivors; ++k)
    host.Syncs[static_cast<std::size_t>(k)].Effect(host.Disk);
  host.Syncs.clear();
  host.Node.reset();
  host.IsPaused = false;
}

void ConsensusDriver::setCut(std::size_t i, std::size_t k, bool isCut) {
  if (isCut)
    Cuts.emplace(i, k);
  else
    Cuts.erase({i, k});
}

void ConsensusDriver::isolate(std::size_t i) {
  for (std::size_t k = 0; k < Hosts.size(); ++k) {
    setCut(i, k, true);
    setCut(k, i, true);
  }
}

void ConsensusDriver::heal() {
  Cuts.clear();
  for (std::size_t i = 0; i < Hosts.size(); ++i) {
    Hosts[i].IsPaused = false;
    start(i);
  }
}

void ConsensusDriver::run(Duration span) {
  const Instant end = Now + span;
  while (Now < end)
    step();
}

bool ConsensusDriver::runUntil(const std::function<bool()> &done,
                               Duration limit) {
  const Instant end = Now + limit;
  while (!done()) {
    if (Now >= end || Oracle.violation())
      return false;
    step();
  }
  return true;
}

void ConsensusDriver::step() {
  Now = Now + Duration::millis(1);
  deliverDue();
  for (std::size_t i = 0; i < Hosts.size(); ++i) {
    finishSyncs(i);
    Host &host = Hosts[i];
    if (!host.Node || host.IsPaused || localTime(host) < host.Node->nextWake())
      continue;
    perform(i, host.Node->tick(localTime(host)));
  }
  check();
}

void ConsensusDriver::deliverDue() {
  while (!Network.empty() && Network.begin()->first <= Now) {
    const Envelope envelope = std::move(Network.begin()->second);
    Network.erase(Network.begin());
    Host &host = Hosts[envelope.To];
    if (!host.Node || Cuts.contains({envelope.From, envelope.To}))
      continue;
    // A paused process receives its messages when it resumes.
    if (host.IsPaused) {
      Network.emplace(Now + Duration::millis(1), envelope);
      break;
    }
    ++Delivered;
    perform(envelope.To, host.Node->receive(idOf(envelope.From), envelope.What,
                                            localTime(host)));
  }
}

void ConsensusDriver::finishSyncs(std::size_t i) {
  Host &host = Hosts[i];
  while (host.Node && !host.IsPaused && !host.Syncs.empty() &&
         host.Syncs.front().DoneAt <= Now) {
    const PendingSync sync = std::move(host.Syncs.front());
    host.Syncs.pop_front();
    sync.Effect(host.Disk);
    perform(i, host.Node->persisted(sync.Serial, localTime(host)));
  }
}

void ConsensusDriver::perform(std::size_t i, const Actions &actions) {
  for (const Action &action : actions)
    performOne(i, action);
  const Host &host = Hosts[i];
  if (host.Node && host.Node->role() == consensus::Role::Leader)
    Oracle.onLeader(host.Node->group(), host.Node->term(), idOf(i),
                    host.HostIncarnation);
}

void ConsensusDriver::performOne(std::size_t i, const Action &action) {
  Host &host = Hosts[i];
  if (const auto *send = std::get_if<consensus::Send>(&action))
    return post(i, *send);
  if (const auto *persist = std::get_if<consensus::Persist>(&action))
    return scheduleSync(
        i, persist->Serial,
        [change = *persist](DurableState &disk) { persistTo(disk, change); });
  if (const auto *restore = std::get_if<consensus::RestoreSnapshot>(&action)) {
    host.State = AppliedState::decode(restore->NewSnapshot.Data);
    Oracle.onRestored(host.Node->group(), host.State);
    if (Settings.IsDurable)
      scheduleSync(i, restore->Serial,
                   [base = restore->NewSnapshot](DurableState &disk) {
                     installTo(disk, base);
                   });
    return;
  }
  if (const auto *apply = std::get_if<consensus::Apply>(&action)) {
    if (apply->Entry.Index != host.State.Last.next())
      Oracle.fail(absl::StrCat("host", i, " skips to entry ",
                               apply->Entry.Index.Value));
    host.State.apply(apply->Entry);
    Oracle.onApplied(host.Node->group(), apply->Entry, host.State);
    if (!apply->ProposalId)
      return;
    ++Acknowledged;
    Oracle.onAcknowledged(host.Node->group(), apply->Entry.Index);
    return;
  }
  if (std::holds_alternative<consensus::Superseded>(action)) {
    crash(i);
    if (Settings.IsDurable)
      Oracle.fail(absl::StrCat("durable host", i, " was superseded"));
    start(i);
  }
}

void ConsensusDriver::scheduleSync(std::size_t i, uint64_t serial,
                                   std::function<void(DurableState &)> effect) {
  std::deque<PendingSync> &syncs = Hosts[i].Syncs;
  Instant doneAt = Now + Duration::millis(upTo(Settings.MaxSyncDelay.millis()));
  if (!syncs.empty())
    doneAt = std::max(doneAt, syncs.back().DoneAt);
  syncs.push_back(PendingSync{serial, doneAt, std::move(effect)});
}

void ConsensusDriver::post(std::size_t from, const consensus::Send &send) {
  std::size_t to = 0;
  while (to < Hosts.size() && idOf(to) != send.To)
    ++to;
  if (to == Hosts.size() || Cuts.contains({from, to}) ||
      chance(Settings.LossPerMille))
    return;
  const int copies = chance(Settings.DuplicatePerMille) ? 2 : 1;
  for (int n = 0; n < copies; ++n) {
    const Duration max = chance(Settings.LongDelayPerMille)
                             ? Settings.MaxLongDelay
                             : Settings.MaxDelay;
    Network.emplace(Now + Duration::millis(upTo(max.millis())),
                    Envelope{from, to, send.What});
  }
}

void ConsensusDriver::check() {
  std::vector<ConsensusOracle::Server> servers;
  for (std::size_t i = 0; i < Hosts.size(); ++i) {
    const Host &host = Hosts[i];
    if (host.Node && host.Node->mayServe(localTime(host)))
      servers.push_back({idOf(i), host.Node->group(), host.State.Last});
  }
  Oracle.onServing(servers);
}

void ConsensusDriver::propose(std::size_t i) {
  Host &host = Hosts[i];
  if (!host.Node || host.IsPaused)
    return;
  ++LastProposal;
  std::string payload = absl::StrCat("p", LastProposal);
  perform(
      i, host.Node->propose(LastProposal, std::move(payload), localTime(host)));
}

void ConsensusDriver::transfer(std::size_t i) {
  Host &host = Hosts[i];
  if (host.Node && !host.IsPaused)
    perform(i, host.Node->transferLeadership(localTime(host)));
}

void ConsensusDriver::compact(std::size_t i) {
  Host &host = Hosts[i];
  if (!host.Node || host.IsPaused || host.State.Last.Value == 0)
    return;
  host.Node->compact(host.State.Last, host.State.encode());
  if (!Settings.IsDurable || !host.Node->log().base())
    return;
  // The owner stores the snapshot after all pending syncs.
  for (const PendingSync &sync : host.Syncs)
    sync.Effect(host.Disk);
  const uint64_t serial = host.Syncs.empty() ? 0 : host.Syncs.back().Serial;
  host.Syncs.clear();
  host.Disk.LatestSnapshot = *host.Node->log().base();
  std::erase_if(host.Disk.Entries, [&](const LogEntry &entry) {
    return entry.Index <= host.Disk.LatestSnapshot->Last;
  });
  if (serial != 0)
    perform(i, host.Node->persisted(serial, localTime(host)));
}

Result<Actions> ConsensusDriver::replace(std::size_t leader, std::size_t gone,
                                         std::size_t standby) {
  Host &host = Hosts[leader];
  Result<Actions> actions =
      host.Node->replaceMember(idOf(gone), idOf(standby), localTime(host));
  if (isOk(actions))
    perform(leader, valueOf(actions));
  return actions;
}

std::optional<std::size_t> ConsensusDriver::server() const {
  for (std::size_t i = 0; i < Hosts.size(); ++i)
    if (Hosts[i].Node && Hosts[i].Node->mayServe(localTime(Hosts[i])))
      return i;
  return std::nullopt;
}

bool ConsensusDriver::isRepaired() const {
  const std::optional<std::size_t> leader = server();
  if (!leader)
    return false;
  const consensus::Node &node = *Hosts[*leader].Node;
  const consensus::Membership &members = node.membership();
  if (node.commitIndex() < node.log().membershipIndex() ||
      consensus::voterCount(members) != Settings.Hosts)
    return false;
  return std::ranges::all_of(
      consensus::votersOf(members), [this](const consensus::Member &voter) {
        return std::ranges::any_of(Hosts, [&](const Host &host) {
          return host.Node && idOf(indexOf(host)) == voter.Host &&
                 host.HostIncarnation == voter.HostIncarnation;
        });
      });
}

bool ConsensusDriver::isConverged() const {
  if (!isRepaired())
    return false;
  const Host &leader = Hosts[*server()];
  const consensus::Membership &members = leader.Node->membership();
  return leader.Node->isFullyCommitted() &&
         std::ranges::all_of(Hosts, [&](const Host &host) {
           const bool isMember =
               consensus::findMember(members, idOf(indexOf(host))) != nullptr;
           return host.Node && (!isMember || host.State == leader.State);
         });
}

} // namespace jujube::testing
