#include "jujube/shares/usage_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jujube::shares {
namespace {

constexpr int64_t PeriodsPerHalfLife = 128;
// The part that is left after a period, 2^(-1/128), in units of 2^-32.
constexpr uint64_t PeriodFactor = 4'271'771'996;
constexpr int FactorBits = 32;
// After this many half-lives less than a hundred-thousandth is left.
constexpr int64_t MaxHalvings = 17;
constexpr int64_t AllowancePerJob = 1000;
constexpr int64_t MaxWeight = 1'000'000'000;

int64_t decayedOnce(int64_t amount) {
  const auto wide = static_cast<unsigned __int128>(amount) * PeriodFactor;
  return static_cast<int64_t>(wide >> FactorBits);
}

int64_t decayed(int64_t amount, int64_t periods) {
  const int64_t halvings = periods / PeriodsPerHalfLife;
  if (halvings > MaxHalvings)
    return 0;
  amount >>= halvings;
  for (int64_t i = 0; i < periods % PeriodsPerHalfLife; ++i)
    amount = decayedOnce(amount);
  return amount;
}

ResourceTime decayed(const ResourceTime &use, int64_t periods) {
  return {decayed(use.MilliCpu, periods), decayed(use.MemoryMb, periods),
          decayed(use.Accelerators, periods)};
}

} // namespace

UsageLedger::UsageLedger(Duration halfLife)
    : Period(Duration::millis(
          std::max<int64_t>(halfLife.millis() / PeriodsPerHalfLife, 1))) {}

void UsageLedger::advance(Instant wall) {
  if (wall > Wall && Wall != Instant())
    Now = Now + (wall - Wall);
  else if (Wall == Instant())
    Now = wall;
  Wall = wall;
}

TeamUse &UsageLedger::useOf(const TeamId &team) {
  const auto [it, isNew] = Teams.try_emplace(team);
  if (isNew) {
    it->second.Team = team;
    it->second.At = Now;
    if (Teams.size() > MaxTeams)
      forgetLeast(team);
  }
  return Teams.at(team);
}

void UsageLedger::settle(TeamUse &use) const {
  // It was counted before the first event with a time.
  if (use.At == Instant()) {
    use.At = Now;
    return;
  }
  const int64_t period = Period.millis();
  const bool isUsing = use.Running != Resources{};
  int64_t left = Now.millis() / period - use.At.millis() / period;
  // What has been used so long ago has no weight left.
  if (const int64_t most = MaxHalvings * PeriodsPerHalfLife; left > most) {
    use.Past = {};
    use.At = Instant::fromMillis((Now.millis() / period - most) * period);
    left = most;
  }
  while (isUsing && left > 0) {
    const Instant end =
        Instant::fromMillis((use.At.millis() / period + 1) * period);
    use.Past += use.Running * (end - use.At).millis();
    use.Past = decayed(use.Past, 1);
    use.At = end;
    --left;
  }
  use.Past = decayed(use.Past, left);
  if (isUsing)
    use.Past += use.Running * (Now - use.At).millis();
  use.At = Now;
}

void UsageLedger::begin(const TeamId &team, const Resources &used) {
  TeamUse &use = useOf(team);
  settle(use);
  use.Running += used;
}

void UsageLedger::end(const TeamId &team, const Resources &used) {
  TeamUse &use = useOf(team);
  settle(use);
  use.Running -= used;
}

bool UsageLedger::takeAllowance(const TeamId &team, int64_t weight) {
  TeamUse &use = useOf(team);
  if (!refill(use, weight, Now))
    return false;
  use.Allowance -= AllowancePerJob;
  return true;
}

bool UsageLedger::hasAllowance(const TeamId &team, int64_t weight,
                               Instant wall) const {
  const auto it = Teams.find(team);
  if (it == Teams.end())
    return true;
  TeamUse use = it->second;
  return refill(use, weight, wall > Wall ? Now + (wall - Wall) : Now);
}

bool UsageLedger::refill(TeamUse &use, int64_t weight, Instant now) {
  weight = std::clamp<int64_t>(weight, 1, MaxWeight);
  const int64_t most = weight * AllowancePerJob;
  // Milliseconds times jobs a second are thousandths of jobs.
  const int64_t elapsed =
      use.AllowanceAt == Instant()
          ? AllowancePerJob
          : std::min((now - use.AllowanceAt).millis(), AllowancePerJob);
  use.Allowance = std::min(use.Allowance + elapsed * weight, most);
  use.AllowanceAt = now;
  return use.Allowance >= AllowancePerJob;
}

void UsageLedger::rename(const std::map<TeamId, TeamId> &successors) {
  std::vector<TeamUse> moved;
  for (const auto &[from, to] : successors)
    if (auto node = Teams.extract(from); !node.empty()) {
      settle(node.mapped());
      moved.push_back(std::move(node.mapped()));
    }
  for (const TeamUse &before : moved) {
    TeamUse &use = useOf(successors.at(before.Team));
    settle(use);
    use.Past += before.Past;
    use.Running += before.Running;
  }
}

ResourceTime UsageLedger::pastUse(const TeamId &team) const {
  const auto it = Teams.find(team);
  if (it == Teams.end())
    return {};
  TeamUse use = it->second;
  settle(use);
  return use.Past;
}

void UsageLedger::forgetLeast(const TeamId &kept) {
  auto least = Teams.end();
  for (auto it = Teams.begin(); it != Teams.end(); ++it) {
    settle(it->second);
    const bool isKept = it->first == kept || it->second.Running != Resources{};
    if (!isKept && (least == Teams.end() ||
                    it->second.Past.MilliCpu < least->second.Past.MilliCpu))
      least = it;
  }
  if (least != Teams.end())
    Teams.erase(least);
}

LedgerState UsageLedger::capture() const {
  LedgerState state{{}, Now, Wall};
  std::ranges::transform(Teams, std::back_inserter(state.Teams),
                         [](const auto &it) { return it.second; });
  return state;
}

UsageLedger UsageLedger::restore(const LedgerState &state, Duration halfLife) {
  UsageLedger ledger(halfLife);
  ledger.Now = state.Now;
  ledger.Wall = state.Wall;
  for (const TeamUse &use : state.Teams)
    ledger.Teams.emplace(use.Team, use);
  return ledger;
}

} // namespace jujube::shares
