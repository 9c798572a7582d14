#include "jujube/limits/slice_ledger.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::limits {
namespace {

// Denominator of the fixed-point fractions by which resources are divided.
constexpr int64_t FractionScale = 1'000'000;

constexpr std::array<int64_t Resources::*, 3> ResourceKinds = {
    &Resources::MilliCpu, &Resources::MemoryMb, &Resources::Accelerators};

Resources atLeastZero(const Resources &r) { return maxOf(r, Resources{}); }

// Applies `change` to each amount.
template <typename Fn> Resources mapAmounts(const Resources &r, Fn change) {
  return {change(r.MilliCpu), change(r.MemoryMb), change(r.Accelerators)};
}

Resources percentOf(const Resources &r, int64_t percent) {
  return mapAmounts(r, [=](int64_t n) { return n * percent / 100; });
}

Resources scaled(const Resources &r, int64_t fraction) {
  return mapAmounts(r, [=](int64_t n) {
    return static_cast<int64_t>(static_cast<__int128>(n) * fraction /
                                FractionScale);
  });
}

// The largest fraction of `need` that fits into `available`, up to
// FractionScale. Kinds of resources that are not needed are ignored.
int64_t fittingFraction(const Resources &need, const Resources &available) {
  int64_t fraction = FractionScale;
  for (const auto kind : ResourceKinds)
    if (need.*kind > 0)
      fraction = std::min(
          fraction, static_cast<int64_t>(static_cast<__int128>(FractionScale) *
                                         std::max<int64_t>(available.*kind, 0) /
                                         need.*kind));
  return fraction;
}

} // namespace

Resources SliceLedger::TeamAccount::held() const {
  Resources sum;
  for (const auto &[zone, record] : Slices)
    sum += record.Held.total();
  return sum;
}

bool SliceLedger::TeamAccount::hasUnmetNeed() const {
  return std::ranges::any_of(
      Slices, [](const auto &row) { return row.second.needsMore(); });
}

void SliceLedger::apply(const SliceCommand &command) {
  std::visit([this](const auto &typedCommand) { applyCommand(typedCommand); },
             command);
}

void SliceLedger::applyCommand(const AddZone &command) {
  if (!Zones.try_emplace(command.Zone).second)
    return;
  for (auto &[team, account] : Teams) {
    SliceRecord &record = account.Slices[command.Zone];
    record.Held.Team = team;
    assignVersion(record.Held);
    distribute(account);
  }
}

void SliceLedger::applyCommand(const RetireZone &command) {
  if (Zones.erase(command.Zone) == 0)
    return;
  for (auto &[team, account] : Teams) {
    account.Slices.erase(command.Zone);
    distribute(account);
  }
}

void SliceLedger::applyCommand(const SetCeiling &command) {
  const auto [it, isNew] = Teams.try_emplace(command.Team);
  TeamAccount &account = it->second;
  account.Ceiling = atLeastZero(command.Ceiling);
  if (isNew) {
    for (const auto &[zone, position] : Zones) {
      SliceRecord &record = account.Slices[zone];
      record.Held.Team = command.Team;
      assignVersion(record.Held);
    }
  }
  distribute(account);
  if (account.Ceiling == Resources{} && account.held() == Resources{})
    Teams.erase(it);
}

void SliceLedger::applyCommand(const ApplyReport &command) {
  const SliceReport &report = command.Report;
  if (isOutdated(report))
    return;
  Zones[report.Zone] = {report.LeaderTerm, report.Sequence};
  for (const ReportLine &reported : report.Lines) {
    const auto it = Teams.find(reported.Held.Team);
    if (it == Teams.end())
      continue;
    TeamAccount &account = it->second;
    SliceRecord &record = account.Slices.at(report.Zone);
    record.Wanted = atLeastZero(reported.Wanted);
    // A zone that has not received the latest grant may still receive it, so a
    // return counts only if it refers to the latest grant.
    if (reported.Held.Version == record.Held.Version) {
      record.Held.Guaranteed =
          atLeastZero(minOf(record.Held.Guaranteed, reported.Held.Guaranteed));
      record.Held.Borrowed =
          atLeastZero(minOf(record.Held.Borrowed, reported.Held.Borrowed));
    }
    distribute(account);
    if (account.Ceiling == Resources{} && account.held() == Resources{})
      Teams.erase(it);
  }
}

