// How long jobs wait and for what, as the leader sees it: for logs, metrics and
// the split of lost time by cause.
#ifndef JUJUBE_CONTROL_WAIT_LEDGER_H_
#define JUJUBE_CONTROL_WAIT_LEDGER_H_

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/dispatch/dispatcher.h"

namespace jujube::control {

class WaitLedger {
public:
  using Waits = std::array<Duration, dispatch::WaitCauseNames.size()>;

  // What became of one job's time.
  struct Account {
    // Since the ledger has known the job; a new leader's begins anew.
    Duration Observed;
    // By cause. A job counts under the cause of its first step that waits.
    Waits Waited = {};
  };

  // The job is known from now on.
  void begin(const jobs::JobId &job, Instant now);
  // Takes the waits of a plan. Returns those that have lasted for a while and
  // were not returned under the same cause before.
  std::vector<dispatch::StepWait>
  update(const std::vector<dispatch::StepWait> &waits, Instant now);
  // The job has ended; forgets it. Nothing if it was not known.
  std::optional<Account> finish(const jobs::JobId &job, Instant now);

private:
  struct StepEntry {
    dispatch::WaitCause Why = dispatch::WaitCause::Room;
    Instant Since;
    bool IsTold = false;
  };
  struct JobEntry {
    Instant Began;
    std::optional<dispatch::WaitCause> Why;
    Instant Since;
    Waits Waited = {};
  };

  static void settle(JobEntry &entry, Instant now);

  std::map<jobs::JobId, JobEntry> Jobs;
  std::map<jobs::StepKey, StepEntry> Steps;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_WAIT_LEDGER_H_
