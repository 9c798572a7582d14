// What stand-ins, the fleet and the watched processes looked like at one time.
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

// Counts of the stand-ins' GET /stats, summed over processes. Those that are
// not in a text count as 0.
struct StandinCounts {
  uint64_t ConcurrentDuplicates = 0;
  uint64_t RepeatedOnce = 0;
  uint64_t OverCapacity = 0;
  uint64_t SlotViolations = 0;
  uint64_t AfterLeaving = 0;
  // What each team has running.
  std::map<std::string, Resources> Running;

  // Adds the counts of one process.
  Status addFrom(absl::string_view json);
};

// One observation of everything that a run watches.
struct FleetSample {
  // Since the start of the run.
  Duration At;
  StandinCounts Standins;
  // True if every stand-in answered.
  bool IsComplete = true;
  std::vector<api::ZoneStatus> Zones;
  // By name; processes that are gone are left out.
  std::map<std::string, ProcessUse> Processes;
};

} // namespace jujube::load

#endif // JUJUBE_LOAD_FLEET_SAMPLE_H_
