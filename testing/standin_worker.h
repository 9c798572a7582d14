// A stand-in worker: runs tasks as timers under leases and fencing tokens.
//
// The class is the state machine without I/O; the tasks that use it own
// the sockets. Not thread-safe.
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
  // Delay with which usage is reported.
  Duration UsageLag = Duration::seconds(3);
  // Every task fails shortly after its start.
  bool FailsAll = false;
};

// The start or end of a task on a worker, for the process's run log.
struct RunEvent {
  TaskId Task;
  WorkerId Worker;
  std::string Team;
  Resources Grant;
  bool IsStart = true;
};

// Counters kept by the worker.
struct WorkerStats {
  uint64_t Started = 0;
  uint64_t Finished = 0;
  uint64_t Failed = 0;
  uint64_t Stopped = 0;
  uint64_t Refused = 0;
  uint64_t LeaseStops = 0;
  uint64_t StaleReplies = 0;
  // Start directives that exceeded the worker's capacity. Must stay 0.
  uint64_t OverCapacity = 0;
};

class StandinWorker {
public:
  explicit StandinWorker(StandinWorkerOptions options);

  // Reports all running tasks, and all ended ones that are not acknowledged.
  fate::WorkerSync sync(Instant now) const;
  // Returns the sync to send now, without reports that the leader already has.
  // At most one sync is pending; onReply() or onFailure() completes it.
  fate::WorkerSync nextSync(Instant now);
  void onReply(const fate::SyncReply &reply);
  void onUnfilteredReply(const fate::SyncReply &reply);
  void onFailure() { Filter.onFailure(); }
  // Reports the starts and ends since the last call. If this message is lost,
  // the next sync repeats its reports.
  fate::WorkerSync takeChanges();
  // Applies the reply to a sync that was sent at `sentAt`. Replies of a lower
  // leader term than seen before are ignored.
  void apply(const fate::SyncReply &reply, Instant sentAt, Instant now);
  // Ends tasks whose run time or lease has passed.
  void tick(Instant now);
  Instant nextWake() const;
  void leave() { Options.Announcement.IsLeaving = true; }

  // Returns whether there are reports that should not wait for the pending
  // sync, and clears the flag.
  bool takeHasChanges();
  // Returns the starts and ends since the last call.
  std::vector<RunEvent> takeEvents();

  std::size_t running() const { return Running.size(); }
  Resources used() const;
  const WorkerStats &stats() const { return Stats; }
  const WorkerId &id() const { return Options.Announcement.Worker; }

private:
  struct RunningTask {
    AttemptToken Token;
    EntryId Entry;
    RunInstructions Instructions;
    Resources Grant;
    Instant StartedAt;
    Instant EndsAt;
  };

  void execute(const fate::Directive &directive, Instant now);
  void start(const fate::Directive &directive, Instant now);
  void stop(const fate::Directive &directive, fate::TaskPhase phase,
            Instant now);
  void throttle(const fate::Directive &directive, Instant now);
  void end(const TaskId &id, fate::TaskPhase phase, std::string text);
  void report(const TaskId &id, AttemptToken token, fate::TaskPhase phase,
              std::string text);
  bool raiseFence(const TaskId &id, AttemptToken token);
  // Returns whether the reply came from a leader that was replaced.
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
  // Highest token seen per task; FenceOrder lists the tasks oldest first, for
  // eviction.
  std::map<TaskId, AttemptToken> Fences;
  std::deque<TaskId> FenceOrder;
  std::vector<RunEvent> Events;
  std::vector<fate::TaskReport> UnsentChanges;
  fate::ReportFilter Filter;
  bool HasChanges = false;
};

} // namespace jujube::testing

#endif // TESTING_STANDIN_WORKER_H_
