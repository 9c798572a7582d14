#include "jujube/dispatch/pacing.h"

#include <algorithm>

namespace jujube::dispatch {
namespace {

// Additive increase: from a stop to full speed in ten steps.
constexpr int IncreasePercent = 10;
// Filler tasks stop if halving their share would give less than this.
constexpr int MinSharePercent = 10;
// The share rises only while all tails are below this fraction of their
// targets, since the reported tails are rough.
constexpr double MaxTailRatioForIncrease = 0.8;

double ratio(const ServingTail &serving) {
  return static_cast<double>(serving.TailLatency.millis()) /
         static_cast<double>(std::max<int64_t>(serving.Target.millis(), 1));
}

} // namespace

int nextShare(int share, const std::vector<ServingTail> &tails) {
  if (tails.empty())
    return FullShare;
  const double worst = ratio(*std::ranges::max_element(tails, {}, ratio));
  if (worst > 1)
    return share / 2 < MinSharePercent ? 0 : share / 2;
  return worst < MaxTailRatioForIncrease
             ? std::min(share + IncreasePercent, FullShare)
             : share;
}

} // namespace jujube::dispatch
