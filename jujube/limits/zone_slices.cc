#include "jujube/limits/zone_slices.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace jujube::limits {
namespace {

// Maximum number of reports that wait for a reply.
constexpr std::size_t MaxUnanswered = 16;
// A need is reported again once it has changed by more than the whole divided
// by this number.
constexpr int64_t MaterialChangeDivisor = 8;
// An update that is not committed within this time is proposed again.
constexpr Duration ReproposeAfter = Duration::seconds(2);

Resources atLeastZero(const Resources &r) { return maxOf(r, Resources{}); }

Slice minSlice(const Slice &a, const Slice &b) {
  return {a.Team, a.Version, minOf(a.Guaranteed, b.Guaranteed),
          minOf(a.Borrowed, b.Borrowed)};
}

// True if the keepers may decide differently for the need `now` than for the
// need `reported`.
bool isMaterial(const Resources &reported, const Resources &now,
                const Resources &held) {
  if (reported.fitsIn(held) != now.fitsIn(held))
    return true;
  const Resources scale = maxOf(reported, held);
  const auto isLargeChange = [](int64_t from, int64_t to, int64_t whole) {
    return std::abs(to - from) * MaterialChangeDivisor > whole;
  };
  return isLargeChange(reported.MilliCpu, now.MilliCpu, scale.MilliCpu) ||
         isLargeChange(reported.MemoryMb, now.MemoryMb, scale.MemoryMb) ||
         isLargeChange(reported.Accelerators, now.Accelerators,
                       scale.Accelerators);
}

// The demand of the team, with `Wanted` raised to at least `Used`.
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
    // Within one grant a slice can only shrink.
    const Slice next =
        slice.Version > held.Version ? slice : minSlice(held, slice);
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

Slice ZoneSlices::TeamState::effective() const {
  Slice slice = Held;
  if (Reduced.has_value() && Reduced->Version == Held.Version)
    slice = minSlice(slice, *Reduced);
  if (Pending.has_value() && Pending->Version > Held.Version)
    slice = minSlice(slice, *Pending);
  return slice;
}

ZoneSlices::ZoneSlices(ZoneId zone, Term term, SlicePolicy policy,
                       Instant takeover, const SliceHoldings &holdings)
    : Zone(std::move(zone)), LeaderTerm(term), Policy(policy),
      Takeover(takeover) {
  onCommitted(holdings);
}

bool ZoneSlices::isBorrowedUsable(Instant now) const {
  return IsRenewed && now < LeaseEnd - Policy.StopMargin;
}

bool ZoneSlices::isReadyToRenew(Instant now) const {
  return IsRenewed || now >= Takeover + Policy.TakeoverGrace;
}

Resources ZoneSlices::limitForStart(const TeamId &team, Instant now) const {
  const auto it = Teams.find(team);
  if (it == Teams.end())
    return {};
  const Resources bound = limitForRunning(team, now);
  const SliceLimit *guidance = sliceLimitFor(it->second, now);
  return guidance != nullptr ? minOf(bound, guidance->Limit) : bound;
}

Resources ZoneSlices::limitForRunning(const TeamId &team, Instant now) const {
  const auto it = Teams.find(team);
  if (it == Teams.end())
    return {};
  const Slice slice = it->second.effective();
  const Resources bound =
      isBorrowedUsable(now) ? slice.total() : slice.Guaranteed;
  const SliceLimit *guidance = sliceLimitFor(it->second, now);
  return guidance != nullptr && guidance->IsRevoked
             ? minOf(bound, guidance->Limit)
             : bound;
}

const SliceLimit *ZoneSlices::sliceLimitFor(const TeamState &state,
                                            Instant now) const {
  const bool isBinding =
      state.ActiveSliceLimit.has_value() &&
      (state.ActiveSliceLimit->IsRevoked || isBorrowedUsable(now));
  return isBinding ? &*state.ActiveSliceLimit : nullptr;
}

std::optional<SliceUpdate>
ZoneSlices::releaseExcess(const std::vector<TeamDemand> &demands, Instant now) {
  SliceUpdate update{Seen, {}};
  for (auto &[team, state] : Teams) {
    const bool isOverdue = state.Reduced.has_value() &&
                           state.Reduced->Version == state.Held.Version &&
                           state.Held != *state.Reduced &&
                           now - state.ReductionProposedAt > ReproposeAfter;
    Slice kept = state.effective();
    const Slice excess = excessOf(state, demandOf(demands, team), now);
    if (excess.total() == Resources{} && !isOverdue)
      continue;
    kept.Guaranteed -= excess.Guaranteed;
    kept.Borrowed -= excess.Borrowed;
    state.Reduced = kept;
    state.ReductionProposedAt = now;
    update.Slices.push_back(kept);
  }
  if (update.Slices.empty())
    return std::nullopt;
  return update;
}

Slice ZoneSlices::excessOf(TeamState &state, const TeamDemand &demand,
                           Instant now) const {
  const Slice held = state.effective();
  const Resources total = held.total();
  Slice excess;
  if (const SliceLimit *guidance = sliceLimitFor(state, now)) {
    const Resources keep = maxOf(demand.Used, guidance->Limit);
    const Resources surplus = atLeastZero(total - keep);
    excess.Borrowed = minOf(held.Borrowed, surplus);
    excess.Guaranteed = surplus - excess.Borrowed;
    return excess;
  }
  const Resources idle =
      minOf(held.Borrowed, atLeastZero(total - demand.Wanted));
  if (idle == Resources{}) {
    state.IdleSince = Instant::never();
    return excess;
  }
  state.IdleSince = std::min(state.IdleSince, now);
  if (now - state.IdleSince >= Policy.IdleBorrowTimeout)
    excess.Borrowed = idle;
  return excess;
}

bool ZoneSlices::isUnreported(const TeamState &state,
                              const Resources &wanted) const {
  return !state.Reported.has_value() || state.Reported->Held != state.Held ||
         isMaterial(state.Reported->Wanted, wanted, state.Held.total());
}

bool ZoneSlices::hasUnreportedChanges(
    const std::vector<TeamDemand> &demands) const {
  return std::ranges::any_of(Teams, [&](const auto &entry) {
    return isUnreported(entry.second, demandOf(demands, entry.first).Wanted);
  });
}

SliceReport ZoneSlices::report(const std::vector<TeamDemand> &demands,
                               Instant now) {
  SliceReport report{Zone, LeaderTerm, ++LastSequence, Seen, {}};
  for (const auto &[team, state] : Teams) {
    const Resources wanted = demandOf(demands, team).Wanted;
    if (isUnreported(state, wanted))
      report.Lines.push_back({state.Held, wanted});
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
  SliceUpdate update{std::max(Seen, reply.UpTo), {}};
  for (const Slice &slice : reply.Slices) {
    TeamState &state = Teams[slice.Team];
    state.Held.Team = slice.Team;
    if (slice.Version <= state.Held.Version)
      continue;
    if (!state.Pending.has_value() || state.Pending->Version < slice.Version)
      state.Pending = slice;
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
    Teams[reported.Held.Team].Reported = reported;
  for (auto &[team, state] : Teams)
    state.ActiveSliceLimit.reset();
  for (const SliceLimit &guidance : reply.Limits)
    Teams[guidance.Team].ActiveSliceLimit = guidance;
}

void ZoneSlices::onCommitted(const SliceHoldings &holdings) {
  Seen = holdings.seen();
  for (const auto &[team, slice] : holdings.all()) {
    TeamState &state = Teams[team];
    state.Held = slice;
    if (state.Pending.has_value() && state.Pending->Version <= slice.Version)
      state.Pending.reset();
    if (state.Reduced.has_value() && (state.Reduced->Version != slice.Version ||
                                      slice == minSlice(slice, *state.Reduced)))
      state.Reduced.reset();
  }
}

} // namespace jujube::limits
