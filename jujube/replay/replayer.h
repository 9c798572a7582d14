// Replays a trace through the planner. The planner receives the recorded
// events, and a simulation of the recorded task behaviour carries out its
// decisions. Hosts and networks are modelled only by the delays in the trace.
#ifndef JUJUBE_REPLAY_REPLAYER_H_
#define JUJUBE_REPLAY_REPLAYER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jujube/base/result.h"
#include "jujube/placement/types.h"
#include "jujube/replay/ledger.h"
#include "jujube/replay/measures.h"
#include "jujube/replay/service_watch.h"
#include "jujube/replay/trace.h"

namespace jujube::replay {

// Processor time of the calling thread in nanoseconds.
using ProcessorTimeHook = std::function<int64_t()>;

// Options of a replay.
struct ReplayOptions {
  placement::Options Planner;
  placement::PlacementHooks Hooks;
  // Measures the cost of planner calls; if empty, the cost counts as zero.
  ProcessorTimeHook ProcessorTime;
};

// Results of a replay.
struct ReplayResult {
  Measures Measured;
  std::vector<Finding> Findings;
  std::map<RequestId, fate::FateState> Fates;
  std::map<RequestId, std::string> Rejections;
  std::map<RequestId, ServiceRecord> Services;
  // Workers that were quarantined at any time.
  std::vector<WorkerId> Quarantined;
};

// Replays `records`. Fails if the options are invalid or the trace refers to an
// unknown entry.
Result<ReplayResult> replay(const std::vector<Record> &records,
                            const ReplayOptions &options);

// An expected outcome and the observed result.
struct OutcomeCheck {
  ExpectRecord Expected;
  std::string Seen;
  bool IsMet = false;
};

// Checks the outcomes that the trace expects under `policy`.
std::vector<OutcomeCheck> checkOutcomes(const std::vector<Record> &records,
                                        placement::PolicyName policy,
                                        const ReplayResult &result);

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_REPLAYER_H_
