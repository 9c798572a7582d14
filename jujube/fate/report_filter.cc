#include "jujube/fate/report_filter.h"

#include <algorithm>
#include <utility>

#include "jujube/fate/attempt_digest.h"

namespace jujube::fate {
namespace {

bool hasChanged(int64_t before, int64_t now) {
  return std::max(before, now) - std::min(before, now) >
         std::max(before, now) / UsageChangeDivisor;
}

} // namespace

bool hasUsageChanged(const Resources &before, const Resources &now) {
  return hasChanged(before.MilliCpu, now.MilliCpu) ||
         hasChanged(before.MemoryMb, now.MemoryMb) ||
         hasChanged(before.Accelerators, now.Accelerators);
}

bool ReportFilter::mustReport(const RunningAttempt &attempt) const {
  const TaskReport &report = attempt.Report;
  const auto reported = Acknowledged.find(report.Task);
  return IsFullSyncDue || reported == Acknowledged.end() ||
         reported->second.Token != report.Token ||
         hasUsageChanged(reported->second.Usage, report.Usage) ||
         !report.Usage.fitsIn(attempt.Grant);
}

WorkerSync ReportFilter::next(const WorkerAnnouncement &self,
                              const std::vector<TaskReport> &ended,
                              const std::vector<RunningAttempt> &running) {
  WorkerSync sync{self, ended, AttemptDigest{}};
  std::map<TaskId, ReportedAttempt> unchanged;
  InFlight.clear();
  for (const RunningAttempt &attempt : running) {
    const TaskReport &report = attempt.Report;
    if (mustReport(attempt)) {
      sync.Reports.push_back(report);
      InFlight[report.Task] = {report.Token, report.Usage};
    } else {
      addAttempt(*sync.Unreported, report.Task, report.Token);
      unchanged.insert(*Acknowledged.find(report.Task));
    }
  }
  Acknowledged = std::move(unchanged);
  IsInFlightFull = std::exchange(IsFullSyncDue, false);
  return sync;
}

void ReportFilter::onReply(const SyncReply &reply) {
  const bool isNewLeader = reply.LeaderTerm != LeaderTerm;
  LeaderTerm = std::max(LeaderTerm, reply.LeaderTerm);
  if (reply.NextSync == SyncScope::Full || (isNewLeader && !IsInFlightFull))
    IsFullSyncDue = true;
  for (auto &[task, reported] : std::exchange(InFlight, {}))
    Acknowledged.insert_or_assign(task, reported);
}

void ReportFilter::onUnfilteredReply(const SyncReply &reply) {
  if (reply.NextSync == SyncScope::Full || reply.LeaderTerm > LeaderTerm)
    IsFullSyncDue = true;
}

void ReportFilter::onFailure() {
  InFlight.clear();
  IsFullSyncDue = true;
}

} // namespace jujube::fate
