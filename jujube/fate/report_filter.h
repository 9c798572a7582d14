// Selects the attempts that a worker reports in its next sync.
#ifndef JUJUBE_FATE_REPORT_FILTER_H_
#define JUJUBE_FATE_REPORT_FILTER_H_

#include <map>
#include <vector>

#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/fate/types.h"

namespace jujube::fate {

// Usage is reported again once it differs from the last reported usage by more
// than 1/UsageChangeDivisor of the larger of the two.
inline constexpr int64_t UsageChangeDivisor = 10;

// Returns true if at least one of the resource amounts changed by more than
// 1/UsageChangeDivisor of the larger of its two values.
bool hasUsageChanged(const Resources &before, const Resources &now);

// A running attempt on a worker.
struct RunningAttempt {
  TaskReport Report;
  // The resources that the attempt may use.
  Resources Grant;
};

// Leaves out of a sync the running attempts that the zone's leader has already
// acknowledged by answering an earlier sync. Owned by one worker, which has at
// most one filtered sync in flight. A sync that only carries new events
// bypasses the filter.
class ReportFilter {
public:
  // Returns the next sync. It reports every ended attempt, and every running
  // attempt that is new, whose usage has changed (see hasUsageChanged()) or
  // exceeds its grant; a digest covers the other running attempts. After a
  // failed sync or a change of leader, or if the leader asked for a full sync,
  // it reports all attempts.
  WorkerSync next(const WorkerAnnouncement &self,
                  const std::vector<TaskReport> &ended,
                  const std::vector<RunningAttempt> &running);
  // Records that the leader answered the last sync returned by next().
  void onReply(const SyncReply &reply);
  // Records that the leader answered a sync that bypassed the filter.
  void onUnfilteredReply(const SyncReply &reply);
  // Records that the last sync returned by next() was refused or not answered.
  void onFailure();

private:
  struct ReportedAttempt {
    AttemptToken Token;
    Resources Usage;
  };

  bool mustReport(const RunningAttempt &attempt) const;

  // Running attempts as last reported in a sync that the leader answered.
  std::map<TaskId, ReportedAttempt> Acknowledged;
  // Running attempts that the sync in flight reports.
  std::map<TaskId, ReportedAttempt> InFlight;
  Term LeaderTerm;
  bool IsFullSyncDue = true;
  bool IsInFlightFull = false;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_REPORT_FILTER_H_
