// Tracks how long jobs wait and for what cause, for logs, metrics and the
// breakdown of waiting time.
#ifndef JUJUBE_CONTROL_WAIT_TRACKER_H_
#define JUJUBE_CONTROL_WAIT_TRACKER_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "jujube/base/clock.h"
#include "jujube/dispatch/dispatcher.h"

namespace jujube::control {

// Owned by the control task, and reset when leadership ends. Not thread-safe.
class WaitTracker {
public:
  using Waits = std::array<Duration, dispatch::WaitCauseNames.size()>;

  // How long one job was observed, and how long it waited.
  struct Account {
    // Since the job was first tracked. A new leader starts from zero.
    Duration Observed;
    // Time by cause. A job counts under the cause of its first waiting step.
    Waits Waited = {};
  };

  // Starts to track a job.
  void begin(const jobs::JobId &job, Instant now);
  // Records the waits of a plan over all steps; steps without a wait no longer
  // wait. Returns the waits to log: those that have lasted for a while, each
  // step once per cause, and at most a fixed number per second.
  std::vector<dispatch::StepWait>
  update(const std::vector<dispatch::StepWait> &waits, Instant now);
  // Records the waits of a plan over some of the steps. Steps with starts and
  // without a wait no longer wait; the other steps are unchanged. Returns the
  // waits to log, as update() does.
  std::vector<dispatch::StepWait> updatePart(const dispatch::DispatchPlan &plan,
                                             Instant now);
  // Stops tracking a job that has ended. Returns nullopt if the job was not
  // tracked.
  std::optional<Account> finish(const jobs::JobId &job, Instant now);

  bool isAnyWaiting() const { return Waiting > 0; }
  // The number of waits, by cause, that have lasted for a while, including
  // those that were not returned for the log.
  const std::array<uint64_t, dispatch::WaitCauseNames.size()> &
  longWaits() const {
    return LongWaits;
  }

private:
  struct StepEntry {
    uint32_t Occurrence = 0;
    uint32_t Step = 0;
    // Unset while the step does not wait.
    std::optional<dispatch::WaitCause> Why;
    Instant Since;
    // The round of the update that last found the step waiting.
    uint64_t Round = 0;
    std::bitset<dispatch::WaitCauseNames.size()> Logged;
  };
  struct JobEntry {
    Instant Began;
    std::optional<dispatch::WaitCause> Why;
    Instant Since;
    Waits Waited = {};
    // Sorted by occurrence and step; small.
    std::vector<StepEntry> Steps;
  };

  static void settle(JobEntry &entry, Instant now);
  // Attributes time to the cause of the first step that waits now.
  static void refresh(JobEntry &entry, Instant now);
  static StepEntry &stepOf(JobEntry &entry, const jobs::StepKey &key);
  JobEntry &jobOf(const jobs::JobId &job, Instant now);
  // Records one wait. Returns true if it is to be logged.
  bool note(const dispatch::StepWait &wait, Instant now);
  bool mayLog(Instant now);
  void clear(JobEntry &entry, StepEntry &step, Instant now);

  absl::flat_hash_map<jobs::JobId, JobEntry> Jobs;
  std::size_t Waiting = 0;
  uint64_t Round = 0;
  // Start of the current one-second window, and the number of waits logged in
  // it.
  Instant LogWindowStart;
  int Logged = 0;
  std::array<uint64_t, dispatch::WaitCauseNames.size()> LongWaits = {};
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_WAIT_TRACKER_H_
