// Measurements of a replay under one policy.
#ifndef JUJUBE_REPLAY_MEASURES_H_
#define JUJUBE_REPLAY_MEASURES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/placement/types.h"
#include "jujube/replay/ledger.h"

namespace jujube::replay {

// A sample that stores every value.
class Sample {
public:
  void add(double value) { Values.push_back(value); }
  uint64_t count() const { return Values.size(); }
  double mean() const;
  double max() const;
  // Returns the `p` quantile, or 0 if the sample is empty.
  double quantile(double p) const;

private:
  std::vector<double> Values;
};

// A time-weighted mean.
class TimeMean {
public:
  // Adds `value` with the weight `span`.
  void add(double value, Duration span);
  double mean() const;

private:
  double Sum = 0;
  double Span = 0;
};

struct Measures {
  // Milliseconds from acceptance to start of each task, by class ("urgent" for
  // urgent work) and by team. For a task that never started, the time
  // until the end of the trace counts.
  std::map<std::string, Sample> WaitByClass;
  std::map<std::string, Sample> WaitByTeam;
  // Milliseconds from acceptance to the end of the last task, for batch and
  // gang requests.
  Sample Completion;
  // Used and reserved resources as fractions of the capacity; mean of processor
  // and memory.
  TimeMean UsedFraction;
  TimeMean ReservedFraction;
  // Reserved resources as a fraction of the smaller of capacity and demand.
  TimeMean PackingFraction;
  // Percentage points by which each team with waiting work is below its share,
  // sampled every second while the fleet is full.
  Sample ShareGap;
  // Largest share gap of any team in each of these samples.
  Sample WorstGap;
  // Worker-seconds during which memory use exceeded the worker's capacity.
  double OverloadedSeconds = 0;
  uint64_t Stops = 0;
  uint64_t Checkpoints = 0;
  uint64_t Throttles = 0;
  uint64_t Quarantines = 0;
  uint64_t Rejections = 0;
  uint64_t Offers = 0;
  // Task run time lost to stops and failures.
  double LostSeconds = 0;
  uint64_t FinishedTasks = 0;
  uint64_t Unsettled = 0;
  // Processor time of each call of plan(), in microseconds.
  Sample PlanMicros;
  // Processor time of all planner calls divided by the number of offers.
  double MicrosPerOffer = 0;
};

// Adds the ledger's current state, with the weight `span`, to the utilization
// and packing measures.
void measurePacking(Measures &measures, const Ledger &ledger,
                    const Resources &used, Duration span);

// A team's share and slice.
struct ShareView {
  TeamId Team;
  uint32_t Share = 1;
  Resources Slice;
};

// Samples the share gaps of the teams if the fleet is full.
void measureShares(Measures &measures, const Ledger &ledger,
                   const std::vector<ShareView> &teams);

// Renders a table with one column per policy.
std::string renderTable(const std::vector<std::string> &policies,
                        const std::vector<Measures> &measures);
// Renders one line of JSON per policy.
std::string renderJson(const std::vector<std::string> &policies,
                       const std::vector<Measures> &measures);

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_MEASURES_H_
