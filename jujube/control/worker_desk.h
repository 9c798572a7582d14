// The leader's conversation with the workers: leases, starts, stops, ends, and
// what becomes of orders without an answer. A new leader builds one from the
// book alone.
//
// An attempt holds its place until its end is listed, its worker has confirmed
// a stop and does not list it, the worker's life is over, or every lease that
// may have reached the worker has ended on the worker's clock.
#ifndef JUJUBE_CONTROL_WORKER_DESK_H_
#define JUJUBE_CONTROL_WORKER_DESK_H_

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
#include "jujube/jobs/job_book.h"

namespace jujube::control {

// Why an attempt is stopped.
enum class StopReason {
  // Its job was cancelled, has failed, or its task is done elsewhere.
  JobEnded,
  // Another member of its gang has ended.
  GangBroken,
  // Its starts had no answer that tells whether it runs.
  StartUnanswered,
  // Its worker does not list it.
  NotListed,
};

inline constexpr NameTable<StopReason, 4> StopReasonNames = {{
    {StopReason::JobEnded, "job_ended"},
    {StopReason::GangBroken, "gang_broken"},
    {StopReason::StartUnanswered, "start_unanswered"},
    {StopReason::NotListed, "not_listed"},
}};
static_assert(isComplete(StopReasonNames));

class WorkerDesk {
public:
  struct Hooks {
    // Sends an order; calls back once, never within the call.
    std::function<void(dispatch::Order order, Duration timeout,
                       std::function<void(dispatch::OrderAnswer)>)>
        Send;
    // Stores events; `done` is told whether they are stored.
    std::function<void(std::vector<jobs::Event>,
                       std::function<void(bool)> done)>
        Store;
    std::function<Instant()> Now;
    // A worker refused the ticket of a step.
    std::function<void(const jobs::StepKey &, const WorkerId &)> ExpireTicket;
    // The share that tasks which fill get next.
    std::function<int(int share, const std::vector<dispatch::ServingTail> &)>
        NextShare = dispatch::nextShare;
  };

  // `fence` rises with each leader.
  WorkerDesk(Hooks hooks, const jobs::JobBook &book,
             dispatch::LeasePolicy leases, uint64_t fence);

  // Takes over the attempts that the book says may be running.
  void takeOver();

  // True if a later announcement of the same life has arrived.
  bool isOvertaken(const jobs::Announcement &announcement) const;
  // A worker announced itself; its state is in the book already.
  void noteAnnouncement(const jobs::Announcement &announcement);
  // The book's entry of a worker changed or vanished.
  void noteWorkerChanged(const WorkerId &worker);

  // Sends a start that is stored.
  void start(const dispatch::PlannedStart &planned);
  // Ends an attempt that may be running.
  void stop(const jobs::TaskKey &task, StopReason why);
  // The book has dropped an attempt.
  void noteEnded(const jobs::TaskKey &task, const WorkerId &worker);

  // Does what is due; called often.
  void tick();

  // The workers that may be given tasks now.
  std::vector<dispatch::WorkerView> usable() const;
  // Workers that answer, that do not, and that hold leases.
  struct LinkCounts {
    std::size_t Sound = 0;
    std::size_t Silent = 0;
    std::size_t Leased = 0;
  };
  LinkCounts countLinks() const;
  // When the worker was last heard of; nothing if it is not known.
  std::optional<Instant> lastHeard(const WorkerId &worker) const;

private:
  // How long a worker has to answer a start or a stop. Source: some twenty
  // round trips between zones.
  static constexpr Duration OrderTimeout = Duration::millis(250);

  // How long a worker that fails is used only if no other one will do; doubled
  // each time, up to the last. Sources: ten short tasks; as long as such a
  // worker stays in the fleet.
  static constexpr Duration FirstDoubt = Duration::seconds(5);
  static constexpr Duration LastDoubt = Duration::seconds(40);

  enum class Phase {
    // The start was sent and is not answered.
    Starting,
    // The start was answered.
    Running,
    // A stop is to be sent, or was sent and is not answered.
    Stopping,
    // The worker has confirmed the stop.
    Stopped,
  };

