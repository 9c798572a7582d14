#include "jujube/limits/zone_slices.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace jujube::limits {
namespace {

// Reports whose replies are still waited for.
constexpr std::size_t MaxUnanswered = 16;
// A need is reported anew once it has changed by more than this part.
constexpr int64_t ReportedParts = 8;
// An update that was not committed within this span is proposed again.
constexpr Duration ProposeAgain = Duration::seconds(2);

Resources atLeastZero(const Resources &r) { return maxOf(r, Resources{}); }

Slice smaller(const Slice &a, const Slice &b) {
  return {a.Team, a.Version, minOf(a.Guaranteed, b.Guaranteed),
          minOf(a.Borrowed, b.Borrowed)};
}

// True if the keepers may decide otherwise on `now` than on `reported`.
bool isMaterial(const Resources &reported, const Resources &now,
                const Resources &held) {
  if (reported.fitsIn(held) != now.fitsIn(held))
    return true;
  const Resources scale = maxOf(reported, held);
  const auto hasMoved = [](int64_t from, int64_t to, int64_t whole) {
    return std::abs(to - from) * ReportedParts > whole;
  };
  return hasMoved(reported.MilliCpu, now.MilliCpu, scale.MilliCpu) ||
         hasMoved(reported.MemoryMb, now.MemoryMb, scale.MemoryMb) ||
         hasMoved(reported.Accelerators, now.Accelerators, scale.Accelerators);
}

// The team's demand with `Wanted` at least `Used`.
TeamDemand demandOf(const std::vector<TeamDemand> &demands,
                    const TeamId &team) {
  const auto it = std::ranges::find(demands, team, &TeamDemand::Team);
  if (it == demands.end())
    return {team, {}, {}};
  return {team, it->Used, maxOf(it->Used, it->Wanted)};
}

} // namespace

bool SliceHoldings::apply(const SliceUpdate &update) {
  bool isChanged = update.Seen > Seen;
  Seen = std::max(Seen, update.Seen);
  for (const Slice &slice : update.Slices) {
    Slice &held = Slices[slice.Team];
    if (slice.Version < held.Version)
      continue;
    // Within one grant a zone only lets go.
    const Slice next =
        slice.Version > held.Version ? slice : smaller(held, slice);
    isChanged |= next != held;
    held = next;
  }
  return isChanged;
}

const Slice *SliceHoldings::find(const TeamId &team) const {
  const auto it = Slices.find(team);
  return it == Slices.end() ? nullptr : &it->second;
}

SliceUpdate SliceHoldings::state() const {
  SliceUpdate update{Seen, {}};
  for (const auto &[team, slice] : Slices)
    update.Slices.push_back(slice);
  return update;
}

Slice ZoneSlices::Line::effective() const {
  Slice slice = Held;
  if (LetGo.has_value() && LetGo->Version == Held.Version)
    slice = smaller(slice, *LetGo);
  if (Pending.has_value() && Pending->Version > Held.Version)
    slice = smaller(slice, *Pending);
  return slice;
}

ZoneSlices::ZoneSlices(ZoneId zone, Term term, SlicePolicy policy,
                       Instant takeover, const SliceHoldings &holdings)
    : Zone(std::move(zone)), LeaderTerm(term), Policy(policy),
      Takeover(takeover) {
  onCommitted(holdings);
}

bool ZoneSlices::isBorrowedUsable(Instant now) const {
  return IsRenewed && now < LeaseEnd - Policy.WindDown;
}

bool ZoneSlices::isSettled(Instant now) const {
  return IsRenewed || now >= Takeover + Policy.TakeoverGrace;
}

Resources ZoneSlices::startable(const TeamId &team, Instant now) const {
  const auto it = Lines.find(team);
  if (it == Lines.end())
    return {};
  const Resources bound = allowed(team, now);
  const Guidance *advice = adviceFor(it->second, now);
  return advice != nullptr ? minOf(bound, advice->Limit) : bound;
}

Resources ZoneSlices::allowed(const TeamId &team, Instant now) const {
  const auto it = Lines.find(team);
  if (it == Lines.end())
    return {};
  const Slice slice = it->second.effective();
  const Resources bound =
      isBorrowedUsable(now) ? slice.total() : slice.Guaranteed;
  const Guidance *advice = adviceFor(it->second, now);
  return advice != nullptr && advice->IsRevoked ? minOf(bound, advice->Limit)
                                                : bound;
}

const Guidance *ZoneSlices::adviceFor(const Line &line, Instant now) const {
  const bool isBinding = line.Advice.has_value() &&
                         (line.Advice->IsRevoked || isBorrowedUsable(now));
  return isBinding ? &*line.Advice : nullptr;
}