void SliceLedger::applyCommand(const ReclaimBorrowed &command) {
  if (!Zones.contains(command.Zone))
    return;
  for (auto &[team, account] : Teams) {
    SliceRecord &record = account.Slices.at(command.Zone);
    if (record.Held.Version > command.UpTo)
      continue;
    // The zone reports its need again once it has received the new version.
    record.Wanted = {};
    record.Held.Borrowed = {};
    assignVersion(record.Held);
    distribute(account);
  }
}

std::optional<SliceCommand>
SliceLedger::commandFor(const SliceReport &report) const {
  if (!Zones.contains(report.Zone))
    return AddZone{report.Zone};
  if (isOutdated(report))
    return std::nullopt;
  SliceReport needed = report;
  std::erase_if(needed.Lines, [&](const ReportLine &reported) {
    return !changesLedger(report.Zone, reported);
  });
  if (needed.Lines.empty())
    return std::nullopt;
  return ApplyReport{std::move(needed)};
}

SliceReply SliceLedger::replyTo(const SliceReport &report) const {
  SliceReply reply{report.LeaderTerm, report.Sequence, Latest, {}, {}};
  for (const auto &[team, account] : Teams) {
    const auto it = account.Slices.find(report.Zone);
    if (it == account.Slices.end())
      continue;
    if (it->second.Held.Version > report.Seen)
      reply.Slices.push_back(it->second.Held);
    if (auto guidance = sliceLimitFor(team, account, report.Zone))
      reply.Limits.push_back(*std::move(guidance));
  }
  return reply;
}

bool SliceLedger::holdsBorrowed(const ZoneId &zone) const {
  return std::ranges::any_of(Teams, [&](const auto &row) {
    const auto it = row.second.Slices.find(zone);
    return it != row.second.Slices.end() &&
           it->second.Held.Borrowed != Resources{};
  });
}

Resources SliceLedger::ceiling(const TeamId &team) const {
  const TeamAccount *account = findTeam(team);
  return account == nullptr ? Resources{} : account->Ceiling;
}

Resources SliceLedger::held(const TeamId &team) const {
  const TeamAccount *account = findTeam(team);
  return account == nullptr ? Resources{} : account->held();
}

bool SliceLedger::isCeilingMet(const TeamId &team) const {
  return held(team).fitsIn(ceiling(team));
}

LedgerState SliceLedger::state() const {
  LedgerState state{Latest, {}, {}};
  for (const auto &[zone, position] : Zones)
    state.Zones.push_back({zone, position.LeaderTerm, position.Sequence});
  for (const auto &[team, account] : Teams) {
    LedgerTeam saved{team, account.Ceiling, {}};
    for (const auto &[zone, record] : account.Slices)
      saved.Slices.push_back({zone, record.Held, record.Wanted});
    state.Teams.push_back(std::move(saved));
  }
  return state;
}

Result<SliceLedger> SliceLedger::fromState(const LedgerState &state,
                                           SlicePolicy policy) {
  SliceLedger ledger(policy);
  ledger.Latest = state.Latest;
  for (const LedgerZone &zone : state.Zones)
    ledger.Zones[zone.Zone] = {zone.LeaderTerm, zone.Sequence};
  for (const LedgerTeam &saved : state.Teams) {
    TeamAccount &account = ledger.Teams[saved.Team];
    account.Ceiling = saved.Ceiling;
    for (const SliceEntry &entry : saved.Slices)
      account.Slices[entry.Zone] = {entry.Held, entry.Wanted};
    const bool hasAllZones = std::ranges::equal(
        account.Slices, ledger.Zones, {},
        [](const auto &row) { return row.first; },
        [](const auto &row) { return row.first; });
    if (!hasAllZones)
      return Error{ErrorKind::CorruptData,
                   absl::StrCat("the snapshot's slices of team ",
                                saved.Team.str(),
                                " don't match its availability zones"),
                   "restore this keeper's state from another keeper"};
  }
  return ledger;
}

const SliceLedger::TeamAccount *
SliceLedger::findTeam(const TeamId &team) const {
  const auto it = Teams.find(team);
  return it == Teams.end() ? nullptr : &it->second;
}

bool SliceLedger::isOutdated(const SliceReport &report) const {
  const auto it = Zones.find(report.Zone);
  return it == Zones.end() ||
         ReportPosition{report.LeaderTerm, report.Sequence} <= it->second;
}

bool SliceLedger::changesLedger(const ZoneId &zone,
                                const ReportLine &reported) const {
  const TeamAccount *team = findTeam(reported.Held.Team);
  if (team == nullptr)
    return false;
  const SliceRecord &record = team->Slices.at(zone);
  const bool isReturn =
      reported.Held.Version == record.Held.Version &&
      !(record.Held.Guaranteed.fitsIn(reported.Held.Guaranteed) &&
        record.Held.Borrowed.fitsIn(reported.Held.Borrowed));
  return isReturn || reported.Wanted != record.Wanted;
}

