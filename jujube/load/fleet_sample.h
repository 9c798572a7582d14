// A sample of the stand-ins, the fleet and the watched processes.
#ifndef JUJUBE_LOAD_FLEET_SAMPLE_H_
#define JUJUBE_LOAD_FLEET_SAMPLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/api/commands.h"
#include "jujube/base/clock.h"
#include "jujube/base/resources.h"
#include "jujube/base/result.h"
#include "jujube/load/process_watch.h"

namespace jujube::load {

// Counters from the stand-ins' GET /stats, summed over processes. A missing
// counter counts as 0.
struct StandinCounts {
  uint64_t ConcurrentDuplicates = 0;
  uint64_t RepeatedOnce = 0;
  uint64_t OverCapacity = 0;
  uint64_t SlotViolations = 0;
  uint64_t AfterLeaving = 0;
  // Resources in use by running tasks, by team.
  std::map<std::string, Resources> Running;

  // Adds the counters of one process from its JSON response. Fails if the text
  // is not a JSON object.
  Status addFrom(absl::string_view json);
};

// One sample of everything that a run observes.
struct FleetSample {
  // Time since the start of the run.
  Duration At;
  StandinCounts Standins;
  // True if every stand-in responded.
  bool IsComplete = true;
  std::vector<api::ZoneStatus> Zones;
  // By process name; processes that have exited are omitted.
  std::map<std::string, ProcessUse> Processes;
};

} // namespace jujube::load

#endif // JUJUBE_LOAD_FLEET_SAMPLE_H_
