// A load of stepped jobs on the dispatcher without tasks and network: workers
// whose tasks end on time, and a service that approves a share of the workers
// and takes as long as the queues' terms say.
#ifndef TESTING_DISPATCH_LOAD_H_
#define TESTING_DISPATCH_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jujube/control/approval_helpers.h"
#include "jujube/dispatch/dispatcher.h"

namespace jujube::testing {

// Jobs of one queue, all alike but for the number of tasks.
struct LoadKind {
  std::string Queue;
  int32_t Priority = 0;
  // Between submissions.
  Duration Period;
  // Tasks of the first, second, ... job, in turn.
  std::vector<uint32_t> Tasks;
  int64_t MilliCpu = 0;
  Duration RunTime;
  bool IsGang = false;
  double SlackFactor = 2;
  Duration LatencyTarget;
  jobs::ApprovalTerms Approval;
  // Share of the workers that the service approves for a step, in per cent.
  uint64_t ApprovedPercent = 100;
};

struct LoadResult {
  int Jobs = 0;
  int Started = 0;
  // Ended within their objective.
  int InAim = 0;
  // From the submission to the start of the last task, over started jobs.
  Duration MeanWait;
};

// Plays the kinds for `span` and returns what became of each queue's jobs; jobs
// of the last `drain` are not counted.
std::map<std::string, LoadResult> playLoad(const std::vector<LoadKind> &kinds,
                                           int workers, int64_t milliCpu,
                                           Duration span, Duration drain);

} // namespace jujube::testing

#endif // TESTING_DISPATCH_LOAD_H_
