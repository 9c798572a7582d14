// One planning pass over the ready steps. Internal to this folder.
#ifndef JUJUBE_DISPATCH_PASS_H_
#define JUJUBE_DISPATCH_PASS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "jujube/dispatch/dispatcher.h"
#include "jujube/dispatch/fleet.h"

namespace jujube::dispatch::internal {

// A ready step that has tasks to start, with the state that the pass reads of
// it.
struct ReadyStep {
  jobs::StepKey Key;
  const jobs::Job *Job = nullptr;
  const jobs::StepSpec *Spec = nullptr;
  const jobs::StepState *State = nullptr;
  const jobs::Queue *Queue = nullptr;
  // Wall time of the occurrence's objective.
  Instant DueBy;
  // Approvals of the step; null if no query has been sent for it.
  const Approvals::Step *Approval = nullptr;

  // Number of tasks that are neither done nor running.
  int64_t waitingTasks() const;
};

// Identifies the demand of one task. Steps with equal keys fit on the same
// workers, approvals and MaxPerWorker aside.
struct DemandKey {
  absl::string_view Pool;
  absl::string_view Label;
  Resources Demand;
  // Processors that a filler task requests; -1 for other tasks.
  int64_t FillerMilliCpu = -1;

  bool operator==(const DemandKey &) const = default;

  template <typename H> friend H AbslHashValue(H state, const DemandKey &key) {
    return H::combine(std::move(state), key.Pool, key.Label,
                      key.Demand.MilliCpu, key.Demand.MemoryMb,
                      key.Demand.Accelerators, key.FillerMilliCpu);
  }
};

// Plans in order of urgency: places the tasks of each ready step, or records
// why they wait and queries approvals for them. Used once, by planStarts(). The
// input and the hooks must outlive it.
class Pass {
public:
  Pass(const DispatchInput &input, const DispatchHooks &hooks);

  // Makes the plan. May be called only once.
  DispatchPlan run();

private:
  // A number of tasks that one worker gets.
  struct Pick {
    NodeIndex Node = 0;
    int64_t Tasks = 0;
  };
  // A worker that may be named in an approval query.
  struct Candidate {
    // Number of tasks of the step that fit into its free capacity.
    int64_t Fit = 0;
    // Orders workers with equal Fit.
    std::size_t TieBreak = 0;
    NodeIndex Node = 0;
    // Number of tasks that a query of it is expected to place.
    double ExpectedTasks = 0;
  };
  // Cached search results for one demand. They stay valid, since free capacity
  // only shrinks during a pass.
  struct DemandState {
    // No worker has the free capacity for a task.
    bool HasNoCapacity = false;
    // Some worker could run a task if it were idle; unset if not computed yet.
    std::optional<bool> IsServable;
    // Some worker of an evacuated zone could; unset if not computed yet.
    std::optional<bool> IsServableElsewhere;
  };
  // A team and its usage, including the starts of this plan.
  struct TeamState {
    // Null if the configuration has no such team.
    const jobs::Team *Team = nullptr;
    Resources Used;
  };
  using NodeSpan = std::span<const NodeIndex>;

  // Workers whose free capacity is reserved for a gang.
  struct Reservation {
    jobs::StepKey Gang;
    std::vector<NodeIndex> Nodes;
  };

  // ---- Order of steps and starts (pass.cc) ----
  // Plans the steps after `after` and before `until` until the work of the pass
  // reaches `budget`; unset bounds are the first and the last step. Without
  // `until`, at least one step is planned, and a cursor is set if steps are
  // left.
  void planRange(const std::optional<StepPosition> &after,
                 const std::optional<StepPosition> &until, std::size_t budget);
  // Work done so far, in the unit of PlanBudget.
  std::size_t work() const;
  ReadyStep readyStep(const jobs::WaitingStep &waiting) const;
  // Places the step's tasks and deals with those that have to wait.
  // At most `maxTasks`, unless it is a gang.
  void planStep(const ReadyStep &step, int64_t maxTasks);
  TeamState &teamOf(const ReadyStep &step);
  // Number of further tasks that the team's maximum allows.
  int64_t teamTaskLimit(const ReadyStep &step);
  // Places up to `wanted` tasks, or all or none of a gang; returns the number
  // placed.
  int64_t place(const ReadyStep &step, int64_t wanted);
  // Starts waiting tasks on the picked workers. All members of a gang get the
  // same attempt number.
  void commit(const ReadyStep &step, const std::vector<Pick> &picks);
  // Adds a start to the plan and allocates its resources.
  void start(const ReadyStep &step, uint32_t index, uint32_t attempt,
             NodeIndex node);

