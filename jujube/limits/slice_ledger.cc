#include "jujube/limits/slice_ledger.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::limits {
namespace {

// Denominator of the fractions in which parts are shared out.
constexpr int64_t Whole = 1'000'000;

constexpr std::array<int64_t Resources::*, 3> Kinds = {
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
    return static_cast<int64_t>(static_cast<__int128>(n) * fraction / Whole);
  });
}

// The largest fraction of `need` that fits into `room`, up to Whole. Amounts
// that are not needed don't count.
int64_t fittingFraction(const Resources &need, const Resources &room) {
  int64_t fraction = Whole;
  for (const auto kind : Kinds)
    if (need.*kind > 0)
      fraction = std::min(
          fraction,
          static_cast<int64_t>(static_cast<__int128>(Whole) *
                               std::max<int64_t>(room.*kind, 0) / need.*kind));
  return fraction;
}

} // namespace

Resources SliceLedger::TeamLine::held() const {
  Resources sum;
  for (const auto &[zone, part] : Parts)
    sum += part.Held.total();
  return sum;
}

bool SliceLedger::TeamLine::isWanted() const {
  return std::ranges::any_of(
      Parts, [](const auto &row) { return row.second.isWanting(); });
}

void SliceLedger::apply(const SliceCommand &command) {
  std::visit([this](const auto &c) { on(c); }, command);
}

void SliceLedger::on(const AddZone &command) {
  if (!Zones.try_emplace(command.Zone).second)
    return;
  for (auto &[team, line] : Teams) {
    Part &part = line.Parts[command.Zone];
    part.Held.Team = team;
    stamp(part.Held);
    distribute(line);
  }
}

void SliceLedger::on(const RetireZone &command) {
  if (Zones.erase(command.Zone) == 0)
    return;
  for (auto &[team, line] : Teams) {
    line.Parts.erase(command.Zone);
    distribute(line);
  }
}

void SliceLedger::on(const SetCeiling &command) {
  const auto [it, isNew] = Teams.try_emplace(command.Team);
  TeamLine &line = it->second;
  line.Ceiling = atLeastZero(command.Ceiling);
  if (isNew) {
    for (const auto &[zone, mark] : Zones) {
      Part &part = line.Parts[zone];
      part.Held.Team = command.Team;
      stamp(part.Held);
    }
  }
  distribute(line);
  if (line.Ceiling == Resources{} && line.held() == Resources{})
    Teams.erase(it);
}

void SliceLedger::on(const ApplyReport &command) {
  const SliceReport &report = command.Report;
  if (isOutdated(report))
    return;
  Zones[report.Zone] = {report.LeaderTerm, report.Sequence};
  for (const ReportLine &reported : report.Lines) {
    const auto it = Teams.find(reported.Held.Team);
    if (it == Teams.end())
      continue;
    TeamLine &line = it->second;
    Part &part = line.Parts.at(report.Zone);
    part.Wanted = atLeastZero(reported.Wanted);
    // A zone that has not seen the newest grant may still take it in, so only
    // a return of that very grant counts.
    if (reported.Held.Version == part.Held.Version) {
      part.Held.Guaranteed =
          atLeastZero(minOf(part.Held.Guaranteed, reported.Held.Guaranteed));
      part.Held.Borrowed =
          atLeastZero(minOf(part.Held.Borrowed, reported.Held.Borrowed));
    }
    distribute(line);
    if (line.Ceiling == Resources{} && line.held() == Resources{})
      Teams.erase(it);
  }
}

void SliceLedger::on(const ReclaimBorrowed &command) {
  if (!Zones.contains(command.Zone))
    return;
  for (auto &[team, line] : Teams) {
    Part &part = line.Parts.at(command.Zone);
    if (part.Held.Version > command.Upto)
      continue;
    // The zone reports its need anew once it has seen the new version.
    part.Wanted = {};
    part.Held.Borrowed = {};
    stamp(part.Held);
    distribute(line);
  }
}

