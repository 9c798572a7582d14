// Replays a trace through the planner: the recorded events go in, and the
// recorded behaviour of tasks answers its decisions. There is no model of hosts
// or networks beyond the delays that the trace states.
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

// How a trace is replayed.
struct ReplayOptions {
  placement::Options Planner;
  placement::PlacementHooks Hooks;
  // Measures decisions; without it they count as free.
  ProcessorTimeHook ProcessorTime;
};

// What came of a replay.
struct ReplayResult {
  Measures Measured;
  std::vector<Finding> Findings;
  std::map<RequestId, fate::FateState> Fates;
  std::map<RequestId, std::string> Rejections;
  std::map<RequestId, ServiceRecord> Services;
  // Workers that were in quarantine at some time.
  std::vector<WorkerId> Quarantined;
};

// Fails if the options are bad or the trace refers to an unknown entry.
Result<ReplayResult> replay(const std::vector<Record> &records,
                            const ReplayOptions &options);

// One stated outcome and what came of it.
struct OutcomeCheck {
  ExpectRecord Expected;
  std::string Seen;
  bool IsMet = false;
};

// Checks the outcomes that the trace states for the policy.
std::vector<OutcomeCheck> checkOutcomes(const std::vector<Record> &records,
                                        placement::PolicyName policy,
                                        const ReplayResult &result);

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_REPLAYER_H_
