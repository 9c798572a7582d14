#include "jujube/shares/share_table.h"

#include <algorithm>
#include <numeric>

namespace jujube::shares {
namespace {

double weightOf(const Contender &it) {
  return static_cast<double>(std::max<int64_t>(it.Weight, 1));
}

} // namespace

ShareTable::ShareTable(const std::vector<Contender> &contenders,
                       const Resources &capacity) {
  double weights = 0;
  ResourceTime past;
  for (const Contender &it : contenders) {
    weights += weightOf(it);
    past += it.Past;
  }
  double effective = 0;
  for (const Contender &it : contenders) {
    TeamShare &share = Shares[it.Team];
    share.Now = dominantShare(it.Running, capacity);
    const double byWeight = weightOf(it) / weights;
    share.PastRatio = dominantShare(it.Past, past) / byWeight;
    share.Due = weightOf(it) / std::clamp(share.PastRatio, 1.0, MaxPastFactor);
    effective += share.Due;
  }
  for (auto &[team, share] : Shares)
    share.Due /= effective;
}

bool ShareTable::isWithinShare(const TeamId &team) const {
  const auto it = Shares.find(team);
  return it == Shares.end() || it->second.isWithin();
}

} // namespace jujube::shares
