// Simulates a load of stepped jobs on the dispatcher, without runtime tasks or
// a network: jobs' tasks end on time, and an approval service approves a share
// of the workers and answers after the time that the queues' terms state.
#ifndef TESTING_DISPATCH_LOAD_H_
#define TESTING_DISPATCH_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jujube/control/approval_helpers.h"
#include "jujube/dispatch/dispatcher.h"

namespace jujube::testing {

// Jobs of one queue, which differ only in the number of tasks.
struct LoadKind {
  std::string Queue;
  int32_t Priority = 0;
  // Time between submissions.
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

// The simulated workers, all alike, and the hosts that send approval queries.
struct LoadFleet {
  int Workers = 48;
  int64_t MilliCpu = 16'000;
  int Helpers = 9;
};

// Jobs of one queue, or its widest tenth.
struct LoadShare {
  int Jobs = 0;
  // Jobs that ended within their objective.
  int WithinObjective = 0;
};

struct LoadResult : LoadShare {
  int Started = 0;
  // The tenth of the jobs with the most tasks.
  LoadShare Widest;
  // From the submission to the start of the last task, over started jobs.
  Duration MeanWait;
};

// Simulates the load for `span` and returns the result of each queue. Jobs that
// were submitted in the last `drain` are not counted.
std::map<std::string, LoadResult>
simulateLoad(const std::vector<LoadKind> &kinds, const LoadFleet &fleet,
             Duration span, Duration drain);

} // namespace jujube::testing

#endif // TESTING_DISPATCH_LOAD_H_
