// The fate of every request of a zone, as a replicated state machine.
#ifndef JUJUBE_FATE_FATE_STATE_MACHINE_H_
#define JUJUBE_FATE_FATE_STATE_MACHINE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "jujube/base/result.h"
#include "jujube/fate/event.h"
#include "jujube/fate/types.h"
#include "jujube/fate/worker_index.h"
#include "jujube/limits/zone_slices.h"

namespace jujube::fate {

// Limits on how long the fates of requests are kept.
struct FatePolicy {
  // Time after its end for which a request is kept. A resend that arrives later
  // is a new request.
  Duration Retention = Duration::minutes(int64_t{24} * 60);
  // While more ended tasks than this are kept, the requests that ended first
  // are deleted early, but not before `MinRetention`.
  std::size_t MaxEndedTasks = 40'000;
  Duration MinRetention = Duration::minutes(15);
  // Time after which an unresolved offer counts as failed, and a refused live
  // request that was not offered again as not run.
  Duration ResolveWithin = Duration::minutes(10);
};

// The stored state of one task.
struct TaskRecord {
  FateState State = FateState::Queued;
  // True from the offer until the attempt has certainly stopped.
  bool HasActiveAttempt = false;
  // True if an attempt may have run. Reset if the worker turns out to have
  // refused an unresolved attempt.
  bool MayHaveRun = false;
  // True once the task was subtracted from RequestRecord::UnstartedTasks.
  bool HasStarted = false;
  // Number of offers so far.
  uint32_t Attempts = 0;
  // Number of attempts that count against the entry's MaxAttempts.
  uint32_t Failures = 0;
  AttemptToken Token;
  WorkerId Worker;
  Incarnation WorkerIncarnation;
  Resources Reserved;
  // When an unresolved attempt was lost.
  Instant LostAt;
  // The answer of a finished task; otherwise the reason for its state.
  std::string Text;

  bool operator==(const TaskRecord &) const = default;
};

// The stored state of one request. Its payload is deleted when the request
// ends.
struct RequestRecord {
  Submission Work;
  Instant AcceptedAt;
  Instant StartedAt = Instant::never();
  Instant EndedAt = Instant::never();
  bool IsCancelled = false;
  // True once a task of a gang has ended without finishing; the other tasks are
  // then stopped.
  bool IsAbandoned = false;
  // Number of tasks that have not ended.
  uint32_t OpenTasks = 0;
  // Number of tasks of which no attempt has started.
  uint32_t UnstartedTasks = 0;
  std::vector<TaskRecord> Tasks;

  // Returns true if the attempts are to be stopped and not retried.
  bool isStopping() const { return IsCancelled || IsAbandoned; }

  bool operator==(const RequestRecord &) const = default;
};

// The stored state of one live request.
struct LiveRecord {
  LiveOffered Offer;
  FateState State = FateState::Offered;
  // When the request entered `State`.
  Instant ChangedAt;
  std::string Text;

  bool operator==(const LiveRecord &) const = default;
};

// The contents of a snapshot of a FateStateMachine.
struct FateSnapshot {
  std::vector<RequestRecord> Requests;
  std::vector<LiveRecord> LiveRequests;
  limits::SliceUpdate Holdings;

  bool operator==(const FateSnapshot &) const = default;
};

// An active attempt: it was offered to a worker and may be running.
struct Attempt {
  TaskId Task;
  TeamId Team;
  EntryId Entry;
  AttemptToken Token;
  WorkerId Worker;
  Incarnation WorkerIncarnation;
  Resources Reserved;
  FateState State = FateState::Offered;
  bool IsStopping = false;

  bool operator==(const Attempt &) const = default;
};

// The state that results from applying a zone's replicated journal. Owned by
// the zone's scheduler task; not thread-safe. Only apply() changes the state.
// Const member functions that return events decide which events to propose: the
// caller proposes them to the zone's consensus group, which passes them to
// apply() once they are committed.
class FateStateMachine {
public:
  explicit FateStateMachine(FatePolicy policy = {}) : Policy(policy) {}

  // Applies a committed event. Returns false and changes nothing if the event
  // has no effect because its token is stale, its request has ended, or it
  // repeats an earlier event.
  bool apply(const Event &event);

