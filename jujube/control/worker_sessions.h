// The leader's sessions with the workers: leases, starts, stops, ends, and the
// recovery of orders without an answer. A new leader builds the sessions from
// the replicated job state alone.
//
// An attempt occupies its resources until the worker lists its end; the present
// incarnation of the worker has confirmed a stop and no longer lists the
// attempt; another worker answers in its place; or every lease that may have
// reached the worker has expired. That a worker has restarted does not end its
// attempts: the next incarnation takes orders that were meant for the one
// before, since neither names an incarnation.
#ifndef JUJUBE_CONTROL_WORKER_SESSIONS_H_
#define JUJUBE_CONTROL_WORKER_SESSIONS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/dispatch/dispatcher.h"
#include "jujube/dispatch/lease_clock.h"
#include "jujube/dispatch/orders.h"
#include "jujube/dispatch/pacing.h"
#include "jujube/jobs/job_state_machine.h"

namespace jujube::control {

// Why an attempt is stopped.
enum class StopReason {
  // The job was cancelled or has failed, or another attempt of the task is
  // done.
  JobEnded,
  // Another task of the gang has ended.
  GangBroken,
  // It is unknown whether it runs, because a start order was not answered.
  StartUnanswered,
  // The worker does not list it as running.
  NotListed,
};

inline constexpr NameTable<StopReason, 4> StopReasonNames = {{
    {StopReason::JobEnded, "job_ended"},
    {StopReason::GangBroken, "gang_broken"},
    {StopReason::StartUnanswered, "start_unanswered"},
    {StopReason::NotListed, "not_listed"},
}};
static_assert(isComplete(StopReasonNames));

// Owned by the control task while it leads, and not thread-safe. The job state
// passed to the constructor must outlive the sessions.
class WorkerSessions {
public:
  struct Hooks {
    // Sends an order. Calls back once, never before it returns.
    std::function<void(dispatch::Order order, Duration timeout,
                       std::function<void(dispatch::OrderAnswer)>)>
        Send;
    // Stores events; `done` is called with true if they were stored.
    std::function<void(std::vector<jobs::Event>,
                       std::function<void(bool)> done)>
        Store;
    std::function<Instant()> Now;
    // True while no other leader can have been elected. Without it, a lease
    // could be granted that the next leader does not wait for.
    std::function<bool()> MayGrant = [] { return true; };
    // Called when a worker refused the ticket of a step.
    std::function<void(const jobs::StepKey &, const WorkerId &)> ExpireTicket;
    // Computes the next share of filler tasks, in percent.
    std::function<int(int share, const std::vector<dispatch::ServingTail> &)>
        NextShare = dispatch::nextShare;
  };

  // `term` is that of the leader. At most `maxWaitingOrders` lease orders wait
  // at workers at the same time, since each occupies a connection.
  WorkerSessions(Hooks hooks, const jobs::JobStateMachine &book,
                 dispatch::LeasePolicy leases, uint64_t term,
                 std::size_t maxWaitingOrders = SIZE_MAX);

  // Takes over the attempts that may be running according to the job state.
  void takeOver();

  // True if a later announcement of the same incarnation has arrived.
  bool isStale(const jobs::Announcement &announcement) const;
  // Handles an announcement of a worker that is already in the job state.
  void noteAnnouncement(const jobs::Announcement &announcement);
  // Withholds leases and new tasks from a registered worker until it answers an
  // order. Its attempts are kept: only their own evidence ends them.
  void verify(const WorkerId &worker);
  // Handles the change or removal of a worker in the job state.
  void noteWorkerChanged(const WorkerId &worker);

  // Sends the start order of an attempt that is stored.
  void start(const dispatch::PlannedStart &planned);
  // Stops an attempt that may be running.
  void stop(const jobs::TaskKey &task, StopReason why);
  // Forgets an attempt that was removed from the job state.
  void noteEnded(const jobs::TaskKey &task, const WorkerId &worker);

