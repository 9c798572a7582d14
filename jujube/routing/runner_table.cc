#include "jujube/routing/runner_table.h"

#include <algorithm>
#include <iterator>

namespace jujube::routing {
namespace {

// Number of latest reports for which a grant is accepted.
constexpr std::size_t MaxRememberedReports = 64;

} // namespace

RunnerTable::RunnerTable(const RouterOptions &options) : Options(options) {
  Leases[options.Zone];
}

void RunnerTable::recordAnnouncement(const RunnerAnnouncement &announcement,
                                     Duration age, Instant now) {
  const auto [it, isNew] = Runners.try_emplace(
      announcement.Runner,
      KnownRunner{announcement, now - age, 0, 0, RunnerHealth(Options.Health)});
  Leases[announcement.Zone];
  if (isNew)
    return;
  KnownRunner &runner = it->second;
  RunnerAnnouncement &known = runner.Announcement;
  if (announcement.Start < known.Start)
    return;
  if (announcement.Start > known.Start)
    runner.Health.reset();
  // Credits are valid only in the zone of the ledger that granted them.
  if (announcement.Zone != known.Zone)
    runner.Credits = 0;
  const bool wasLeaving = known.IsLeaving && announcement.Start == known.Start;
  known = announcement;
  known.IsLeaving = known.IsLeaving || wasLeaving;
  runner.LastSeen = std::max(runner.LastSeen, now - age);
}

std::optional<Instant> RunnerTable::sentAt(const ZoneLease &lease,
                                           uint64_t sequence) const {
  const auto it =
      std::ranges::find(lease.Reports, sequence, &SentReport::Sequence);
  return it == lease.Reports.end() ? std::nullopt
                                   : std::optional<Instant>(it->SentAt);
}

bool RunnerTable::applyGrant(const CreditGrant &grant, Instant now) {
  const auto it = Leases.find(grant.Zone);
  if (it == Leases.end() || grant.To != Options.Self)
    return false;
  ZoneLease &lease = it->second;
  const std::optional<Instant> sent = sentAt(lease, grant.ReportSequence);
  const bool isStale =
      grant.LedgerTerm < lease.LedgerTerm ||
      (grant.LedgerTerm == lease.LedgerTerm && grant.Serial < lease.Serial);
  if (!sent || isStale || now >= *sent + grant.Lease)
    return false;
  lease.Until = std::max(lease.Until, *sent + grant.Lease);
  if (grant.LedgerTerm == lease.LedgerTerm && grant.Serial == lease.Serial)
    return false;
  lease.LedgerTerm = grant.LedgerTerm;
  lease.Serial = grant.Serial;
  lease.Contended = grant.Contended;
  return replaceCredits(grant);
}

bool RunnerTable::replaceCredits(const CreditGrant &grant) {
  bool hasFreed = false;
  uint32_t &total = Leases[grant.Zone].Credits;
  total = 0;
  for (auto &[id, runner] : Runners) {
    if (runner.Announcement.Zone != grant.Zone)
      continue;
    const auto it =
        std::ranges::find(grant.Credits, id, &RunnerCredits::Runner);
    uint32_t credits = it == grant.Credits.end() ? 0 : it->Credits;
    if (grant.IsRenewal)
      credits = std::min(credits, runner.Credits);
    hasFreed = hasFreed || std::max(credits, runner.InFlight) <
                               std::max(runner.Credits, runner.InFlight);
    runner.Credits = credits;
    total += credits;
  }
  return hasFreed;
}

void RunnerTable::returnCredits(const ZoneId &zone, const EntryId &entry,
                                uint32_t keep) {
  const auto rank = [&](const auto &row) -> int64_t {
    const RunnerAnnouncement &runner = row.second.Announcement;
    const bool matches = runner.Zone == zone && runner.Entry == entry;
    return matches ? int64_t{row.second.Credits} - row.second.InFlight : 0;
  };
  for (uint32_t spare = spareIn(zone, entry); spare > keep; --spare)
    --std::ranges::max_element(Runners, {}, rank)->second.Credits;
}

EntryReport RunnerTable::beginReport(const ZoneId &zone, Instant now) {
  ZoneLease &lease = Leases[zone];
  lease.LastReport = now;
  lease.IsUrgent = false;
  lease.Reports.push_back({++lease.LastSequence, now});
  if (lease.Reports.size() > MaxRememberedReports)
    lease.Reports.pop_front();
  EntryReport report;
  report.From = Options.Self;
  report.HomeZone = Options.Zone;
  report.Zone = zone;
  report.Sequence = lease.LastSequence;
  report.AppliedTerm = lease.LedgerTerm;
  report.AppliedGrant = lease.Serial;
  report.MaxPerRunner = Options.MaxPerRunner;
  const bool isValid = now < lease.Until;
  lease.Credits = isValid ? lease.Credits : 0;
  for (auto &[id, runner] : Runners) {
    if (runner.Announcement.Zone != zone)
      continue;
    // An expired credit stays lost, even if the lease is renewed later.
    runner.Credits = isValid ? runner.Credits : 0;
    const RunnerUse use{id, std::max(runner.Credits, runner.InFlight),
                        runner.InFlight, limitOf(runner, now)};
    if (use.Held > 0 || use.Limit != Options.MaxPerRunner)
      report.Runners.push_back(use);
  }
  return report;
}

KnownRunner *RunnerTable::find(const RunnerId &id) {
  const auto it = Runners.find(id);
  return it == Runners.end() ? nullptr : &it->second;
}

const KnownRunner *RunnerTable::find(const RunnerId &id) const {
  const auto it = Runners.find(id);
  return it == Runners.end() ? nullptr : &it->second;
}

bool RunnerTable::isUsable(const KnownRunner &runner, Instant now) const {
  return !runner.Announcement.IsLeaving &&
         now - runner.LastSeen < Options.RunnerLease &&
         runner.Health.stateAt(now) != HealthState::Suspended;
}

uint32_t RunnerTable::limitOf(const KnownRunner &runner, Instant now) const {
  if (!isUsable(runner, now))
    return 0;
  return runner.Health.stateAt(now) == HealthState::Probation
             ? 1
             : Options.MaxPerRunner;
}

uint32_t RunnerTable::freeCredits(const KnownRunner &runner,
                                  Instant now) const {
  if (now + Options.LeaseMargin >= leaseEnd(runner.Announcement.Zone))
    return 0;
  const uint32_t usable = std::min(runner.Credits, limitOf(runner, now));
  return usable > runner.InFlight ? usable - runner.InFlight : 0;
}

Instant RunnerTable::leaseEnd(const ZoneId &zone) const {
  const auto it = Leases.find(zone);
  return it == Leases.end() ? Instant() : it->second.Until;
}

bool RunnerTable::isServed(const EntryId &entry, Instant now) const {
  return std::ranges::any_of(Runners, [&](const auto &row) {
    return row.second.Announcement.Entry == entry && isUsable(row.second, now);
  });
}

bool RunnerTable::isServedIn(const ZoneId &zone, const EntryId &entry,
                             Instant now) const {
  return std::ranges::any_of(Runners, [&](const auto &row) {
    const RunnerAnnouncement &runner = row.second.Announcement;
    return runner.Zone == zone && runner.Entry == entry &&
           isUsable(row.second, now);
  });
}

uint32_t RunnerTable::capacityOf(const EntryId &entry, Instant now) const {
  uint32_t sum = 0;
  for (const auto &[id, runner] : Runners)
    if (runner.Announcement.Entry == entry &&
        now < leaseEnd(runner.Announcement.Zone))
      sum += std::min(runner.Credits, limitOf(runner, now));
  return sum;
}

uint32_t RunnerTable::spareOf(const EntryId &entry, Instant now) const {
  uint32_t sum = 0;
  for (const auto &[id, runner] : Runners)
    if (runner.Announcement.Entry == entry)
      sum += freeCredits(runner, now);
  return sum;
}

std::vector<ZoneId> RunnerTable::zones() const {
  std::vector<ZoneId> names;
  std::ranges::transform(Leases, std::back_inserter(names),
                         [](const auto &row) { return row.first; });
  return names;
}

uint32_t RunnerTable::creditsIn(const ZoneId &zone) const {
  const auto it = Leases.find(zone);
  return it == Leases.end() ? 0 : it->second.Credits;
}

const std::vector<EntryId> &RunnerTable::contendedIn(const ZoneId &zone) const {
  static const std::vector<EntryId> None;
  const auto it = Leases.find(zone);
  return it == Leases.end() ? None : it->second.Contended;
}

uint32_t RunnerTable::spareIn(const ZoneId &zone, const EntryId &entry) const {
  uint32_t sum = 0;
  for (const auto &[id, runner] : Runners)
    if (runner.Announcement.Zone == zone &&
        runner.Announcement.Entry == entry && runner.Credits > runner.InFlight)
      sum += runner.Credits - runner.InFlight;
  return sum;
}

Instant RunnerTable::lastReport(const ZoneId &zone) const {
  const auto it = Leases.find(zone);
  return it == Leases.end() ? Instant() : it->second.LastReport;
}

bool RunnerTable::isUrgent(const ZoneId &zone) const {
  const auto it = Leases.find(zone);
  return it != Leases.end() && it->second.IsUrgent;
}

} // namespace jujube::routing
