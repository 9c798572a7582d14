// Records task starts and ends on all emulated workers of a process.
#ifndef TESTING_STANDIN_RUN_LOG_H_
#define TESTING_STANDIN_RUN_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "testing/standin_worker.h"

namespace jujube::testing {

// Detects tasks that run more than once at a time, and keeps peak usage per
// team. Not thread-safe.
class RunLog {
public:
  // Current and peak usage of one team; peaks are kept for each resource.
  struct TeamUse {
    uint32_t Running = 0;
    uint32_t PeakRunning = 0;
    Resources Now;
    Resources Peak;
  };

  void record(const RunEvent &event);

  // Number of starts of a task that was already running. Must stay 0.
  uint64_t concurrentDuplicates() const { return Duplicates; }
  uint64_t starts() const { return Starts; }
  const std::map<std::string, TeamUse> &teams() const { return Teams; }

private:
  uint64_t Duplicates = 0;
  uint64_t Starts = 0;
  std::map<TaskId, uint32_t> Running;
  std::map<std::string, TeamUse> Teams;
};

} // namespace jujube::testing

#endif // TESTING_STANDIN_RUN_LOG_H_