  // Returns nullopt if the request is unknown.
  std::optional<FateView> view(const RequestId &id) const;
  // Returns the state of the request as a whole, or nullopt if the request is
  // unknown.
  std::optional<FateState> stateOf(const RequestId &id) const;
  // Return null if the request or task is unknown. Live requests have no record
  // here.
  const RequestRecord *findRequest(const RequestId &id) const;
  const TaskRecord *findTask(const TaskId &id) const;

  // Returns the event that accepts a new request, or nullopt for a resend,
  // whose fate is available from view(). Fails with DuplicateRequest if the id
  // belongs to a different request.
  Result<std::optional<Event>> submit(const Submission &work,
                                      Instant now) const;
  // Returns the event that cancels a request, or nullopt if the request has
  // ended or is cancelled already. Fails with NotFound if the request is
  // unknown or belongs to another team, and with InvalidArgument for a live
  // request.
  Result<std::optional<Event>> cancel(const RequestId &id, const TeamId &team,
                                      Instant now) const;
  // Returns the event that ends those queued tasks of a request that have
  // certainly not run, for example because they fit on no worker. Returns
  // nullopt if there are no such tasks.
  std::optional<Event> reject(const RequestId &id, Error reason,
                              Instant now) const;
  // Returns the event that offers a queued task, or nullopt if the task must
  // not be offered.
  std::optional<Event> offer(const TaskId &id, Term term,
                             const WorkerId &worker, Incarnation start,
                             const Resources &reserved, Instant now) const;

  // Returns the event that changes the resources reserved by an active attempt,
  // or nullopt if there is no such attempt or its reservation is the same.
  std::optional<Event> changeReservation(const TaskId &id,
                                         const Resources &reserved,
                                         Instant now) const;

  // Returns the events that follow from a worker's report.
  std::vector<Event> report(const WorkerId &worker, Incarnation start,
                            const TaskReport &report, Instant now) const;
  // Returns the directive that answers the report after its events are applied:
  // Acknowledge for an ended attempt, Stop for an attempt that must not run,
  // and nullopt otherwise.
  std::optional<DirectiveKind> directiveFor(const WorkerId &worker,
                                            const TaskReport &report) const;

  // Returns the events that follow once the worker's lease and the clock drift
  // bound have passed.
  std::vector<Event> workerExpired(const WorkerId &worker, Instant now) const;
  // Returns the events that follow from a worker's announcement with
  // incarnation `start`: attempts of earlier incarnations no longer run. Call
  // this at every sync, since an offer to an earlier incarnation may be
  // committed after the worker restarted.
  std::vector<Event> workerRestarted(const WorkerId &worker, Incarnation start,
                                     Instant now) const;
  // Returns the events that follow from the loss of an entry host: its live
  // offers become unresolved.
  std::vector<Event> entryHostLost(const HostId &host, Instant now) const;

  // Returns the event to commit before a live request is sent to a runner, or
  // nullopt for a resend that must not be sent again, whose fate is available
  // from view(). Fails with DuplicateRequest if the id belongs to a different
  // request.
  Result<std::optional<Event>> offerLive(const LiveOffered &offer) const;

  // Returns at most `max` events that follow from the passing of time: missed
  // start deadlines, offers that stayed unresolved, and expired retention.
  std::vector<Event> dueEvents(Instant now, std::size_t max) const;

  // Return the active attempts and the queued tasks, ordered by id, for
  // rebuilding the planner.
  std::vector<Attempt> activeAttempts() const;
  std::vector<TaskId> queuedTasks() const;
  // Returns the active attempts on a worker, ordered by id. Directives for an
  // attempt must only be sent to the incarnation that the attempt names.
  std::vector<Attempt> attemptsOn(const WorkerId &worker) const;
  // Returns the index record of the active attempts on a worker.
  const WorkerAttempts &indexOn(const WorkerId &worker) const {
    return ByWorker.of(worker);
  }
  // Returns true if the worker reported that this attempt started there and the
  // attempt has not ended.
  bool isRunning(const WorkerId &worker, const TaskId &task,
                 const AttemptToken &token) const;
  const WorkerIndex &byWorker() const { return ByWorker; }
  // Return the workers with active attempts and the entry hosts with live
  // offers. A new leader counts their leases from its takeover.
  std::vector<WorkerId> busyWorkers() const;
  std::vector<HostId> busyEntryHosts() const;
  // Returns the resources reserved by the team's active attempts.
  Resources usedBy(const TeamId &team) const;

