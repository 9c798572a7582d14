// A zone's leader and workers over a faulty network, to check what becomes of
// requests.
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

// Steps a leader, its journal and its workers. What workers really did is kept
// beside, and compared with what the book says.
class FateDriver {
public:
  explicit FateDriver(uint32_t seed);

  // Submits request `n`, or again if it was. Odd requests are idempotent; every
  // third is a gang.
  void submit(uint32_t n);
  void cancel(uint32_t n);
  // The leader dies; what it proposed is committed in part.
  void changeLeader();
  // The worker dies with its tasks and starts anew.
  void restartWorker(uint32_t worker);
  // While it is cut off, messages of the worker are held or lost.
  void setCut(uint32_t worker, bool isCut);
  // What a worker does with its tasks: 0 to 3 for go on, finish, fail, refuse.
  void setMood(uint32_t worker, uint32_t mood);
  // Lets time pass. Returns an empty text, or what rule was broken.
  std::string advance(Duration span);
  // Stops all faults: workers and leader come to agree on what runs, and then
  // every request reaches its end.
  std::string settle();

  const fate::FateStateMachine &book() const { return Book; }

private:
  // A task on a worker, until its end was acknowledged.
  struct Held {
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
    uint32_t Mood = 0;
    Instant LeaseEnd;
    std::map<TaskId, Held> Tasks;
    std::map<TaskId, AttemptToken> Highest;
    fate::ReportFilter Filter;
    // The number of the last sync, and until when its reply is waited for.
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
  void obey(Worker &worker, const fate::Directive &directive);
  std::vector<fate::Directive> directivesFor(const Worker &worker,
                                             const Sync &sync) const;
  std::string checkIndex() const;
  // True if every attempt that runs on a worker is recorded as running there,
  // and no other.
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
  // What really happened.
  std::map<TaskId, uint32_t> Starts;
  std::map<TaskId, std::map<AttemptToken, std::string>> Answers;
  std::map<TaskId, fate::TaskRecord> Ended;
};

} // namespace jujube::testing

#endif // TESTING_STATE_FATES_H_
