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
#include "jujube/limits/zone_slices.h"

namespace jujube::fate {

// How long fates are kept.
struct FatePolicy {
  // Ended requests are forgotten after this span; a resend after it is a new
  // request.
  Duration Retention = Duration::minutes(24 * 60);
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
  // True if the attempt is to be stopped for good.
  bool IsStopping = false;
  // Offers so far.
  uint32_t Attempts = 0;
  // Attempts that count against the entry's MaxAttempts.
  uint32_t Failures = 0;
  AttemptToken Token;
  WorkerId Worker;
  Incarnation Start;
  Resources Reserved;
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
  std::vector<TaskRecord> Tasks;

  bool operator==(const RequestRecord &) const = default;
};

// A live request as the book keeps it.
struct LiveRecord {
  LiveOffered Offer;
  FateState State = FateState::Offered;
  Instant EndedAt = Instant::never();
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
  // The event that gives up a request before it started, for example since no
  // worker could hold it; nothing if no task is queued.
  std::optional<Event> reject(const RequestId &id, Error why,
                              Instant now) const;
  // The offer of a queued task; nothing if it may not be offered.
  std::optional<Event> offer(const TaskId &id, Term term,
                             const WorkerId &worker, Incarnation start,
                             const Resources &reserved, Instant now) const;

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
  // starts are gone.
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
  // Attempts on a worker, in order of id.
  std::vector<Attempt> attemptsOn(const WorkerId &worker) const;
  // Reserved by the team's attempts that may be running.
  Resources usedBy(const TeamId &team) const;

  const limits::SliceHoldings &holdings() const { return Holdings; }
  std::size_t size() const { return Requests.size() + LiveRequests.size(); }

  BookState state() const;
  static Result<FateBook> fromState(BookState state, FatePolicy policy = {});

private:
  using TimeIndex = absl::btree_set<std::pair<Instant, RequestId>>;

  bool on(const RequestAccepted &event);
  bool on(const TaskOffered &event);
  bool on(const TaskStarted &event);
  bool on(const TaskEnded &event);
  bool on(const AttemptLost &event);
  bool on(const RequestCancelled &event);
  bool on(const RequestRejected &event);
  bool on(const LiveOffered &event);
  bool on(const LiveEnded &event);
  bool on(const FateForgotten &event);
  bool on(const limits::SliceUpdate &event);

  RequestRecord *find(const RequestId &id);
  TaskRecord *findCurrent(const TaskId &id, const AttemptToken &token);
  // The attempt does not run any more: frees what it reserved.
  void release(const TaskId &id, const RequestRecord &request,
               TaskRecord &task);
  void enqueue(const TaskId &id, RequestRecord &request, TaskRecord &task);
  void end(const TaskId &id, RequestRecord &request, TaskRecord &task,
           FateState state, std::string text, Instant at);
  // Ends queued tasks and stops attempts of the request.
  void stopAll(const RequestId &id, RequestRecord &request, FateState queuedAs,
               const std::string &text, Instant at);
  void retry(const TaskId &id, RequestRecord &request, TaskRecord &task,
             const std::string &reason, bool isCounted, Instant at);
  // Bookkeeping when the last task has ended.
  void close(const RequestId &id, RequestRecord &request, Instant at);
  void index(const RequestId &id, const RequestRecord &request);
  void indexLive(const LiveRecord &live);

  FatePolicy Policy;
  absl::btree_map<RequestId, RequestRecord> Requests;
  absl::btree_map<RequestId, LiveRecord> LiveRequests;
  limits::SliceHoldings Holdings;
  // Derived from the above.
  absl::btree_set<TaskId> Queued;
  absl::btree_map<WorkerId, absl::btree_set<TaskId>> ByWorker;
  absl::btree_map<HostId, absl::btree_set<RequestId>> ByEntryHost;
  absl::btree_map<TeamId, Resources> Used;
  TimeIndex StartBy;
  TimeIndex ResolveBy;
  TimeIndex ForgetAt;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_FATE_BOOK_H_