  const limits::SliceHoldings &holdings() const { return Holdings; }
  std::size_t size() const { return Requests.size() + LiveRequests.size(); }

  FateSnapshot state() const;
  static Result<FateStateMachine> fromState(FateSnapshot state,
                                            FatePolicy policy = {});

private:
  template <typename Id>
  using TimeIndex = absl::btree_set<std::pair<Instant, Id>>;

  // A task with its id and its request.
  struct TaskRef {
    const TaskId &Id;
    RequestRecord &Request;
    TaskRecord &Task;
  };

  // Apply one kind of event; same contract as apply().
  bool handle(const RequestAccepted &event);
  bool handle(const TaskOffered &event);
  bool handle(const TaskStarted &event);
  bool handle(const ReservationChanged &event);
  bool handle(const TaskEnded &event);
  bool handle(const AttemptLost &event);
  bool handle(const RequestCancelled &event);
  bool handle(const RequestRejected &event);
  bool handle(const LiveOffered &event);
  bool handle(const LiveEnded &event);
  bool handle(const FateForgotten &event);
  bool handle(const limits::SliceUpdate &event);

  // Returns the task if `token` identifies its current attempt and the outcome
  // of that attempt is not known yet; otherwise nullopt.
  std::optional<TaskRef> findOpenAttempt(const TaskId &id,
                                         const AttemptToken &token);
  static bool isOpenAttempt(const TaskRecord &task, const AttemptToken &token);
  // Records that an attempt has started or may have started.
  void markStarted(TaskRef ref, Instant at);
  // Frees the reservation of an attempt that has stopped.
  void releaseReservation(TaskRef ref);
  void endTask(TaskRef ref, FateState state, std::string text, Instant at);
  // Ends a task that is being stopped.
  void endStopped(TaskRef ref, std::string text, Instant at);
  // Queues the task again, or ends it if it must not run again. `isCounted`
  // tells whether the attempt counts against MaxAttempts.
  void retry(TaskRef ref, const std::string &reason, bool isCounted,
             Instant at);
  static PlacedAttempt placedAttempt(const TaskRef &ref);
  // Runs `change`, which sets IsCancelled or IsAbandoned, and updates the index
  // of the request's attempts.
  template <typename Change>
  void stopRequest(RequestRecord &request, Change change);
  // Ends the queued tasks of a request that is being stopped.
  void endQueued(RequestRecord &request, const std::string &reason, Instant at);
  // Ends the request. Called when its last task has ended.
  void closeRequest(RequestRecord &request, Instant at);
  Instant startDeadline(const RequestRecord &request) const;
  void index(RequestRecord &request);
  void index(const LiveRecord &live);
  void unindex(const LiveRecord &live);

  void indexEnded(Instant at, const RequestId &id, std::size_t tasks);
  void unindexEnded(Instant at, const RequestId &id, std::size_t tasks);
  std::size_t endedTasksOf(const RequestId &id) const;
  // Adds events for ended requests whose retention time has passed.
  void collectExpired(Instant now, std::size_t max,
                      std::vector<Event> &events) const;
  std::optional<Event> rejectOverdue(const RequestId &id, Instant now) const;
  FateView viewOf(const RequestRecord &request) const;
  FateView viewOf(const LiveRecord &live) const;
  Attempt attemptOf(const RequestRecord &request, uint32_t n) const;

  FatePolicy Policy;
  absl::btree_map<RequestId, RequestRecord> Requests;
  absl::btree_map<RequestId, LiveRecord> LiveRequests;
  limits::SliceHoldings Holdings;
  // Indexes derived from the members above.
  WorkerIndex ByWorker;
  absl::btree_map<HostId, absl::btree_set<RequestId>> ByEntryHost;
  absl::btree_map<TeamId, Resources> UsedByTeam;
  // Requests with unstarted tasks, by start deadline.
  TimeIndex<RequestId> StartDeadlines;
  TimeIndex<TaskId> Unresolved;
  // Live requests that are queued or unresolved, by the time of that change.
  TimeIndex<RequestId> UnsettledLive;
  TimeIndex<RequestId> EndedRequests;
  // Number of tasks of the requests in `EndedRequests`.
  std::size_t EndedTasks = 0;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_FATE_STATE_MACHINE_H_