  // ---- Workers for tasks (pass_picks.cc) ----
  // Approved workers that may have the capacity for a task, those with fewer
  // free processors first. For filler tasks the order is unspecified.
  std::vector<NodeIndex> candidateNodes(const ReadyStep &step);
  // Workers with a valid ticket, those with fewer free processors first.
  std::vector<NodeIndex> nodesWithTicket(const ReadyStep &step);
  // The pick functions choose workers out of `nodes` for up to `wanted` tasks.
  // They return nothing for a gang that does not fit whole. This one keeps all
  // tasks on one rack.
  std::vector<Pick> pickOnOneRack(const ReadyStep &step, NodeSpan nodes,
                                  int64_t wanted);
  std::vector<Pick> pick(const ReadyStep &step, NodeSpan nodes, int64_t wanted);
  // Spreads filler tasks over the workers with the most processors left over.
  std::vector<Pick> pickForFiller(const ReadyStep &step, NodeSpan nodes,
                                  int64_t wanted);
  // Preference of a worker for the step; lower tiers are used first. In
  // order of weight: the worker is not suspect, no waiting task of the step
  // failed there last, it is not cold if the step is urgent, and it is on the
  // rack that holds the data.
  int tierOf(const ReadyStep &step, const Fleet::Node &node,
             const std::vector<const WorkerId *> &failedOn) const;
  // True if a slow start would make the step late.
  bool isUrgent(const ReadyStep &step) const;
  // The workers on which waiting tasks of the step failed last.
  static std::vector<const WorkerId *> failedOn(const ReadyStep &step);

  // ---- Capacity (pass_capacity.cc) ----
  // Reserves as many workers as the gang needs, so that less urgent steps stay
  // off them and enough capacity becomes free at the same time.
  void reserveForGang(const ReadyStep &step);
  // Workers that could be reserved for the step.
  std::vector<NodeIndex> reservableNodes(const ReadyStep &step);
  // Restores the previous plan's reservations for gangs that are still waiting
  // and that this pass has not planned yet.
  void restoreReservations(const std::vector<GangReservation> &previous);
  // The reservations made so far, for the cursor.
  std::vector<GangReservation> reservations() const;
  void addWait(const ReadyStep &step, int64_t tasks, WaitCause why);
  // Why `tasks` more tasks of the step can't be placed; a gang needs capacity
  // for all of them at once.
  WaitCause waitCause(const ReadyStep &step, int64_t tasks);
  DemandState &demandState(const ReadyStep &step);
  // True if some worker has the free capacity for a task; ignores approval and
  // MaxPerWorker.
  bool hasCapacityAnywhere(const ReadyStep &step);
  // True if some worker could run a task of the step if it were idle.
  bool isServable(const ReadyStep &step);
  // True if some worker of an evacuated zone could.
  bool isServableInEvacuatedZone(const ReadyStep &step);
  // The workers to search for capacity: a superset of those that have the free
  // capacity for a task.
  NodeSpan nodesToSearch(const ReadyStep &step) const;
  // Number of further tasks of the step that the worker can take; ignores
  // approval.
  int64_t taskCapacityOn(const ReadyStep &step, NodeIndex index) const;
  // True if the worker has the free capacity for a task; ignores approval and
  // MaxPerWorker.
  bool hasCapacity(const ReadyStep &step, const Fleet::Node &node) const;
  // Fills TasksOn if the step has a bound per worker.
  void countTasks(const ReadyStep &step);
  int64_t tasksOn(NodeIndex index) const;
  // True if the worker could run a task of the step if it were idle.
  static bool isEligible(const ReadyStep &step, const jobs::Worker &worker);
  // True if the worker is not on the rack that holds the step's data.
  static bool isDataRemote(const ReadyStep &step, const jobs::Worker &worker);
  // Number of tasks of the step that fit into `free` on one worker.
  static int64_t fitCount(const ReadyStep &step, const Resources &free);