Resources SliceLedger::entitlement(const TeamAccount &account) const {
  const auto zones =
      static_cast<int64_t>(std::max<std::size_t>(Zones.size(), 1));
  return mapAmounts(percentOf(account.Ceiling, Policy.GuaranteedPercent),
                    [=](int64_t n) { return n / zones; });
}

Resources SliceLedger::baseLimitOf(const TeamAccount &account,
                                   const SliceRecord &record) const {
  const Resources entitled = entitlement(account);
  const bool isContended =
      account.hasUnmetNeed() || !account.held().fitsIn(account.Ceiling);
  if (!isContended)
    return maxOf(entitled, record.Wanted);
  return maxOf(minOf(entitled, record.Wanted),
               percentOf(entitled, Policy.FloorPercent));
}

Resources SliceLedger::limitOf(const TeamAccount &account,
                               const ZoneId &zone) const {
  Resources left = account.Ceiling;
  Resources need;
  for (const auto &[id, record] : account.Slices) {
    const Resources base = baseLimitOf(account, record);
    left -= base;
    need += atLeastZero(record.Wanted - base);
  }
  const SliceRecord &record = account.Slices.at(zone);
  const Resources base = baseLimitOf(account, record);
  return base +
         scaled(atLeastZero(record.Wanted - base), fittingFraction(need, left));
}

std::optional<SliceLimit> SliceLedger::sliceLimitFor(const TeamId &team,
                                                     const TeamAccount &account,
                                                     const ZoneId &zone) const {
  const bool isRevoked = !account.held().fitsIn(account.Ceiling);
  const Resources entitled = entitlement(account);
  const Slice &held = account.Slices.at(zone).Held;
  const bool isShort =
      std::ranges::any_of(account.Slices, [&](const auto &row) {
        return row.second.needsMore() ||
               !entitled.fitsIn(row.second.Held.Guaranteed);
      });
  // Adding a zone reduces the entitlement of the other zones.
  const bool isAboveEntitlement = !held.Guaranteed.fitsIn(entitled);
  if (!isRevoked && !isShort && !isAboveEntitlement)
    return std::nullopt;
  const Resources limit = limitOf(account, zone);
  if (held.total().fitsIn(limit))
    return std::nullopt;
  return SliceLimit{team, limit, isRevoked};
}

void SliceLedger::distribute(TeamAccount &account) {
  Resources unallocated = atLeastZero(account.Ceiling - account.held());
  if (unallocated == Resources{})
    return;
  restoreGuaranteed(account, unallocated);
  lend(account, unallocated);
}

void SliceLedger::restoreGuaranteed(TeamAccount &account,
                                    Resources &unallocated) {
  const Resources entitled = entitlement(account);
  const bool hasUnmetNeed = account.hasUnmetNeed();
  for (auto &[zone, record] : account.Slices) {
    if (hasUnmetNeed && !record.needsMore())
      continue;
    const Resources missing = atLeastZero(entitled - record.Held.Guaranteed);
    const Resources added = minOf(missing, unallocated);
    if (added == Resources{})
      continue;
    record.Held.Guaranteed += added;
    unallocated -= added;
    assignVersion(record.Held);
  }
}

void SliceLedger::lend(TeamAccount &account, Resources &unallocated) {
  const auto needOf = [](const SliceRecord &record) {
    return atLeastZero(record.Wanted - record.Held.total());
  };
  const auto lendTo = [&](SliceRecord &record, const Resources &need,
                          int64_t fraction) {
    const Resources lent = scaled(need, fraction);
    if (lent == Resources{})
      return;
    record.Held.Borrowed += lent;
    unallocated -= lent;
    assignVersion(record.Held);
  };
  Resources need;
  for (const auto &[zone, record] : account.Slices)
    need += needOf(record);
  const int64_t common = fittingFraction(need, unallocated);
  for (auto &[zone, record] : account.Slices)
    lendTo(record, needOf(record), common);
  // The kind of resource that limits the common fraction may not be needed by
  // every zone, so lend the rest to zones that can use it.
  for (auto &[zone, record] : account.Slices)
    lendTo(record, needOf(record),
           fittingFraction(needOf(record), unallocated));
}

void SliceLedger::assignVersion(Slice &slice) {
  Latest = Latest.next();
  slice.Version = Latest;
}

} // namespace jujube::limits
