#include "jujube/replay/measures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jujube::replay {
namespace {

// The fleet counts as full when at least this fraction of any resource is
// reserved.
constexpr double FullFraction = 0.85;

double ratio(int64_t part, int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                   : 0.0;
}

// Mean of the processor and memory fractions.
double meanFraction(const Resources &part, const Resources &whole) {
  return (ratio(part.MilliCpu, whole.MilliCpu) +
          ratio(part.MemoryMb, whole.MemoryMb)) /
         2;
}

} // namespace

double Sample::mean() const {
  return Values.empty() ? 0
                        : std::accumulate(Values.begin(), Values.end(), 0.0) /
                              static_cast<double>(Values.size());
}

double Sample::max() const {
  return Values.empty() ? 0 : *std::ranges::max_element(Values);
}

double Sample::quantile(double p) const {
  if (Values.empty())
    return 0;
  std::vector<double> sorted = Values;
  const auto rank = static_cast<std::size_t>(
      std::ceil(p * static_cast<double>(sorted.size())));
  const auto nth = sorted.begin() +
                   static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1)) -
                   1;
  std::ranges::nth_element(sorted, nth);
  return *nth;
}

void TimeMean::add(double value, Duration span) {
  const auto weight = static_cast<double>(span.millis());
  Sum += value * weight;
  Span += weight;
}

double TimeMean::mean() const { return Span > 0 ? Sum / Span : 0; }

void measurePacking(Measures &measures, const Ledger &ledger,
                    const Resources &used, Duration span) {
  const Resources capacity = ledger.capacity();
  const Resources reserved = ledger.reserved();
  measures.UsedFraction.add(meanFraction(used, capacity), span);
  measures.ReservedFraction.add(meanFraction(reserved, capacity), span);
  const Resources bound = minOf(capacity, ledger.demand());
  if (bound.MilliCpu > 0 && bound.MemoryMb > 0)
    measures.PackingFraction.add(meanFraction(reserved, bound), span);
}

void measureShares(Measures &measures, const Ledger &ledger,
                   const std::vector<ShareView> &teams) {
  const Resources capacity = ledger.capacity();
  if (dominantShare(ledger.reserved(), capacity) < FullFraction)
    return;
  const auto hasWork = [&ledger](const ShareView &team) {
    return ledger.reservedBy(team.Team) != Resources{} ||
           ledger.waitingOf(team.Team) != Resources{};
  };
  double shares = 0;
  for (const ShareView &team : teams)
    shares += hasWork(team) ? team.Share : 0;
  double worst = 0;
  for (const ShareView &team : teams) {
    if (ledger.waitingOf(team.Team) == Resources{})
      continue;
    const Resources reserved = ledger.reservedBy(team.Team);
    const double wanted =
        dominantShare(reserved + ledger.waitingOf(team.Team), capacity);
    const double due = std::min(
        {team.Share / shares, wanted, dominantShare(team.Slice, capacity)});
    const double gap =
        100 * std::max(0.0, due - dominantShare(reserved, capacity));
    measures.ShareGap.add(gap);
    worst = std::max(worst, gap);
  }
  measures.WorstGap.add(worst);
}

} // namespace jujube::replay
