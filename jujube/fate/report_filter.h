// What a worker reports in its next sync.
#ifndef JUJUBE_FATE_REPORT_FILTER_H_
#define JUJUBE_FATE_REPORT_FILTER_H_

#include <map>
#include <vector>

#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/fate/types.h"

namespace jujube::fate {

// A usage is reported again once it differs from the reported one by more than
// one part in this many.
inline constexpr int64_t UsageParts = 10;

// True if some amount differs by more than one part in UsageParts of the larger
// of the two.
bool hasUsageMoved(const Resources &before, const Resources &now);

// A running attempt on a worker.
struct HeldAttempt {
  TaskReport Report;
  // What it may use.
  Resources Grant;
};

// Leaves out what the zone's leader has acknowledged by answering an earlier
// sync. Belongs to one worker, which keeps one such sync waiting at a time; a
// sync that only brings news does not pass through it.
class ReportFilter {
public:
  // The next sync: all ended attempts, running ones that are new, whose usage
  // moved or exceeds their grant, and a digest of the others. After a failure,
  // a change of leader or on request: all attempts.
  WorkerSync next(const WorkerAnnouncement &self,
                  const std::vector<TaskReport> &ended,
                  const std::vector<HeldAttempt> &running);
  // The sync that next() returned last was answered.
  void onReply(const SyncReply &reply);
  // A sync that did not pass through the filter was answered.
  void onNewsReply(const SyncReply &reply);
  // The sync that next() returned last was refused or not answered.
  void onFailure();

private:
  struct Told {
    AttemptToken Token;
    Resources Usage;
  };

  bool mustReport(const HeldAttempt &attempt) const;

  // What the leader was told of running attempts, as far as it answered.
  std::map<TaskId, Told> Answered;
  // What the waiting sync tells.
  std::map<TaskId, Told> Waiting;
  Term LeaderTerm;
  bool IsFullDue = true;
  bool IsWaitingFull = false;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_REPORT_FILTER_H_
