// Simulates a zone's leader and workers over a faulty network, to check the
// fates of requests.
#ifndef TESTING_STATE_FATES_H_
#define TESTING_STATE_FATES_H_

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/fate/report_filter.h"
#include "jujube/fate/sync_scopes.h"
#include "jujube/limits/lease_table.h"

namespace jujube::testing {

inline constexpr uint32_t FateWorkers = 3;
inline constexpr uint32_t FateRequests = 12;

// Steps a leader, its journal and its workers. Keeps its own record of what
// the workers did, and compares it with the replicated state.
class FateDriver {
public:
  explicit FateDriver(uint32_t seed);

  // Submits request `n`; it may have been submitted before. Odd requests are
  // idempotent; every third is a gang.
  void submit(uint32_t n);
  void cancel(uint32_t n);
  // Replaces the leader; only part of the pending proposals are committed.
  void changeLeader();
  // Restarts the worker; its tasks are lost.
  void restartWorker(uint32_t worker);
  // While a worker is cut off, its messages are delayed or lost.
  void setCut(uint32_t worker, bool isCut);
  // Sets how a worker handles its tasks: 0 continues, 1 finishes, 2 fails and 3
  // refuses them.
  void setBehaviour(uint32_t worker, uint32_t behaviour);
  // Lets time pass. Returns the broken rule, or an empty text.
  std::string advance(Duration span);
  // Stops all faults, and checks that workers and leader agree on the running
  // attempts and that every request then ends. Returns the broken rule, or an
  // empty text.
  std::string settle();

  const fate::FateStateMachine &book() const { return Book; }

private:
  // A task on a worker, kept until its end is acknowledged.
  struct TrackedTask {
    AttemptToken Token;
    fate::TaskPhase Phase = fate::TaskPhase::Started;
    std::string Text;
    bool isRunning() const;
  };
  struct Worker {
    WorkerId Id;
    Incarnation WorkerIncarnation{1};
    int64_t RatePermille = 1000;
    bool IsCut = false;
    uint32_t Behaviour = 0;
    Instant LeaseEnd;
    std::map<TaskId, TrackedTask> Tasks;
    std::map<TaskId, AttemptToken> Highest;
    fate::ReportFilter Filter;
    // The number of the last sync, and the deadline for its reply.
    uint32_t LastSync = 0;
    Instant WaitsUntil;
  };
  struct Sync {
    uint32_t Worker;
    Instant DueAt;
    // On the worker's clock.
    Instant SentAt;
    uint32_t Number;
    fate::WorkerSync What;
  };
  struct Reply {
    uint32_t Worker;
    Instant DueAt;
    Instant SentAt;
    Incarnation WorkerIncarnation;
    uint32_t Number;
    fate::SyncReply What;
  };

  uint32_t random(uint32_t n);
  Instant localTime(const Worker &worker) const;
  Instant delay(const Worker &worker);
  void propose(std::vector<fate::Event> events);
  void propose(const Result<std::optional<fate::Event>> &event);
  void commit();
  void tickLeader();
  void offerQueued();
  void tickWorker(uint32_t n);
  void runTasks(Worker &worker, Instant now);
  fate::WorkerSync syncOf(uint32_t n);
  void stopAll(Worker &worker);
  void deliver();
  void handle(const Sync &sync);
  void handle(const Reply &reply);
  void execute(Worker &worker, const fate::Directive &directive);
  std::vector<fate::Directive> directivesFor(const Worker &worker,
                                             const Sync &sync) const;
  std::string checkIndex() const;
  // Returns whether the attempts recorded as running on each worker are exactly
  // the attempts that run there.
  bool doRecordsAgree() const;
  std::string checkRules();
  std::string checkTask(const TaskId &id, const fate::RequestRecord &request);

  std::minstd_rand Generator;
  Instant Now;
  Term LeaderTerm{1};
  fate::FateStateMachine Book;
  std::vector<fate::Event> Proposed;
  limits::LeaseTable<WorkerId> Leases;
  fate::SyncScopeTracker Scopes;
  std::array<Worker, FateWorkers> Workers;
  std::vector<Sync> Syncs;
  std::vector<Reply> Replies;
  // What the workers did, as opposed to the replicated state.
  std::map<TaskId, uint32_t> Starts;
  std::map<TaskId, std::map<AttemptToken, std::string>> Answers;
  std::map<TaskId, fate::TaskRecord> Ended;
};

} // namespace jujube::testing

#endif // TESTING_STATE_FATES_H_
