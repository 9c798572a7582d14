#include "testing/standin_run_log.h"

#include <algorithm>

namespace jujube::testing {

void RunLog::record(const RunEvent &event) {
  TeamUse &team = Teams[event.Team];
  if (!event.IsStart) {
    --team.Running;
    team.Now -= event.Grant;
    if (--Running[event.Task] == 0)
      Running.erase(event.Task);
    return;
  }
  ++Starts;
  team.PeakRunning = std::max(team.PeakRunning, ++team.Running);
  team.Now += event.Grant;
  team.Peak = maxOf(team.Peak, team.Now);
  if (++Running[event.Task] > 1)
    ++Duplicates;
}

} // namespace jujube::testing