std::optional<SliceUpdate>
ZoneSlices::letGo(const std::vector<TeamDemand> &demands, Instant now) {
  SliceUpdate update{Seen, {}};
  for (auto &[team, line] : Lines) {
    const bool isOverdue =
        line.LetGo.has_value() && line.LetGo->Version == line.Held.Version &&
        line.Held != *line.LetGo && now - line.LetGoAt > ProposeAgain;
    Slice kept = line.effective();
    const Slice excess = excessOf(line, demandOf(demands, team), now);
    if (excess.total() == Resources{} && !isOverdue)
      continue;
    kept.Guaranteed -= excess.Guaranteed;
    kept.Borrowed -= excess.Borrowed;
    line.LetGo = kept;
    line.LetGoAt = now;
    update.Slices.push_back(kept);
  }
  if (update.Slices.empty())
    return std::nullopt;
  return update;
}

Slice ZoneSlices::excessOf(Line &line, const TeamDemand &demand,
                           Instant now) const {
  const Slice held = line.effective();
  const Resources total = held.total();
  Slice excess;
  if (const Guidance *advice = adviceFor(line, now)) {
    const Resources keep = maxOf(demand.Used, advice->Limit);
    const Resources over = atLeastZero(total - keep);
    excess.Borrowed = minOf(held.Borrowed, over);
    excess.Guaranteed = over - excess.Borrowed;
    return excess;
  }
  const Resources idle =
      minOf(held.Borrowed, atLeastZero(total - demand.Wanted));
  if (idle == Resources{}) {
    line.IdleSince = Instant::never();
    return excess;
  }
  line.IdleSince = std::min(line.IdleSince, now);
  if (now - line.IdleSince >= Policy.IdleKeep)
    excess.Borrowed = idle;
  return excess;
}

bool ZoneSlices::isUnreported(const Line &line, const Resources &wanted) const {
  return !line.Reported.has_value() || line.Reported->Held != line.Held ||
         isMaterial(line.Reported->Wanted, wanted, line.Held.total());
}

bool ZoneSlices::hasNews(const std::vector<TeamDemand> &demands) const {
  return std::ranges::any_of(Lines, [&](const auto &row) {
    return isUnreported(row.second, demandOf(demands, row.first).Wanted);
  });
}

SliceReport ZoneSlices::report(const std::vector<TeamDemand> &demands,
                               Instant now) {
  SliceReport report{Zone, LeaderTerm, ++LastSequence, Seen, {}};
  for (const auto &[team, line] : Lines) {
    const Resources wanted = demandOf(demands, team).Wanted;
    if (isUnreported(line, wanted))
      report.Lines.push_back({line.Held, wanted});
  }
  Unanswered.push_back({report.Sequence, now, report.Lines});
  if (Unanswered.size() > MaxUnanswered)
    Unanswered.pop_front();
  return report;
}

std::optional<SliceUpdate> ZoneSlices::receive(const SliceReply &reply,
                                               Instant now) {
  const auto sent =
      std::ranges::find(Unanswered, reply.Sequence, &SentReport::Sequence);
  if (reply.LeaderTerm != LeaderTerm || sent == Unanswered.end())
    return std::nullopt;
  SliceUpdate update{std::max(Seen, reply.Upto), {}};
  for (const Slice &slice : reply.Slices) {
    Line &line = Lines[slice.Team];
    line.Held.Team = slice.Team;
    if (slice.Version <= line.Held.Version)
      continue;
    if (!line.Pending.has_value() || line.Pending->Version < slice.Version)
      line.Pending = slice;
    update.Slices.push_back(slice);
  }
  const Instant end = sent->At + Policy.BorrowLease;
  if (end > now) {
    LeaseEnd = IsRenewed ? std::max(LeaseEnd, end) : end;
    IsRenewed = true;
  }
  acknowledge(*sent, reply);
  Unanswered.erase(sent);
  if (update.Slices.empty())
    return std::nullopt;
  return update;
}

void ZoneSlices::acknowledge(const SentReport &sent, const SliceReply &reply) {
  if (sent.Sequence <= LastAnswered)
    return;
  LastAnswered = sent.Sequence;
  for (const ReportLine &reported : sent.Lines)
    Lines[reported.Held.Team].Reported = reported;
  for (auto &[team, line] : Lines)
    line.Advice.reset();
  for (const Guidance &guidance : reply.Advice)
    Lines[guidance.Team].Advice = guidance;
}

void ZoneSlices::onCommitted(const SliceHoldings &holdings) {
  Seen = holdings.seen();
  for (const auto &[team, slice] : holdings.all()) {
    Line &line = Lines[team];
    line.Held = slice;
    if (line.Pending.has_value() && line.Pending->Version <= slice.Version)
      line.Pending.reset();
    if (line.LetGo.has_value() && (line.LetGo->Version != slice.Version ||
                                   slice == smaller(slice, *line.LetGo)))
      line.LetGo.reset();
  }
}

} // namespace jujube::limits
