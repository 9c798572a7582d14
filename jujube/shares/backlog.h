// Decides whether a further job of a team is worth storing. Answers this load:
// a team hands in several times its usual work for so long that its backlog
// could only be done when nobody needs it any more.
#ifndef JUJUBE_SHARES_BACKLOG_H_
#define JUJUBE_SHARES_BACKLOG_H_

#include <cstdint>
#include <optional>

#include "jujube/base/clock.h"

namespace jujube::shares {

struct BacklogInput {
  // Work of the team's jobs of the same queue of which no task has started, in
  // thousandths of a core times milliseconds, by the callers' estimates.
  int64_t QueuedWork = 0;
  // Thousandths of a core that the team is due.
  int64_t DueMilliCpu = 0;
  // From now to the objective of the job.
  Duration Objective;
  // The job is beyond the rate that the team's weight allows.
  bool IsBeyondRate = false;
};

// Returns when the caller should come back, if the team's share can't carry the
// job in useful time; nullopt if the job is to be accepted. Jobs within the
// rate are always accepted.
std::optional<Duration> refusalOf(const BacklogInput &input);

} // namespace jujube::shares

#endif // JUJUBE_SHARES_BACKLOG_H_
