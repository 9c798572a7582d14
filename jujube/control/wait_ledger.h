// How long jobs wait and for what, as the leader sees it: for logs, metrics and
// the split of lost time by cause.
#ifndef JUJUBE_CONTROL_WAIT_LEDGER_H_
#define JUJUBE_CONTROL_WAIT_LEDGER_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
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
  // Takes the waits of a plan over all steps; the others wait no more. Returns
  // those that have lasted for a while, each step once under each cause, and no
  // more in a second than a reader of the log can follow.
  std::vector<dispatch::StepWait>
  update(const std::vector<dispatch::StepWait> &waits, Instant now);
  // The same of a plan over some of the steps. Steps with starts and without
  // waits wait no more.
  std::vector<dispatch::StepWait> updatePart(const dispatch::DispatchPlan &plan,
                                             Instant now);
  // The job has ended; forgets it. Nothing if it was not known.
  std::optional<Account> finish(const jobs::JobId &job, Instant now);

  bool isAnyWaiting() const { return Waiting > 0; }
  // Waits that have lasted for a while, by cause, whether they were returned or
  // not.
  const std::array<uint64_t, dispatch::WaitCauseNames.size()> &lasting() const {
    return Lasting;
  }

private:
  struct StepEntry {
    uint32_t Occurrence = 0;
    uint32_t Step = 0;
    // Unset while it does not wait.
    std::optional<dispatch::WaitCause> Why;
    Instant Since;
    // The update that it was last found waiting in.
    uint64_t Round = 0;
    std::bitset<dispatch::WaitCauseNames.size()> Told;
  };
  struct JobEntry {
    Instant Began;
    std::optional<dispatch::WaitCause> Why;
    Instant Since;
    Waits Waited = {};
    // In order; few.
    std::vector<StepEntry> Steps;
  };

  static void settle(JobEntry &entry, Instant now);
  // Counts time under the cause of the first step that waits now.
  static void refresh(JobEntry &entry, Instant now);
  static StepEntry &stepOf(JobEntry &entry, const jobs::StepKey &key);
  JobEntry &jobOf(const jobs::JobId &job, Instant now);
  // Takes one wait; true if it is to be told.
  bool note(const dispatch::StepWait &wait, Instant now);
  bool mayTell(Instant now);
  void clear(JobEntry &entry, StepEntry &step, Instant now);

  absl::flat_hash_map<jobs::JobId, JobEntry> Jobs;
  std::size_t Waiting = 0;
  uint64_t Round = 0;
  // The second that is counted, and what was told in it.
  Instant TellingSince;
  int Told = 0;
  std::array<uint64_t, dispatch::WaitCauseNames.size()> Lasting = {};
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_WAIT_LEDGER_H_
