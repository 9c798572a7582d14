// One run: a trace against real daemons, with faults, bounded in time.
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
  // The keys that are presented, "KEYID.SECRET" by team.
  std::map<TeamId, std::string> Keys;
  // Zones that requests without one are spread over.
  std::vector<ZoneId> Zones;
  // Makes the ids of this run differ from those of others.
  std::string RunId;
  std::vector<Step> Steps;
  std::vector<Fault> Faults;
  std::vector<WatchedProcess> Processes;
  // Stand-ins' GET /stats.
  std::vector<Address> Stats;
  // Connections that requests are sent on; each is a task.
  std::size_t Senders = 32;
  // Between polls for the fate of one request.
  Duration PollPeriod = Duration::millis(500);
  Duration SamplePeriod = Duration::seconds(1);
  // How long fates may take after the last step.
  Duration MaxDrain = Duration::seconds(60);
  // Ceilings by team, checked against what the stand-ins saw.
  std::map<std::string, Resources> Ceilings;
};

// What a run saw; filled by its driver, read after the tree has ended.
struct RunOutcome {
  Ledger Requests;
  std::vector<FleetSample> Samples;
  std::vector<Fault> Faults;
  Duration Took;
  bool IsComplete = false;
};

// The tree of a run: a driver that owns the schedule and the ledger, senders
// that own connections, and an observer. The driver calls `onEnd` when the run
// is over.
Result<runtime::Supervisor> runTree(RunOptions options,
                                    const std::shared_ptr<RunOutcome> &outcome,
                                    std::function<void()> onEnd);

} // namespace jujube::load

#endif // JUJUBE_LOAD_RUN_H_
