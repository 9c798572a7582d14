// Fails a zone's leader in a cell of real processes and measures the time until
// urgent work starts again.
#ifndef TESTING_FAILOVER_PROBE_H_
#define TESTING_FAILOVER_PROBE_H_

#include <string>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"
#include "jujube/base/result.h"
#include "testing/cell.h"

namespace jujube::testing {

// The fault that is injected into the leader.
enum class LeaderFault { Kill, Pause };

inline constexpr NameTable<LeaderFault, 2> LeaderFaultNames = {{
    {LeaderFault::Kill, "kill"},
    {LeaderFault::Pause, "pause"},
}};
static_assert(isComplete(LeaderFaultNames));

// The outcome of an urgent request that was submitted right after the fault.
struct FailoverSample {
  fate::FateView Fate;
  // From the fault until the request was accepted, and until it started.
  Duration UntilAccepted;
  Duration UntilStarted;
};

// Creates the urgent entry that probeFailover() submits to.
Status prepareProbe(Cell &cell);

// Faults the zone's leader, submits an urgent request and waits for its end;
// then brings the member back and waits until it is a voter again. `run` makes
// the request's id unique. Every wait is bounded by a minute.
Result<FailoverSample> probeFailover(Cell &cell, const std::string &zone,
                                     LeaderFault fault, int run);

} // namespace jujube::testing

#endif // TESTING_FAILOVER_PROBE_H_
