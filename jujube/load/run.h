// A load run: executes a trace against real daemons, injects faults, and ends
// within a bounded time.
#ifndef JUJUBE_LOAD_RUN_H_
#define JUJUBE_LOAD_RUN_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/load/fleet_sample.h"
#include "jujube/load/ledger.h"
#include "jujube/load/process_watch.h"
#include "jujube/load/trace.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::load {

struct RunOptions {
  std::vector<Address> Servers;
  std::string TlsAuthority;
  // Keys to present, "KEYID.SECRET" by team.
  std::map<TeamId, std::string> Keys;
  // Zones over which requests without a zone are distributed round-robin.
  std::vector<ZoneId> Zones;
  // Distinguishes the request ids of this run from those of other runs.
  std::string RunId;
  std::vector<Step> Steps;
  std::vector<Fault> Faults;
  std::vector<WatchedProcess> Processes;
  // Addresses of the stand-ins' GET /stats.
  std::vector<Address> Stats;
  // Number of sender tasks, each with its own connections.
  std::size_t Senders = 32;
  // Interval between polls for the fate of one request.
  Duration PollPeriod = Duration::millis(500);
  Duration SamplePeriod = Duration::seconds(1);
  // Maximum time to wait for final fates after the last step and fault.
  Duration MaxDrain = Duration::seconds(60);
  // Ceilings by team, checked against the usage that stand-ins report.
  std::map<std::string, Resources> Ceilings;
};

// Observations of a run. Written by its driver; read after the supervisor tree
// has ended.
struct RunOutcome {
  Ledger Requests;
  std::vector<FleetSample> Samples;
  std::vector<Fault> Faults;
  Duration Took;
  bool IsComplete = false;
};

// Builds the supervisor tree of a run: a driver that owns the schedule and the
// ledger, senders that own connections, and an observer. The driver calls
// `onEnd` when the run is over. Fails if no entry host or zone is known.
Result<runtime::Supervisor> runTree(RunOptions options,
                                    const std::shared_ptr<RunOutcome> &outcome,
                                    std::function<void()> onEnd);

} // namespace jujube::load

#endif // JUJUBE_LOAD_RUN_H_
