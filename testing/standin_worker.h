// A stand-in worker: runs tasks as timers under leases and fencing tokens.
//
// The class is the state machine without I/O; the tasks around it own the
// sockets. Not thread-safe.
#ifndef TESTING_STANDIN_WORKER_H_
#define TESTING_STANDIN_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/fate/report_filter.h"
#include "jujube/fate/types.h"
#include "testing/standin_payload.h"

namespace jujube::testing {

struct StandinWorkerOptions {
  fate::WorkerAnnouncement Announcement;
  // Run time of payloads without run_ms.
  Duration DefaultRunTime = Duration::seconds(1);
  // Age of the usage that is reported.
  Duration UsageLag = Duration::seconds(3);
  // Every task fails shortly after its start.
  bool FailsAll = false;
};

// A task came into being or ended on a worker, for the process's run log.
struct RunEvent {
  TaskId Task;
  WorkerId Worker;
  std::string Team;
  Resources Grant;
  bool IsStart = true;
};

// Counts seen from the worker's side.
struct WorkerStats {
  uint64_t Started = 0;
  uint64_t Finished = 0;
  uint64_t Failed = 0;
  uint64_t Stopped = 0;
  uint64_t Refused = 0;
  uint64_t LeaseStops = 0;
  uint64_t StaleReplies = 0;
  // Starts beyond what the worker holds. Must stay 0.
  uint64_t OverCapacity = 0;
};

class StandinWorker {
public:
  explicit StandinWorker(StandinWorkerOptions options);

  // Everything there is to report: running tasks and ended ones that are not
  // acknowledged.
  fate::WorkerSync sync(Instant now) const;
  // The sync to send now, without what the leader knows. One waits at a time;
  // its end is told by onReply() or onFailure().
  fate::WorkerSync nextSync(Instant now);
  void onReply(const fate::SyncReply &reply);
  void onUnfilteredReply(const fate::SyncReply &reply);
  void onFailure() { Filter.onFailure(); }
  // What started and ended since the last news. Lost news is made up for by the
  // next sync.
  fate::WorkerSync news();
  // Takes the reply to a sync that was sent at `sentAt`. Replies of a lower
  // leader term than seen before are ignored.
  void apply(const fate::SyncReply &reply, Instant sentAt, Instant now);
  // Ends tasks whose run time or lease has passed.
  void tick(Instant now);
  Instant nextWake() const;
  void leave() { Options.Announcement.IsLeaving = true; }

  // True if there is news that should not wait for the pending sync; cleared by
  // the call.
  bool takeNews();
  // Starts and ends since the last call.
  std::vector<RunEvent> takeEvents();

  std::size_t running() const { return Running.size(); }
  Resources used() const;
  const WorkerStats &stats() const { return Stats; }
  const WorkerId &id() const { return Options.Announcement.Worker; }

private:
  struct RunningTask {
    AttemptToken Token;
    EntryId Entry;
    WorkOrder Order;
    Resources Grant;
    Instant StartedAt;
    Instant EndsAt;
  };

  void obey(const fate::Directive &directive, Instant now);
  void start(const fate::Directive &directive, Instant now);
  void stop(const fate::Directive &directive, fate::TaskPhase phase,
            Instant now);
  void throttle(const fate::Directive &directive, Instant now);
  void end(const TaskId &id, fate::TaskPhase phase, std::string text);
  void report(const TaskId &id, AttemptToken token, fate::TaskPhase phase,
              std::string text);
  bool raiseFence(const TaskId &id, AttemptToken token);
  // A reply of a leader that was replaced.
  bool isStale(const fate::SyncReply &reply) const {
    return reply.LeaderTerm < LeaderTerm;
  }
  Resources usageOf(const RunningTask &task, Instant now) const;

  StandinWorkerOptions Options;
  WorkerStats Stats;
  Term LeaderTerm;
  Instant LeaseUntil;
  std::map<TaskId, RunningTask> Running;
  // Ended attempts, repeated until they are acknowledged.
  std::vector<fate::TaskReport> Ended;
  // Highest token seen per task, oldest first for forgetting.
  std::map<TaskId, AttemptToken> Fences;
  std::deque<TaskId> FenceOrder;
  std::vector<RunEvent> Events;
  std::vector<fate::TaskReport> Fresh;
  fate::ReportFilter Filter;
  bool HasNews = false;
};

} // namespace jujube::testing

#endif // TESTING_STANDIN_WORKER_H_
