// The decayed past use of resources by team. Part of the replicated job state:
// integers only, so that every member computes the same.
#ifndef JUJUBE_SHARES_USAGE_LEDGER_H_
#define JUJUBE_SHARES_USAGE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"

namespace jujube::shares {

// Resources in use for a time, for example MilliCpu thousandths of a core times
// milliseconds.
using ResourceTime = Resources;

// The use of a team up to an instant of the ledger's clock.
struct TeamUse {
  TeamId Team;
  // Decayed sum of what the team has used.
  ResourceTime Past;
  // What it uses now.
  Resources Running;
  Instant At;
  // Thousandths of jobs that the team may still hand in within its rate.
  int64_t Allowance = 0;
  Instant AllowanceAt;

  bool operator==(const TeamUse &) const = default;
};

struct LedgerState {
  std::vector<TeamUse> Teams;
  // The ledger's clock, and the wall time that it was last set by.
  Instant Now;
  Instant Wall;

  bool operator==(const LedgerState &) const = default;
};

// Use decays by half over a half-life. Time is that of the events in the log:
// wall time of the leaders, of which steps back are left out, so that a jump of
// the clock and its return add what the jump was long, once.
class UsageLedger {
public:
  static constexpr Duration DefaultHalfLife = Duration::minutes(60);
  // Teams that are remembered; beyond it, those that have used least and use
  // nothing are forgotten.
  static constexpr std::size_t MaxTeams = 1024;

  explicit UsageLedger(Duration halfLife = DefaultHalfLife);

  // Moves the clock on by what the wall time has moved since the last call; an
  // earlier wall time does not move it.
  void advance(Instant wall);
  // The team begins, or ends, to use resources at the present time.
  void begin(const TeamId &team, const Resources &used);
  void end(const TeamId &team, const Resources &used);
  // Counts a job that the team hands in. Returns false if it is beyond `weight`
  // jobs a second, with a second's jobs at once.
  bool takeAllowance(const TeamId &team, int64_t weight);
  // True if takeAllowance() would return true at this wall time.
  bool hasAllowance(const TeamId &team, int64_t weight, Instant wall) const;
  // The teams continue under other ids, all at the same time, so that two teams
  // may exchange their ids. Teams that continue under the same id are merged.
  void rename(const std::map<TeamId, TeamId> &successors);

  // The decayed use up to the present time.
  ResourceTime pastUse(const TeamId &team) const;
  std::size_t size() const { return Teams.size(); }

  LedgerState capture() const;
  static UsageLedger restore(const LedgerState &state,
                             Duration halfLife = DefaultHalfLife);

private:
  TeamUse &useOf(const TeamId &team);
  static bool refill(TeamUse &use, int64_t weight, Instant now);
  // Adds up what the team has used until now.
  void settle(TeamUse &use) const;
  void forgetLeast(const TeamId &kept);

  // Decay is applied at the ends of periods of this length, counted from the
  // origin of the clock.
  Duration Period;
  Instant Now;
  Instant Wall;
  std::map<TeamId, TeamUse> Teams;
};

} // namespace jujube::shares

#endif // JUJUBE_SHARES_USAGE_LEDGER_H_
