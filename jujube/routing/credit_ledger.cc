#include "jujube/routing/credit_ledger.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <ranges>

#include "absl/strings/str_cat.h"
#include "jujube/routing/fair_slots.h"

namespace jujube::routing {
namespace {

// The most unconfirmed grants per holder. Beyond this number the ledger repeats
// the last grant instead of issuing a new one.
constexpr std::size_t MaxUnconfirmedGrants = 8;
// Preference, in slots, for a credit that the holder uses or holds already.
constexpr int64_t InUseBonus = 1000;
constexpr int64_t HeldBonus = 1;

uint32_t creditsFor(const CreditGrant &grant, const RunnerId &id) {
  const auto it = std::ranges::find(grant.Credits, id, &RunnerCredits::Runner);
  return it == grant.Credits.end() ? 0 : it->Credits;
}

} // namespace

CreditLedger::CreditLedger(LedgerOptions options, Instant now)
    : Options(std::move(options)), StartedAt(now),
      GrantsFrom(now + withDrift(Options.Lease + Options.MaxRequestTime)) {}

Result<CreditLedger> CreditLedger::create(LedgerOptions options, Instant now) {
  if (options.Lease <= Duration() || options.MaxRequestTime <= Duration() ||
      options.RunnerLease <= Duration())
    return Error{
        ErrorKind::InvalidArgument,
        "a lease or the request time of the credit ledger is not positive",
        "set the credit lease, the request time and the runner lease to more "
        "than 0 ms"};
  return CreditLedger(std::move(options), now);
}

Duration CreditLedger::withDrift(Duration span) const {
  return span + span * Options.DriftPermille / 1000;
}

void CreditLedger::announce(const RunnerAnnouncement &announcement,
                            Instant now) {
  const auto [it, isNew] =
      Runners.try_emplace(announcement.Runner, Runner{announcement, now});
  if (isNew)
    return;
  RunnerAnnouncement &known = it->second.Announcement;
  if (announcement.Start < known.Start)
    return;
  const bool wasLeaving = known.IsLeaving && announcement.Start == known.Start;
  known = announcement;
  known.IsLeaving = known.IsLeaving || wasLeaving;
  it->second.LastSeen = now;
}

bool CreditLedger::isUsable(const Runner &runner, Instant now) const {
  return !runner.Announcement.IsLeaving &&
         now - runner.LastSeen < Options.RunnerLease;
}

uint32_t CreditLedger::boundOf(const HolderState &holder,
                               const RunnerId &id) const {
  const auto use = holder.Uses.find(id);
  const uint32_t held = use == holder.Uses.end()
                            ? 0
                            : std::max(use->second.Held, use->second.InFlight);
  return std::accumulate(holder.UnconfirmedGrants.begin(),
                         holder.UnconfirmedGrants.end(), held,
                         [&](uint32_t bound, const CreditGrant &grant) {
                           return std::max(bound, creditsFor(grant, id));
                         });
}

uint32_t CreditLedger::committed(const RunnerId &id) const {
  return std::accumulate(Holders.begin(), Holders.end(), 0U,
                         [&](uint32_t sum, const auto &row) {
                           return sum + boundOf(row.second, id);
                         });
}

// True if every entry host has applied a grant of this term, and has been up
// for long enough that no request of its previous incarnation can still be in
// progress.
bool CreditLedger::haveAllReported() const {
  const Duration drainTime = withDrift(Options.Lease + Options.MaxRequestTime);
  const auto hasReported = [&](const HostId &host) {
    return std::ranges::any_of(Holders, [&](const auto &row) {
      const EntryReport &last = row.second.Last;
      return row.first.Host == host && last.AppliedTerm == Options.LedgerTerm &&
             last.Uptime >= drainTime;
    });
  };
  return !Options.EntryHosts.empty() &&
         std::ranges::all_of(Options.EntryHosts, hasReported);
}

bool CreditLedger::isRenewalOnly(Instant now) const {
  return now < GrantsFrom && !haveAllReported();
}

void CreditLedger::expectEntryHosts(std::set<HostId> hosts) {
  Options.EntryHosts = std::move(hosts);
}

void CreditLedger::recordReport(HolderState &holder,
                                const EntryReport &report) {
  holder.Last = report;
  holder.Uses.clear();
  for (const RunnerUse &use : report.Runners)
    holder.Uses[use.Runner] = use;
  if (report.AppliedTerm != Options.LedgerTerm)
    return;
  std::erase_if(holder.UnconfirmedGrants, [&](const CreditGrant &grant) {
    return grant.Serial <= report.AppliedGrant;
  });
}

std::optional<CreditGrant> CreditLedger::report(const EntryReport &report,
                                                Instant now) {
  if (report.Zone != Options.Zone || report.AppliedTerm > Options.LedgerTerm)
    return std::nullopt;
  HolderState &holder = Holders[report.From];
  if (report.Sequence <= holder.Last.Sequence)
    return std::nullopt;
  recordReport(holder, report);
  holder.ReportedAt = now;
  holder.ExpiresAt = now + withDrift(Options.Lease + Options.MaxRequestTime);
  if (isRenewalOnly(now))
    return issueGrant(holder, renewals(holder), true, now);
  return issueGrant(holder, allotments(report.From, holder, now), false, now);
}

CreditLedger::CreditMap
CreditLedger::renewals(const HolderState &holder) const {
  CreditMap creditsByRunner;
  for (const auto &[id, use] : holder.Uses)
    creditsByRunner[id] = use.Held;
  return creditsByRunner;
}

CreditLedger::CreditMap CreditLedger::allotments(const Holder &id,
                                                 const HolderState &holder,
                                                 Instant now) const {
  CreditMap creditsByRunner;
  // Runners may not have announced themselves to a new leader yet. The holder
  // keeps its credits on those.
  if (now - StartedAt < Options.RunnerLease)
    for (const auto &[runner, use] : holder.Uses)
      if (!Runners.contains(runner))
        creditsByRunner[runner] = use.Held;
  std::set<EntryId> entries;
  for (const TeamDemand &demand : holder.Last.Demand)
    entries.insert(demand.Entry);
  for (const EntryId &entry : entries)
    allotEntry(entry, id, holder, now, creditsByRunner);
  return creditsByRunner;
}

std::vector<CreditLedger::RunnerCapacity>
CreditLedger::capacitiesFor(const EntryId &entry, const HolderState &holder,
                            Instant now) const {
  std::vector<RunnerCapacity> capacities;
  for (const auto &[id, runner] : Runners) {
    if (runner.Announcement.Entry != entry || !isUsable(runner, now))
      continue;
    const uint32_t own = boundOf(holder, id);
    const uint32_t others = committed(id) - own;
    const uint32_t slots = runner.Announcement.Slots;
    const auto use = holder.Uses.find(id);
    RunnerCapacity capacity{id, slots > others ? slots - others : 0};
    capacity.Limit = std::min(capacity.Available, holder.Last.MaxPerRunner);
    if (use != holder.Uses.end()) {
      capacity.Limit = std::min(capacity.Available, use->second.Limit);
      capacity.InFlight = use->second.InFlight;
      capacity.Held = use->second.Held;
    }
    capacities.push_back(capacity);
  }
  return capacities;
}

void CreditLedger::allotEntry(const EntryId &entry, const Holder &id,
                              const HolderState &holder, Instant now,
                              CreditMap &creditsByRunner) const {
  std::vector<RunnerCapacity> capacities = capacitiesFor(entry, holder, now);
  const auto score = [](const RunnerCapacity &capacity) {
    if (capacity.Allotted >= capacity.Limit)
      return std::numeric_limits<int64_t>::min();
    const int64_t bonus = capacity.Allotted < capacity.InFlight ? InUseBonus
                          : capacity.Allotted < capacity.Held   ? HeldBonus
                                                                : 0;
    return static_cast<int64_t>(capacity.Available - capacity.Allotted) + bonus;
  };
  for (uint32_t left = targetSlots(entry, id, now); left > 0; --left) {
    const auto best = std::ranges::max_element(capacities, {}, score);
    if (best == capacities.end() || best->Allotted >= best->Limit)
      break;
    ++best->Allotted;
  }
  for (const RunnerCapacity &capacity : capacities)
    if (capacity.Allotted > 0)
      creditsByRunner[capacity.Runner] = capacity.Allotted;
}

uint32_t CreditLedger::targetSlots(const EntryId &entry, const Holder &id,
                                   Instant now) const {
  uint32_t slots = 0;
  for (const auto &[name, runner] : Runners)
    if (runner.Announcement.Entry == entry && isUsable(runner, now))
      slots += runner.Announcement.Slots;
  // Entry hosts of other zones share the slots that those of this zone leave.
  std::vector<HolderDemand> home;
  std::vector<HolderDemand> foreign;
  for (const auto &[holder, state] : Holders) {
    if (now - state.ReportedAt >= withDrift(Options.Lease))
      continue;
    for (const TeamDemand &demand : state.Last.Demand) {
      const bool isHome =
          state.Last.HomeZone == Options.Zone || demand.HasNoHomeRunner;
      if (demand.Entry == entry)
        (isHome ? home : foreign)
            .push_back({holder, demand.Team, demand.Share,
                        demand.Queued + demand.InFlight});
    }
  }
  const uint32_t homeRequests = std::accumulate(
      home.begin(), home.end(), 0U,
      [](uint32_t sum, const HolderDemand &it) { return sum + it.Requests; });
  const std::vector<EntryId> contended = contendedFor(id, now);
  const bool isContended =
      std::ranges::find(contended, entry) != contended.end();
  const auto slotsOf = [&](const std::vector<HolderDemand> &demands,
                           uint32_t part) {
    return fairSlots(demands, id, part, !isContended);
  };
  return slotsOf(home, slots) +
         slotsOf(foreign, slots > homeRequests ? slots - homeRequests : 0);
}

std::vector<EntryId> CreditLedger::contendedFor(const Holder &id,
                                                Instant now) const {
  std::map<EntryId, uint32_t> queued;
  for (const auto &[holder, state] : Holders) {
    if (holder == id || now - state.ReportedAt >= withDrift(Options.Lease))
      continue;
    for (const TeamDemand &demand : state.Last.Demand)
      queued[demand.Entry] += demand.Queued;
  }
  std::vector<EntryId> entries;
  for (const auto &[entry, requests] : queued)
    if (requests > uncommitted(entry, now))
      entries.push_back(entry);
  return entries;
}

uint32_t CreditLedger::uncommitted(const EntryId &entry, Instant now) const {
  uint32_t sum = 0;
  for (const auto &[id, runner] : Runners)
    if (runner.Announcement.Entry == entry && isUsable(runner, now)) {
      const uint32_t bound = committed(id);
      const uint32_t slots = runner.Announcement.Slots;
      sum += slots > bound ? slots - bound : 0;
    }
  return sum;
}

CreditGrant CreditLedger::issueGrant(HolderState &holder,
                                     const CreditMap &creditsByRunner,
                                     bool isRenewal, Instant now) {
  if (holder.UnconfirmedGrants.size() >= MaxUnconfirmedGrants) {
    holder.UnconfirmedGrants.back().ReportSequence = holder.Last.Sequence;
    return holder.UnconfirmedGrants.back();
  }
  CreditGrant grant{
      holder.Last.From,    Options.Zone,         Options.LedgerTerm,
      ++holder.LastSerial, holder.Last.Sequence, Options.Lease,
  };
  grant.IsRenewal = isRenewal;
  for (const auto &[id, credits] : creditsByRunner)
    grant.Credits.push_back({id, credits});
  grant.Contended = contendedFor(holder.Last.From, now);
  holder.UnconfirmedGrants.push_back(grant);
  return grant;
}

void CreditLedger::tick(Instant now) {
  std::erase_if(Holders,
                [&](const auto &row) { return row.second.ExpiresAt <= now; });
  std::erase_if(Runners, [&](const auto &row) {
    const Duration silence = now - row.second.LastSeen;
    return silence > Options.RunnerLease + Options.MaxRequestTime &&
           committed(row.first) == 0;
  });
}

std::vector<LedgerRunner> CreditLedger::runners(Instant now) const {
  std::vector<LedgerRunner> all;
  for (const auto &[id, runner] : Runners) {
    LedgerRunner view{runner.Announcement, committed(id), 0,
                      now - runner.LastSeen >= Options.RunnerLease};
    for (const auto &[name, holder] : Holders)
      if (const auto use = holder.Uses.find(id); use != holder.Uses.end())
        view.InFlight += use->second.InFlight;
    all.push_back(std::move(view));
  }
  return all;
}

} // namespace jujube::routing
