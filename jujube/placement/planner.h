// The placement decisions of one availability zone.
//
// A Planner performs no I/O and reads no clock: callers pass in events and
// instants, and plan() returns actions. It is owned by one task, the zone's
// leader, which journals each action before it carries the action out. All
// instants belong to one monotonic time line.
//
// Invariants:
// - the reservations on a worker never exceed its announced capacity; if a
//   worker announces less than is reserved, it gets no new work and surplus
//   tasks are stopped;
// - starting a task never takes the reservations of its team above its slice;
// - a task has at most one reservation, and the tasks of a gang are offered all
//   together or not at all.
#ifndef JUJUBE_PLACEMENT_PLANNER_H_
#define JUJUBE_PLACEMENT_PLANNER_H_

#include <memory>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/types.h"
#include "jujube/fate/types.h"
#include "jujube/placement/policy.h"
#include "jujube/placement/types.h"

namespace jujube::placement {

namespace internal {
struct PlannerState;
} // namespace internal

// Decides the placement of tasks in one zone; see above for its guarantees.
class Planner {
public:
  // Returns InvalidArgument if a hook is not set or an option is out of range.
  static Result<Planner> create(const Options &options, PlacementHooks hooks);
  ~Planner();
  Planner(Planner &&) noexcept;
  Planner &operator=(Planner &&) noexcept;

  // Handles a worker's first or repeated announcement. Announcements of an
  // older incarnation are ignored. A higher incarnation clears the worker's
  // failure history; the reservations of its attempts stay until attemptEnded()
  // is called for each attempt.
  void announceWorker(const fate::WorkerAnnouncement &announcement,
                      Instant now);
  // The worker is silent or gone: it gets no new work until announceWorker() is
  // called again. The reservations of its attempts stay until attemptEnded() is
  // called for each attempt.
  void markWorkerLost(const WorkerId &worker, Instant now);

  // Replaces the weights and ceilings of all teams. A team without a slice
  // starts nothing.
  void setTeams(const std::vector<catalogue::Team> &teams);
  // Sets the slice of the team's ceiling that this zone may use. If the team
  // has more reserved, surplus tasks are stopped.
  void setSlice(const TeamId &team, const Resources &slice);
  // The team's reserved and queued demand, at most its ceiling; the zone uses
  // it to ask for a larger slice.
  Resources wanted(const TeamId &team) const;
  Resources used(const TeamId &team) const;

  // Queues tasks of a request. Tasks that are waiting, placed or finished
  // already are skipped.
  void enqueue(const PendingRequest &request, Instant now);
  // Queues a task again after its attempt ended without a final outcome. A
  // failed task may wait for a backoff first.
  void requeue(const TaskId &task, Instant now);
  // After a change of leader, restore() rebuilds the reservation of an attempt
  // and restoreFinished() marks a task as finished. Call both before enqueue()
  // for the waiting tasks of the request.
  void restore(const fate::Submission &work, Instant acceptedAt,
               const Placed &placed);
  void restoreFinished(const fate::Submission &work, Instant acceptedAt,
                       uint32_t index);

  // The worker confirmed the start of an offered attempt.
  void attemptStarted(const TaskId &task, Instant now);
  // The attempt has ended and uses no resources: releases its reservation and
  // attributes a failure to the worker or the entry. A finished task is never
  // queued again; any other task stays known until requeue() or forget(), and
  // its gang can't start without it. `Refused` also stands for an offer that
  // was never sent.
  void attemptEnded(const TaskId &task, EndKind kind, Instant now);
  // Reports the measured use of a running attempt; the measurement may be some
  // seconds old.
  void recordUsage(const TaskId &task, const Resources &measured);

  // Drops the request's queued tasks; the next plan() stops its placed tasks.
  // Idempotent.
  void cancel(const RequestId &request);
  // Forgets a request that has its final outcome. Every attempt of the request
  // must have been reported with attemptEnded(); otherwise the call has no
  // effect.
  void forget(const RequestId &request);

  // Returns the next actions. Once there are Options::MaxActions actions, no
  // more tasks are offered; stops are not limited.
  std::vector<Action> plan(Instant now);
  // The instant at which plan() must run next even if no event arrives; never()
  // if nothing is due. At most `now` if the last plan() reached its action
  // limit.
  Instant nextPlanAt(Instant now) const;

  PlannerStatus status() const;
  const PlannerCounters &counters() const;
  std::vector<WorkerId> quarantinedWorkers() const;

private:
  explicit Planner(std::unique_ptr<internal::PlannerState> state);

  std::unique_ptr<internal::PlannerState> State;
};

} // namespace jujube::placement

#endif // JUJUBE_PLACEMENT_PLANNER_H_
