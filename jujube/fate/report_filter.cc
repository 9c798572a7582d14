#include "jujube/fate/report_filter.h"

#include <algorithm>
#include <utility>

#include "jujube/fate/attempt_digest.h"

namespace jujube::fate {
namespace {

bool hasMoved(int64_t before, int64_t now) {
  return std::max(before, now) - std::min(before, now) >
         std::max(before, now) / UsageParts;
}

} // namespace

bool hasUsageMoved(const Resources &before, const Resources &now) {
  return hasMoved(before.MilliCpu, now.MilliCpu) ||
         hasMoved(before.MemoryMb, now.MemoryMb) ||
         hasMoved(before.Accelerators, now.Accelerators);
}

bool ReportFilter::mustReport(const HeldAttempt &attempt) const {
  const TaskReport &report = attempt.Report;
  const auto told = Answered.find(report.Task);
  return IsFullDue || told == Answered.end() ||
         told->second.Token != report.Token ||
         hasUsageMoved(told->second.Usage, report.Usage) ||
         !report.Usage.fitsIn(attempt.Grant);
}

WorkerSync ReportFilter::next(const WorkerAnnouncement &self,
                              const std::vector<TaskReport> &ended,
                              const std::vector<HeldAttempt> &running) {
  WorkerSync sync{self, ended, AttemptDigest{}};
  std::map<TaskId, Told> kept;
  Waiting.clear();
  for (const HeldAttempt &attempt : running) {
    const TaskReport &report = attempt.Report;
    if (mustReport(attempt)) {
      sync.Reports.push_back(report);
      Waiting[report.Task] = {report.Token, report.Usage};
    } else {
      addAttempt(*sync.Unreported, report.Task, report.Token);
      kept.insert(*Answered.find(report.Task));
    }
  }
  Answered = std::move(kept);
  IsWaitingFull = std::exchange(IsFullDue, false);
  return sync;
}

void ReportFilter::onReply(const SyncReply &reply) {
  const bool isNewLeader = reply.LeaderTerm != LeaderTerm;
  LeaderTerm = std::max(LeaderTerm, reply.LeaderTerm);
  if (reply.NextSync == SyncScope::Full || (isNewLeader && !IsWaitingFull))
    IsFullDue = true;
  for (auto &[task, told] : std::exchange(Waiting, {}))
    Answered.insert_or_assign(task, told);
}

void ReportFilter::onNewsReply(const SyncReply &reply) {
  if (reply.NextSync == SyncScope::Full || reply.LeaderTerm > LeaderTerm)
    IsFullDue = true;
}

void ReportFilter::onFailure() {
  Waiting.clear();
  IsFullDue = true;
}

} // namespace jujube::fate
