#include "jujube/dispatch/pacing.h"

#include <algorithm>

namespace jujube::dispatch {
namespace {

// Per cent added at a time. Source: from a stop to full speed in ten steps.
constexpr int Increase = 10;
// A share below this is not halved any more but stopped.
constexpr int LeastShare = 10;
// Tails below this share of their target let the share rise. Source: the
// figures are rough.
constexpr double CalmShare = 0.8;

double ratio(const ServingTail &serving) {
  return static_cast<double>(serving.Tail.millis()) /
         static_cast<double>(std::max<int64_t>(serving.Target.millis(), 1));
}

} // namespace

int nextShare(int share, const std::vector<ServingTail> &tails) {
  if (tails.empty())
    return FullShare;
  const double worst = ratio(*std::ranges::max_element(tails, {}, ratio));
  if (worst > 1)
    return share / 2 < LeastShare ? 0 : share / 2;
  return worst < CalmShare ? std::min(share + Increase, FullShare) : share;
}

} // namespace jujube::dispatch