std::optional<SliceCommand>
SliceLedger::commandFor(const SliceReport &report) const {
  if (!Zones.contains(report.Zone))
    return AddZone{report.Zone};
  if (isOutdated(report))
    return std::nullopt;
  SliceReport needed = report;
  std::erase_if(needed.Lines, [&](const ReportLine &line) {
    return !matters(report.Zone, line);
  });
  if (needed.Lines.empty())
    return std::nullopt;
  return ApplyReport{std::move(needed)};
}

SliceReply SliceLedger::replyTo(const SliceReport &report) const {
  SliceReply reply{report.LeaderTerm, report.Sequence, Latest, {}, {}};
  for (const auto &[team, line] : Teams) {
    const auto it = line.Parts.find(report.Zone);
    if (it == line.Parts.end())
      continue;
    if (it->second.Held.Version > report.Seen)
      reply.Slices.push_back(it->second.Held);
    if (auto guidance = guidanceFor(team, line, report.Zone))
      reply.Advice.push_back(*std::move(guidance));
  }
  return reply;
}

bool SliceLedger::holdsBorrowed(const ZoneId &zone) const {
  return std::ranges::any_of(Teams, [&](const auto &row) {
    const auto it = row.second.Parts.find(zone);
    return it != row.second.Parts.end() &&
           it->second.Held.Borrowed != Resources{};
  });
}

Resources SliceLedger::ceiling(const TeamId &team) const {
  const TeamLine *line = findTeam(team);
  return line == nullptr ? Resources{} : line->Ceiling;
}

Resources SliceLedger::held(const TeamId &team) const {
  const TeamLine *line = findTeam(team);
  return line == nullptr ? Resources{} : line->held();
}

bool SliceLedger::isInForce(const TeamId &team) const {
  return held(team).fitsIn(ceiling(team));
}

LedgerState SliceLedger::state() const {
  LedgerState state{Latest, {}, {}};
  for (const auto &[zone, mark] : Zones)
    state.Zones.push_back({zone, mark.LeaderTerm, mark.Sequence});
  for (const auto &[team, line] : Teams) {
    LedgerTeam saved{team, line.Ceiling, {}};
    for (const auto &[zone, part] : line.Parts)
      saved.Slices.push_back({zone, part.Held, part.Wanted});
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
    TeamLine &line = ledger.Teams[saved.Team];
    line.Ceiling = saved.Ceiling;
    for (const SliceEntry &entry : saved.Slices)
      line.Parts[entry.Zone] = {entry.Held, entry.Wanted};
    const bool hasAllZones = std::ranges::equal(
        line.Parts, ledger.Zones, {}, [](const auto &row) { return row.first; },
        [](const auto &row) { return row.first; });
    if (!hasAllZones)
      return Error{ErrorKind::CorruptData,
                   absl::StrCat("the snapshot's slices of team ",
                                saved.Team.str(),
                                " don't match its availability zones"),
                   "restore this keeper from another one"};
  }
  return ledger;
}

const SliceLedger::TeamLine *SliceLedger::findTeam(const TeamId &team) const {
  const auto it = Teams.find(team);
  return it == Teams.end() ? nullptr : &it->second;
}

bool SliceLedger::isOutdated(const SliceReport &report) const {
  const auto it = Zones.find(report.Zone);
  return it == Zones.end() ||
         ReportMark{report.LeaderTerm, report.Sequence} <= it->second;
}

bool SliceLedger::matters(const ZoneId &zone, const ReportLine &line) const {
  const TeamLine *team = findTeam(line.Held.Team);
  if (team == nullptr)
    return false;
  const Part &part = team->Parts.at(zone);
  const bool isReturn = line.Held.Version == part.Held.Version &&
                        !(part.Held.Guaranteed.fitsIn(line.Held.Guaranteed) &&
                          part.Held.Borrowed.fitsIn(line.Held.Borrowed));
  return isReturn || line.Wanted != part.Wanted;
}