  // Sends the orders that are due, unless MayGrant() is false. Called
  // periodically.
  void tick();

  // The workers that may be given tasks now.
  std::vector<dispatch::WorkerView> usable() const;
  // The number of workers that answer, that do not answer, and that hold
  // leases.
  struct LinkCounts {
    std::size_t Answering = 0;
    std::size_t Silent = 0;
    std::size_t Leased = 0;
  };
  LinkCounts countLinks() const;
  // When the worker was last heard from; nullopt if it is unknown.
  std::optional<Instant> lastHeard(const WorkerId &worker) const;

private:
  // How long a worker has to answer a start or a stop: about twenty round trips
  // between zones.
  static constexpr Duration OrderTimeout = Duration::millis(250);

  // How late a worker may carry out an order that it did not answer.
  static constexpr Duration MaxOrderDelay = Duration::seconds(12);

  // How long a worker whose tasks fail is used only if no other worker fits.
  // The span doubles each time, from the time of ten short tasks to as long as
  // such a worker stays in the fleet.
  static constexpr Duration FirstSuspectSpan = Duration::seconds(5);
  static constexpr Duration MaxSuspectSpan = Duration::seconds(40);

  enum class Phase {
    // The start was sent and has no answer yet.
    Starting,
    // The start was answered.
    Running,
    // A stop is to be sent, or was sent and has no answer yet.
    Stopping,
    // The worker has confirmed the stop.
    Stopped,
    // It has ended, but the job state does not say so yet. The event is being
    // stored, or was refused and has to be stored again.
    Ended,
  };

  struct RunState {
    uint32_t Attempt = 0;
    Phase State = Phase::Running;
    // A list requested after this instant must contain the attempt.
    Instant Since;
    // Kept while the start may have to be resent.
    std::optional<dispatch::StartOrder> Order;
    int Sends = 0;
    // A start got no answer, and may still arrive at the worker until
    // LatestArrival.
    bool MayArrive = false;
    Instant LatestArrival;
    // The incarnation that the session knows has listed it as running.
    bool IsListed = false;
    bool IsStopPending = false;
    // In Phase::Ended: the event is being stored.
    bool IsEndPending = false;
    Instant NextSend;
    // Inputs of the placement decision, for the log.
    int64_t FreeMilliCpu = 0;
    bool IsDataRemote = false;
    Duration Slack;
    // The share that the worker has confirmed, in percent; nullopt if unknown.
    std::optional<int> Share;
    std::string Checkpoint;
  };

  struct Session {
    dispatch::LeaseClock Clock;
    Incarnation WorkerIncarnation;
    // Part of the fence of all orders to this incarnation.
    uint64_t FenceNumber = 0;
    // The worker has carried out an order with the present fence, and refuses
    // those with earlier ones.
    bool IsFenceConfirmed = false;
    uint64_t Sequence = 0;
    Instant LastHeard;
    std::map<jobs::TaskKey, RunState> Runs;
    bool IsLeaseOrderPending = false;
    // The pending lease order waits at the worker.
    bool IsOrderWaiting = false;
    Instant NextLeaseOrder;
    // Consecutive lease orders without an answer, and when the first of them
    // was noticed.
    int Misses = 0;
    Instant SilentSince;
    // Set by verify(), by a restart, and when another worker answered at its
    // address.
    bool IsUnverified = false;
    uint64_t AckedEnds = 0;
    // The last value of AckedEnds that the worker has received.
    uint64_t ConfirmedAckedEnds = 0;
    // True while ends listed by the worker are being stored.
    bool IsStoring = false;
    Instant AvoidUntil;
    // The share of filler tasks, in percent, and when it is next adjusted.
    std::optional<int> FillerShare;
    Instant NextPace;
    // Outcomes of the last tasks, oldest first: the job if the task failed, an
    // empty id if it succeeded.
    std::deque<jobs::JobId> Outcomes;
    Instant SuspectUntil;
    // The worker is slow until then, as it said.
    Instant ColdUntil;
    // The length of the next span in which it is suspect.
    Duration NextSuspectSpan = FirstSuspectSpan;
  };

