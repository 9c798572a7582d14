// The fate of every request of a zone, as a replicated state machine.
#ifndef JUJUBE_FATE_FATE_BOOK_H_
#define JUJUBE_FATE_FATE_BOOK_H_

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

// How long fates are kept.
struct FatePolicy {
  // Ended requests are forgotten after this span; a resend after it is a new
  // request.
  Duration Retention = Duration::minutes(int64_t{24} * 60);
  // Once more ended tasks than this are kept, the oldest requests are forgotten
  // sooner, but not before `MinRetention`.
  std::size_t MaxEndedTasks = 40'000;
  Duration MinRetention = Duration::minutes(15);
  // An offer whose outcome is not known is called failed after this span.
  Duration ResolveWithin = Duration::minutes(10);
};

// One task as the book keeps it.
struct TaskRecord {
  FateState State = FateState::Queued;
  // True from the offer until it is certain that the attempt does not run.
  bool IsLive = false;
  // True if some attempt may have started.
  bool MayHaveRun = false;
  // True once an attempt was counted as started.
  bool HasStarted = false;
  // Offers so far.
  uint32_t Attempts = 0;
  // Attempts that count against the entry's MaxAttempts.
  uint32_t Failures = 0;
  AttemptToken Token;
  WorkerId Worker;
  Incarnation Start;
  Resources Reserved;
  // When an unresolved attempt was lost.
  Instant LostAt;
  // Answer of a finished task; otherwise the reason.
  std::string Text;

  bool operator==(const TaskRecord &) const = default;
};

// One request as the book keeps it. The payload is dropped once it has ended.
struct RequestRecord {
  Submission Work;
  Instant AcceptedAt;
  Instant StartedAt = Instant::never();
  Instant EndedAt = Instant::never();
  bool IsCancelled = false;
  // True once a task of a gang has ended without an answer: the others are
  // stopped.
  bool IsAbandoned = false;
  // Tasks that have not ended.
  uint32_t Open = 0;
  // Tasks of which no attempt has started.
  uint32_t Unstarted = 0;
  std::vector<TaskRecord> Tasks;

  // True if its attempts are to be stopped for good.
  bool isStopping() const { return IsCancelled || IsAbandoned; }

  bool operator==(const RequestRecord &) const = default;
};

// A live request as the book keeps it.
struct LiveRecord {
  LiveOffered Offer;
  FateState State = FateState::Offered;
  // When it reached `State`.
  Instant ChangedAt;
  std::string Text;

  bool operator==(const LiveRecord &) const = default;
};

// Everything that a snapshot of the book holds.
struct BookState {
  std::vector<RequestRecord> Requests;
  std::vector<LiveRecord> LiveRequests;
  limits::SliceUpdate Holdings;

  bool operator==(const BookState &) const = default;
};

// An attempt that may be running.
struct Attempt {
  TaskId Task;
  TeamId Team;
  EntryId Entry;
  AttemptToken Token;
  WorkerId Worker;
  Incarnation Start;
  Resources Reserved;
  FateState State = FateState::Offered;
  bool IsStopping = false;

  bool operator==(const Attempt &) const = default;
};

// The replicated journal of a zone, applied. Not thread-safe; owned by the
// zone's scheduler task. Deciders change nothing: the events that they return
// are proposed to the zone's group and come back through apply().
class FateBook {
public:
  explicit FateBook(FatePolicy policy = {}) : Policy(policy) {}

  // Applies a committed event. Returns false, and changes nothing, if a stale
  // token, an ended request or a repetition makes it void.
  bool apply(const Event &event);

  // Nothing if the request is unknown.
  std::optional<FateView> view(const RequestId &id) const;
  // The state of the request as a whole; nothing if it is unknown.
  std::optional<FateState> stateOf(const RequestId &id) const;
  // Null if unknown.
  const RequestRecord *findRequest(const RequestId &id) const;
  const TaskRecord *findTask(const TaskId &id) const;

  // The event for a new request; nothing for a resend, whose fate is view();
  // DuplicateRequest if the id was used for other work.
  Result<std::optional<Event>> submit(const Submission &work,
                                      Instant now) const;
  // Nothing if it has ended or was cancelled before; NotFound for an unknown
  // request or one of another team.
  Result<std::optional<Event>> cancel(const RequestId &id, const TeamId &team,
                                      Instant now) const;
  // The event that gives up the tasks of a request that surely have not run,
  // for example since no worker could hold them; nothing if there are none.
  std::optional<Event> reject(const RequestId &id, Error why,
                              Instant now) const;
  // The offer of a queued task; nothing if it may not be offered.
  std::optional<Event> offer(const TaskId &id, Term term,
                             const WorkerId &worker, Incarnation start,
                             const Resources &reserved, Instant now) const;

  // The event that changes what a live attempt reserves; nothing if there is no
  // such attempt or it reserves that much already.
  std::optional<Event> changeReservation(const TaskId &id,
                                         const Resources &reserved,
                                         Instant now) const;

  // Events that follow from a worker's report.
  std::vector<Event> report(const WorkerId &worker, Incarnation start,
                            const TaskReport &report, Instant now) const;
  // What to answer to the report once its events are applied: Acknowledge for
  // an ended attempt, Stop for one that must not run, nothing otherwise.
  std::optional<DirectiveKind> answerTo(const WorkerId &worker,
                                        const TaskReport &report) const;

