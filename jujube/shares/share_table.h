// Decides which teams are within their shares of a full cluster. Answers this
// load: a team hands in several times its usual work, or has used far more than
// its share for hours, while others wait.
#ifndef JUJUBE_SHARES_SHARE_TABLE_H_
#define JUJUBE_SHARES_SHARE_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/shares/usage_ledger.h"

namespace jujube::shares {

// A team with running or waiting work.
struct Contender {
  TeamId Team;
  int64_t Weight = 1;
  // What its tasks use now.
  Resources Running;
  // Its decayed past use.
  ResourceTime Past;
};

// A team is over its share once it uses this many times what it is due. Below,
// work is ordered by its objectives, whoever's it is.
inline constexpr double ShareTolerance = 1.2;

struct TeamShare {
  // The part of the cluster that the team is due, by weight and past use.
  double Due = 0;
  // The dominant share that it uses now.
  double Now = 0;
  // Its part of all past use over its part of the weights; above 1 for teams
  // that have used more than their share.
  double PastRatio = 0;

  bool isWithin() const { return Now <= Due * ShareTolerance; }
};

// The weight of a team that has used more than its share in the past is divided
// by the excess, but by no more than this: past use orders waiting work, and
// takes no team's share away.
inline constexpr double MaxPastFactor = 4;

// The shares of the teams at one moment; constant while a plan is made.
class ShareTable {
public:
  ShareTable() = default;
  // `capacity` is that of all workers that may be used.
  ShareTable(const std::vector<Contender> &contenders,
             const Resources &capacity);

  // Teams that are not contenders are within their share.
  bool isWithinShare(const TeamId &team) const;
  const std::map<TeamId, TeamShare> &shares() const { return Shares; }

private:
  std::map<TeamId, TeamShare> Shares;
};

} // namespace jujube::shares

#endif // JUJUBE_SHARES_SHARE_TABLE_H_