  using AnswerHook = std::function<void(const dispatch::OrderAnswer &)>;
  // Sends an order with the present fence to the current incarnation of a
  // worker. An answer that is not surely from this incarnation counts as no
  // answer.
  void send(const WorkerId &worker, const Address &at, dispatch::OrderBody what,
            Duration timeout, AnswerHook done);
  static bool isUsable(const Session &session, const jobs::Worker &held,
                       Instant now);
  Session &sessionOf(const WorkerId &worker);
  std::optional<Address> addressOf(const WorkerId &worker) const;
  void sendStart(const WorkerId &worker, const jobs::TaskKey &task);
  // Sends the start no more; it may have been carried out.
  void giveUpStart(const WorkerId &worker, const jobs::TaskKey &task,
                   RunState &run);
  void onStartAnswer(const WorkerId &worker, const jobs::TaskKey &task,
                     uint32_t attempt, const dispatch::OrderAnswer &answer);
  void sendStop(const WorkerId &worker, const jobs::TaskKey &task);
  void onStopAnswer(const WorkerId &worker, const jobs::TaskKey &task,
                    uint32_t attempt, const dispatch::OrderAnswer &answer);
  void sendLeaseOrder(const WorkerId &worker, Session &session);
  void onLeaseAnswer(const WorkerId &worker, Instant askedAt,
                     uint64_t sentAckedEnds,
                     const dispatch::OrderAnswer &answer);
  void reconcileLists(const WorkerId &worker, Session &session, Instant askedAt,
                      const dispatch::OrderAnswer &answer);
  // Throttles filler tasks while serving tasks miss their response targets.
  void adjustFillerShare(const WorkerId &worker, Session &session,
                         const std::vector<dispatch::ReportedAttempt> &rows);
  void sendPaceOrder(const WorkerId &worker, const jobs::TaskKey &task,
                     const RunState &run, int share);
  bool hasUnavailabilityLimit(const jobs::TaskKey &task) const;
  void stopStray(const WorkerId &worker, const dispatch::ReportedAttempt &row);
  void noteOutcome(Session &session, const jobs::TaskKey &task,
                   jobs::EndKind how);
  // Records the fields common to all answers. Returns false if another
  // incarnation answered.
  bool noteAnswer(const WorkerId &worker, Session &session,
                  const dispatch::OrderAnswer &answer);
  void beginIncarnation(const WorkerId &worker, Session &session,
                        Incarnation life);
  // Notes that a start of the attempt may be carried out late.
  void noteMayArrive(RunState &run);
  // True once no lease can keep the attempt running, on any incarnation.
  static bool hasExpired(const Session &session, const RunState &run,
                         Instant now);
  // Ends the attempts that have expired. Returns false if any is left.
  bool endExpired(const WorkerId &worker, Session &session);
  // Stores that the attempt has ended. tick() repeats this until the job state
  // has the end.
  void storeLost(const WorkerId &worker, const jobs::TaskKey &task,
                 RunState &run);
  void noteSilent(const WorkerId &worker, Session &session);
  void noteHeard(const WorkerId &worker, Session &session);
  void tickSession(const WorkerId &worker, Session &session);
  RunState *findRun(const WorkerId &worker, const jobs::TaskKey &task,
                    uint32_t attempt);

  Hooks Callbacks;
  const jobs::JobStateMachine &Book;
  dispatch::LeasePolicy Leases;
  uint64_t Term;
  std::size_t MaxWaitingOrders;
  std::size_t WaitingOrders = 0;
  // The highest FenceNumber of any session, also of those that are gone: a
  // worker may come back with the same incarnation.
  uint64_t LastFenceNumber = 0;
  std::map<WorkerId, Session> Sessions;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_WORKER_SESSIONS_H_