  struct RunState {
    uint32_t Attempt = 0;
    Phase Now = Phase::Running;
    // A list that was asked for after this instant has to show the attempt.
    Instant Since;
    // Kept while the start may have to be sent again.
    std::optional<dispatch::StartOrder> Order;
    int Sends = 0;
    // A start had no answer: it may be carried out later.
    bool MayArrive = false;
    bool IsStopSent = false;
    Instant NextSend;
    // What decided the start, for the log.
    int64_t FreeMilliCpu = 0;
    bool IsFar = false;
    Duration Slack;
    // The share that the worker has confirmed; unset if it is not known.
    std::optional<int> Share;
    std::string Checkpoint;
  };

  struct Session {
    dispatch::LeaseClock Clock;
    Incarnation Life;
    uint64_t Sequence = 0;
    Instant LastHeard;
    std::map<jobs::TaskKey, RunState> Runs;
    bool IsAsking = false;
    Instant NextAsk;
    // Consecutive lease orders without an answer, and when the first was noted.
    int Misses = 0;
    Instant SilentSince;
    uint64_t AckedEnds = 0;
    // The number that the worker was last told.
    uint64_t ToldEnds = 0;
    // Ends that are being stored.
    bool IsStoring = false;
    Instant AvoidUntil;
    // The share of tasks that fill, and when it is set next.
    std::optional<int> FillerShare;
    Instant NextPace;
    // The jobs of its last ends that failed, empty ones for those that did not.
    std::deque<jobs::JobId> Outcomes;
    Instant DoubtUntil;
    // How long it is doubted next.
    Duration NextDoubt = FirstDoubt;
  };

  static bool isUsable(const Session &session, const jobs::Worker &held,
                       Instant now);
  Session &sessionOf(const WorkerId &worker);
  std::optional<Address> addressOf(const WorkerId &worker) const;
  void sendStart(const WorkerId &worker, const jobs::TaskKey &task);
  void onStartAnswer(const WorkerId &worker, const jobs::TaskKey &task,
                     uint32_t attempt, const dispatch::OrderAnswer &answer);
  void sendStop(const WorkerId &worker, const jobs::TaskKey &task);
  void onStopAnswer(const WorkerId &worker, const jobs::TaskKey &task,
                    uint32_t attempt, const dispatch::OrderAnswer &answer);
  void askWorker(const WorkerId &worker, Session &session);
  void onLists(const WorkerId &worker, Instant askedAt, uint64_t told,
               const dispatch::OrderAnswer &answer);
  void compareLists(const WorkerId &worker, Session &session, Instant askedAt,
                    const dispatch::OrderAnswer &answer);
  // Slows tasks that fill while tasks that serve miss their targets.
  void pace(const WorkerId &worker, Session &session,
            const std::vector<dispatch::RunningRow> &rows);
  void sendPace(const WorkerId &worker, const jobs::TaskKey &task,
                const RunState &run, int share);
  bool isBounded(const jobs::TaskKey &task) const;
  void stopStray(const WorkerId &worker, const dispatch::RunningRow &row);
  void noteOutcome(Session &session, const jobs::TaskKey &task,
                   jobs::EndKind how);
  // Takes what every answer tells; false if another life answered.
  bool noteAnswer(const WorkerId &worker, Session &session,
                  const dispatch::OrderAnswer &answer);
  void beginLife(const WorkerId &worker, Session &session, Incarnation life);
  void lose(const jobs::TaskKey &task, const RunState &run);
  void noteSilent(const WorkerId &worker, Session &session);
  void noteHeard(const WorkerId &worker, Session &session);
  void tickSession(const WorkerId &worker, Session &session);
  RunState *findRun(const WorkerId &worker, const jobs::TaskKey &task,
                    uint32_t attempt);

  Hooks Callbacks;
  const jobs::JobBook &Book;
  dispatch::LeasePolicy Leases;
  uint64_t Fence;
  std::map<WorkerId, Session> Sessions;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_WORKER_DESK_H_