  // The worker's lease and the drift bound have passed.
  std::vector<Event> workerExpired(const WorkerId &worker, Instant now) const;
  // The worker announced itself with incarnation `start`: attempts of earlier
  // starts are gone. To be asked at every sync, since an offer to an earlier
  // start may be committed after the worker came back.
  std::vector<Event> workerRestarted(const WorkerId &worker, Incarnation start,
                                     Instant now) const;
  // The entry host is gone: its live offers are unresolved.
  std::vector<Event> hostLost(const HostId &host, Instant now) const;

  // The offer of a live request, before it leaves; nothing for a resend of one
  // that must not be sent again, whose fate is view().
  Result<std::optional<Event>> offerLive(const LiveOffered &offer) const;

  // At most `max` events that are due by time: overdue starts, unresolved
  // offers, retention.
  std::vector<Event> due(Instant now, std::size_t max) const;

  // To rebuild the planner, in order of id.
  std::vector<Attempt> liveAttempts() const;
  std::vector<TaskId> queuedTasks() const;
  // Attempts on a worker, in order of id. Directives go only to the start of
  // the worker that the attempt names.
  std::vector<Attempt> attemptsOn(const WorkerId &worker) const;
  // The same, counted.
  const WorkerAttempts &onWorker(const WorkerId &worker) const {
    return ByWorker.of(worker);
  }
  // True if the worker said that this attempt runs there and it has not ended.
  bool isRunning(const WorkerId &worker, const TaskId &task,
                 const AttemptToken &token) const;
  const WorkerIndex &byWorker() const { return ByWorker; }
  // Workers with attempts and entry hosts with live offers: a new leader counts
  // their leases from its takeover.
  std::vector<WorkerId> busyWorkers() const;
  std::vector<HostId> busyEntryHosts() const;
  // Reserved by the team's attempts that may be running.
  Resources usedBy(const TeamId &team) const;

  const limits::SliceHoldings &holdings() const { return Holdings; }
  std::size_t size() const { return Requests.size() + LiveRequests.size(); }

  BookState state() const;
  static Result<FateBook> fromState(BookState state, FatePolicy policy = {});

private:
  template <typename Id>
  using TimeIndex = absl::btree_set<std::pair<Instant, Id>>;

  // Both ids of a task, its request and itself.
  struct TaskRef {
    const TaskId &Id;
    RequestRecord &Request;
    TaskRecord &Task;
  };

  bool on(const RequestAccepted &event);
  bool on(const TaskOffered &event);
  bool on(const TaskStarted &event);
  bool on(const ReservationChanged &event);
  bool on(const TaskEnded &event);
  bool on(const AttemptLost &event);
  bool on(const RequestCancelled &event);
  bool on(const RequestRejected &event);
  bool on(const LiveOffered &event);
  bool on(const LiveEnded &event);
  bool on(const FateForgotten &event);
  bool on(const limits::SliceUpdate &event);

  // The task if `token` is its current attempt's, whose end is not known yet.
  std::optional<TaskRef> findOpenAttempt(const TaskId &id,
                                         const AttemptToken &token);
  static bool isOpenAttempt(const TaskRecord &task, const AttemptToken &token);
  // Notes that an attempt has, or may have, started.
  void noteRun(TaskRef ref, Instant at);
  // The attempt does not run any more: frees what it reserved.
  void release(TaskRef ref);
  void end(TaskRef ref, FateState state, std::string text, Instant at);
  // Ends a task that is being stopped.
  void endStopped(TaskRef ref, std::string text, Instant at);
  // Queues the task again, or fails it if it may not run again.
  void retry(TaskRef ref, const std::string &reason, bool isCounted,
             Instant at);
  static PlacedAttempt placed(const TaskRef &ref);
  // Runs `change`, after which the request is being stopped.
  template <typename Change>
  void stopRequest(RequestRecord &request, Change change);
  // Ends the queued tasks of a request that is being stopped.
  void endQueued(RequestRecord &request, const std::string &reason, Instant at);
  // Bookkeeping when the last task has ended.
  void close(RequestRecord &request, Instant at);
  Instant startBy(const RequestRecord &request) const;
  void index(RequestRecord &request);
  void index(const LiveRecord &live);
  void unindex(const LiveRecord &live);

  void indexEnded(Instant at, const RequestId &id, std::size_t tasks);
  void unindexEnded(Instant at, const RequestId &id, std::size_t tasks);
  std::size_t endedTasksOf(const RequestId &id) const;
  // Ended requests that are over their retention.
  void collectForgotten(Instant now, std::size_t max,
                        std::vector<Event> &events) const;
  std::optional<Event> rejectOverdue(const RequestId &id, Instant now) const;
  FateView viewOf(const RequestRecord &request) const;
  FateView viewOf(const LiveRecord &live) const;
  Attempt attemptOf(const RequestRecord &request, uint32_t n) const;

  FatePolicy Policy;
  absl::btree_map<RequestId, RequestRecord> Requests;
  absl::btree_map<RequestId, LiveRecord> LiveRequests;
  limits::SliceHoldings Holdings;
  // Derived from the above.
  WorkerIndex ByWorker;
  absl::btree_map<HostId, absl::btree_set<RequestId>> ByEntryHost;
  absl::btree_map<TeamId, Resources> Used;
  TimeIndex<RequestId> StartBy;
  TimeIndex<TaskId> Unresolved;
  TimeIndex<RequestId> LiveWaiting;
  TimeIndex<RequestId> Ended;
  // Tasks of the requests in `Ended`.
  std::size_t EndedTasks = 0;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_FATE_BOOK_H_
