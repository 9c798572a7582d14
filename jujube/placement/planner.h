// The placement decisions of one availability zone.
//
// A Planner is pure: events and instants go in, actions come out of plan(). It
// belongs to one task, the zone's leader, which journals each action before it
// acts on it. All instants are on one time line that never goes back.
//
// Invariants:
// - the reservations on a worker never exceed what it announced; if it
//   announces less, it gets no new work and the surplus is stopped;
// - the reservations of a team never pass its slice at a start;
// - a task is reserved at most once, and a gang is offered whole or not at all.
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

class Planner {
public:
  // Fails with InvalidArgument if a hook is not set or an option is out of
  // range.
  static Result<Planner> create(const Options &options, PlacementHooks hooks);
  ~Planner();
  Planner(Planner &&) noexcept;
  Planner &operator=(Planner &&) noexcept;

  // A worker announced itself, or again. A higher incarnation clears what was
  // held against it; the attempts on it stay reserved until they are ended().
  void workerSeen(const fate::WorkerAnnouncement &worker, Instant now);
  // The worker is silent or gone: it gets no new work until it is seen again.
  // Its attempts stay reserved until each is ended().
  void workerLost(const WorkerId &worker, Instant now);

  // Replaces the teams' weights and ceilings. A team without a slice starts
  // nothing.
  void setTeams(const std::vector<catalogue::Team> &teams);
  // The part of the team's ceiling that this zone may use. If less than is
  // reserved, the surplus is stopped.
  void setSlice(const TeamId &team, const Resources &slice);
  // Reserved and queued demand, for asking for a larger slice.
  Resources wanted(const TeamId &team) const;
  Resources used(const TeamId &team) const;

  // Queues tasks of a request. Tasks that are known already are not queued
  // twice.
  void enqueue(const PendingRequest &request, Instant now);
  // Queues a task again after its attempt ended without an outcome that counts.
  // A failed task waits for its back-off first.
  void requeue(const TaskId &task, Instant now);
  // Rebuild the reservation of an attempt, and the knowledge of a task that has
  // finished, after a change of leader. Waiting tasks are enqueued after them.
  void restore(const fate::Submission &work, Instant acceptedAt,
               const Placed &placed);
  void restoreFinished(const fate::Submission &work, Instant acceptedAt,
                       uint32_t index);

  // A worker confirmed the start of an offered attempt.
  void started(const TaskId &task, Instant now);
  // The attempt is over and holds nothing any more: frees its reservation and
  // feeds blame. A finished task is forgotten; others stay known until they are
  // requeued or the request is forgotten, and a gang waits for them. `Refused`
  // also serves for an offer that was not made.
  void ended(const TaskId &task, EndKind kind, Instant now);
  // Measured use of a running attempt, some seconds old.
  void usage(const TaskId &task, const Resources &measured);

  // Drops the request's queued tasks; plan() returns StopTask for those placed.
  // Repeating it changes nothing.
  void cancel(const RequestId &request);
  // The request has its final outcome. Its attempts must have ended().
  void forget(const RequestId &request);

  // Decides what to do next. It offers no more once there are
  // Options::MaxActions actions; stops are never held back.
  std::vector<Action> plan(Instant now);
  // When plan() has something to do again if no event comes before; never() if
  // nothing is due. Not later than `now` if the last plan() was cut short.
  Instant nextPlanAt(Instant now) const;

  PlannerStatus status() const;
  const PlannerCounters &counters() const;
  std::vector<WorkerId> quarantined() const;

private:
  explicit Planner(std::unique_ptr<internal::PlannerState> state);

  std::unique_ptr<internal::PlannerState> State;
};

} // namespace jujube::placement

#endif // JUJUBE_PLACEMENT_PLANNER_H_
