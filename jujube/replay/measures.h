// What a replay measures, per policy.
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

// A sample of numbers, kept whole.
class Sample {
public:
  void add(double value) { Values.push_back(value); }
  uint64_t count() const { return Values.size(); }
  double mean() const;
  double max() const;
  // The value below which a fraction `p` of the sample lies; 0 if it is empty.
  double quantile(double p) const;

private:
  std::vector<double> Values;
};

// A mean over time.
class TimeMean {
public:
  // `value` held for `span`.
  void add(double value, Duration span);
  double mean() const;

private:
  double Sum = 0;
  double Span = 0;
};

struct Measures {
  // Milliseconds from acceptance to start of each task, by class ("urgent" for
  // urgent work) and by team. A task that never started counts with the time
  // until the end of the trace.
  std::map<std::string, Sample> WaitByClass;
  std::map<std::string, Sample> WaitByTeam;
  // Milliseconds from acceptance to the end of the last task of batch and gang
  // requests.
  Sample Completion;
  // Used and reserved over held, processor and memory together.
  TimeMean UsedPart;
  TimeMean ReservedPart;
  // Reserved over the smaller of held and demanded.
  TimeMean BoundPart;
  // Points below the share of each team that has work waiting, each second
  // while the fleet is full.
  Sample ShareGap;
  // Largest gap of a team in each of those seconds.
  Sample WorstGap;
  // Worker-seconds with more memory in use than the worker holds.
  double OverloadedSeconds = 0;
  uint64_t Stops = 0;
  uint64_t Checkpoints = 0;
  uint64_t Throttles = 0;
  uint64_t Quarantines = 0;
  uint64_t Rejections = 0;
  uint64_t Offers = 0;
  // Run time of tasks that was thrown away by stops and failures.
  double LostSeconds = 0;
  uint64_t FinishedTasks = 0;
  uint64_t Unsettled = 0;
  // Processor time of each call of plan(), in microseconds.
  Sample PlanMicros;
  // Processor time of all planner calls over the number of offers.
  double MicrosPerOffer = 0;
};

// Takes the state of the books for `span` into the measures of packing.
void measurePacking(Measures &measures, const Ledger &books,
                    const Resources &used, Duration span);

// One team, as far as its share goes.
struct ShareView {
  TeamId Team;
  uint32_t Share = 1;
  Resources Slice;
};

// Takes the gaps below shares into the measures, if the fleet is full.
void measureShares(Measures &measures, const Ledger &books,
                   const std::vector<ShareView> &teams);

// Renders measures of several policies side by side.
std::string renderTable(const std::vector<std::string> &policies,
                        const std::vector<Measures> &measures);
// One JSON object per policy, in one line each.
std::string renderJson(const std::vector<std::string> &policies,
                       const std::vector<Measures> &measures);

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_MEASURES_H_