  // ---- Approvals (pass_approvals.cc) ----
  // Queries approval of workers for `tasks` more tasks, as far as the plan may
  // add queries. Short queries name workers with free capacity; the answer
  // arrives before that capacity is taken. Other queries are sent ahead, so
  // that a ticket is valid by the time capacity becomes free.
  void queryApproval(const ReadyStep &step, int64_t tasks);
  // The workers of a short or medium query: as many as are expected to be
  // enough for `tasks`; none if a gang is unlikely to fit on them.
  std::vector<NodeIndex> nodesForQuery(const ReadyStep &step, int64_t tasks);
  // The workers of long queries. Renews the tickets if one of them expires
  // before a later query could be answered, and names unknown workers unless
  // enough are approved. May be more than one query names.
  std::vector<NodeIndex> nodesForLongQueries(const ReadyStep &step);
  // The approved workers, if one of their tickets has to be renewed now.
  std::vector<NodeIndex> nodesToRenew(const ReadyStep &step);
  // Number of tasks that a candidate is expected to take once it is approved.
  static double expectedTasks(const Candidate &it);
  // True if the worker may be named in a query of the step.
  bool isQueryable(const ReadyStep &step, NodeIndex index) const;
  // The approved workers whose tickets have expired and that may be named in a
  // query.
  std::vector<Candidate> expiredCandidates(const ReadyStep &step);
  // Workers of unknown approval that may be named in a query, those with the
  // most free capacity first, at most `most`.
  std::vector<Candidate> unknownCandidates(const ReadyStep &step,
                                           std::size_t most);
  // Number of workers of the pass whose approval is known.
  std::size_t knownWorkers(const ReadyStep &step);
  // The workers among which a query searches first.
  NodeSpan nodesToQuery(const ReadyStep &step) const;
  Candidate candidate(const ReadyStep &step, NodeIndex index);
  // True if the worker is in this state and no query in flight names it.
  bool isCandidate(const ReadyStep &step, NodeIndex index, ApprovalState state);
  // The workers that are approved for the step, with or without a valid ticket.
  const std::vector<NodeIndex> &approvedNodes(const ReadyStep &step);
  // Number of tasks of the step that the worker could run if it were idle.
  int64_t fitIdle(const ReadyStep &step, NodeIndex index) const;
  // A hash that orders equal workers differently for each step, so that
  // concurrent queries name different workers.
  static std::size_t tieBreakHash(const jobs::StepKey &step,
                                  const WorkerId &worker);

  const DispatchInput &Input;
  const DispatchHooks &Hooks;
  Fleet Workers;
  absl::flat_hash_map<DemandKey, DemandState> Demands;
  absl::flat_hash_map<absl::string_view, TeamState> Teams;
  // Running tasks of the current step by worker; filled only if the step has a
  // bound per worker.
  absl::flat_hash_map<NodeIndex, int64_t> TasksOn;
  // The result of approvedNodes() for the current step.
  std::optional<std::vector<NodeIndex>> ApprovedNodes;
  std::vector<Reservation> Reservations;
  absl::flat_hash_set<jobs::StepKey> PlannedGangs;
  // Short and medium queries.
  std::size_t ShortQueries = 0;
  std::size_t LongQueries = 0;
  DispatchPlan Plan;
};

} // namespace jujube::dispatch::internal

#endif // JUJUBE_DISPATCH_PASS_H_