Resources SliceLedger::entitlement(const TeamLine &line) const {
  const auto zones =
      static_cast<int64_t>(std::max<std::size_t>(Zones.size(), 1));
  return mapAmounts(percentOf(line.Ceiling, Policy.GuaranteedPercent),
                    [=](int64_t n) { return n / zones; });
}

Resources SliceLedger::baseOf(const TeamLine &line, const Part &part) const {
  const Resources entitled = entitlement(line);
  const bool isTight = line.isWanted() || !line.held().fitsIn(line.Ceiling);
  if (!isTight)
    return maxOf(entitled, part.Wanted);
  return maxOf(minOf(entitled, part.Wanted),
               percentOf(entitled, Policy.FloorPercent));
}

Resources SliceLedger::limitOf(const TeamLine &line, const ZoneId &zone) const {
  Resources left = line.Ceiling;
  Resources need;
  for (const auto &[id, part] : line.Parts) {
    const Resources base = baseOf(line, part);
    left -= base;
    need += atLeastZero(part.Wanted - base);
  }
  const Part &part = line.Parts.at(zone);
  const Resources base = baseOf(line, part);
  return base +
         scaled(atLeastZero(part.Wanted - base), fittingFraction(need, left));
}

std::optional<Guidance> SliceLedger::guidanceFor(const TeamId &team,
                                                 const TeamLine &line,
                                                 const ZoneId &zone) const {
  const bool isRevoked = !line.held().fitsIn(line.Ceiling);
  const Resources entitled = entitlement(line);
  const Slice &held = line.Parts.at(zone).Held;
  const bool isShort = std::ranges::any_of(line.Parts, [&](const auto &row) {
    return row.second.isWanting() ||
           !entitled.fitsIn(row.second.Held.Guaranteed);
  });
  // A zone that was added takes from the guaranteed parts of the others.
  const bool isAboveEntitlement = !held.Guaranteed.fitsIn(entitled);
  if (!isRevoked && !isShort && !isAboveEntitlement)
    return std::nullopt;
  const Resources limit = limitOf(line, zone);
  if (held.total().fitsIn(limit))
    return std::nullopt;
  return Guidance{team, limit, isRevoked};
}

void SliceLedger::distribute(TeamLine &line) {
  Resources unheld = atLeastZero(line.Ceiling - line.held());
  if (unheld == Resources{})
    return;
  restoreGuaranteed(line, unheld);
  lend(line, unheld);
}

void SliceLedger::restoreGuaranteed(TeamLine &line, Resources &unheld) {
  const Resources entitled = entitlement(line);
  const bool isWanted = line.isWanted();
  for (auto &[zone, part] : line.Parts) {
    if (isWanted && !part.isWanting())
      continue;
    const Resources missing = atLeastZero(entitled - part.Held.Guaranteed);
    const Resources added = minOf(missing, unheld);
    if (added == Resources{})
      continue;
    part.Held.Guaranteed += added;
    unheld -= added;
    stamp(part.Held);
  }
}

void SliceLedger::lend(TeamLine &line, Resources &unheld) {
  const auto needOf = [](const Part &part) {
    return atLeastZero(part.Wanted - part.Held.total());
  };
  const auto lendTo = [&](Part &part, const Resources &need, int64_t fraction) {
    const Resources lent = scaled(need, fraction);
    if (lent == Resources{})
      return;
    part.Held.Borrowed += lent;
    unheld -= lent;
    stamp(part.Held);
  };
  Resources need;
  for (const auto &[zone, part] : line.Parts)
    need += needOf(part);
  const int64_t common = fittingFraction(need, unheld);
  for (auto &[zone, part] : line.Parts)
    lendTo(part, needOf(part), common);
  // What is scarce for one zone may be of no use to another.
  for (auto &[zone, part] : line.Parts)
    lendTo(part, needOf(part), fittingFraction(needOf(part), unheld));
}

void SliceLedger::stamp(Slice &slice) {
  Latest = Latest.next();
  slice.Version = Latest;
}

} // namespace jujube::limits
