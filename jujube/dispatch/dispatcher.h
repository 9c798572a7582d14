// Plans which tasks of stepped jobs start on which workers, and which approval
// queries are sent. Planning is a pure function of the replicated job state,
// the workers and the approvals. The caller replicates the starts before it
// sends them to the workers.
#ifndef JUJUBE_DISPATCH_DISPATCHER_H_
#define JUJUBE_DISPATCH_DISPATCHER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/dispatch/approvals.h"
#include "jujube/jobs/job_state_machine.h"
#include "jujube/jobs/objective.h"

namespace jujube::dispatch {

// One worker that may be given tasks now, with the leader's local knowledge of
// it.
struct WorkerView {
  const jobs::Worker *Worker = nullptr;
  // Set, for example, after failures: the worker gets tasks only if no other
  // worker can take them.
  bool IsSuspect = false;
  // The worker has started recently and is still slow.
  bool IsCold = false;
};

// The groups in which the steps of one priority are planned, one after the
// other.
enum class StepPhase {
  // Among the steps of all priorities that have waited longest beyond their
  // objectives; planned first, so that nothing waits without end.
  Aged,
  // Can finish by its objective, and its team is within its share.
  Timely,
  // Can finish by its objective, and its team is over its share.
  OverShare,
  // Can no longer finish by its objective.
  Late,
};

inline constexpr NameTable<StepPhase, 4> StepPhaseNames = {{
    {StepPhase::Aged, "aged"},
    {StepPhase::Timely, "timely"},
    {StepPhase::OverShare, "over_share"},
    {StepPhase::Late, "late"},
}};
static_assert(isComplete(StepPhaseNames));

// The sort key of steps in a plan; lower positions are planned first.
struct StepPosition {
  int32_t Priority = 0;
  StepPhase Phase = StepPhase::Timely;
  Instant DueBy;
  jobs::StepKey Key;

  auto operator<=>(const StepPosition &) const = default;
};

// Replaceable policies of the planner; defaultHooks() sets all of them.
struct DispatchHooks {
  // Returns true for steps that are planned before the other steps of the same
  // priority. Called only for steps whose objective has not passed. The default
  // returns true while the step can still finish by its objective.
  std::function<bool(const jobs::WaitingStep &, Instant wallNow)>
      CanMeetObjective;
  // Returns true for steps that are planned before steps of the same priority
  // that can finish by their objectives, too. The same for all steps of a team
  // and rate during a plan. The default returns true.
  std::function<bool(const jobs::WaitingStep &)> IsWithinShare;
};
DispatchHooks defaultHooks();

// The start of one task, to be replicated and then sent to the worker.
struct PlannedStart {
  jobs::AttemptStarted Start;
  // Empty if the queue needs no approval.
  std::string Ticket;
  // The remaining members only explain the decision in the log. Free processors
  // of the worker before this start.
  int64_t FreeMilliCpu = 0;
  // The worker is not on the rack that holds the step's data.
  bool IsDataRemote = false;
  // Time until the step's objective; negative once it has passed.
  Duration Slack;
};

// Why tasks of a ready step do not start.
enum class WaitCause {
  // No eligible worker has enough free capacity.
  Capacity,
  // The step's team is at its maximum.
  TeamMaximum,
  // Workers with free capacity are denied, or no approval has arrived yet.
  Approval,
  // No usable worker could run a task of the step, even if it were idle.
  NoWorker,
  // The same, and workers of evacuated zones could.
  Evacuated,
};

inline constexpr NameTable<WaitCause, 5> WaitCauseNames = {{
    {WaitCause::Capacity, "room"},
    {WaitCause::TeamMaximum, "team_maximum"},
    {WaitCause::Approval, "approval"},
    {WaitCause::NoWorker, "no_worker"},
    {WaitCause::Evacuated, "evacuated"},
}};
static_assert(isComplete(WaitCauseNames));

struct StepWait {
  jobs::StepKey Step;
  WaitCause Cause = WaitCause::Capacity;
  // Number of tasks that wait.
  std::size_t Tasks = 0;
};

// Workers whose free capacity is reserved for a gang.
struct GangReservation {
  jobs::StepKey Gang;
  std::vector<WorkerId> Workers;
};

// Where a plan stopped because its budget was used up.
struct PlanCursor {
  // The last step that the plan handled.
  StepPosition After;
  std::vector<GangReservation> Reservations;
};

// Most work of one plan, not counting the indexing of workers. A pair of a step
// and a worker counts 1, a step counts WorkPerStep. The budget is used up in a
// few milliseconds on a host with 0.4 of a core, which is short beside a
// leader's heartbeat interval.
inline constexpr std::size_t PlanBudget = 20'000;
// Work counted for each step, in pairs.
inline constexpr std::size_t WorkPerStep = 10;

// Which of the steps that have waited longest are planned first.
struct AgedWindow {
  // The most steps; 0 for none.
  std::size_t Steps = 0;
  // The window begins at this one of them, counted around, so that steps that
  // can't start do not keep others out for ever.
  std::size_t Offset = 0;
};

// Most tasks of an aged step that a plan starts before those of other steps.
inline constexpr int64_t MaxAgedTasks = 8;

struct DispatchPlan {
  std::vector<PlannedStart> Starts;
  std::vector<jobs::ApprovalQuery> Queries;
  std::vector<StepWait> Waits;
  // Pairs of a step and a worker that were examined, plus the workers that were
  // indexed.
  std::size_t Examined = 0;
  // Number of steps that were handled.
  std::size_t Steps = 0;
  // Set if the budget ran out before the last step. The next plan continues
  // from here after this plan's starts have been applied to the job state.
  std::optional<PlanCursor> NextCursor;
};

struct DispatchInput {
  const jobs::JobStateMachine &Book;
  // Ordered by worker id.
  std::vector<WorkerView> Workers;
  const Approvals &Approved;
  // Steady time, for the validity of tickets.
  Instant Now;
  // Wall time, for due times and objectives.
  Instant WallNow;
  // Most short and medium queries that the plan may add.
  std::size_t MaxShortQueries = 0;
  // Most long queries that the plan may add.
  std::size_t MaxLongQueries = 0;
  // The plan stops after the step that exceeds this.
  std::size_t Budget = PlanBudget;
  // Where the previous plan stopped, if it did not reach the last step. Half of
  // the budget still goes to the steps before this position, which are the most
  // urgent ones.
  std::optional<PlanCursor> Resume = {};
  // Not used if Resume is set.
  AgedWindow Aged = {};
};

// How long the fixed part of an approval query takes; decides when queries are
// sent and how many workers they name.
enum class QueryLength {
  // Sent once workers have free capacity: the answer arrives before that
  // capacity is taken.
  Short,
  // Sent before workers have free capacity.
  Medium,
  // The fixed part takes longer than naming more workers, so a query names as
  // many as it may, and tickets are renewed before they expire. Limited
  // separately, since a query occupies the host that makes it for so long that
  // other queries should not queue behind it.
  Long,
};

inline constexpr NameTable<QueryLength, 3> QueryLengthNames = {{
    {QueryLength::Short, "short"},
    {QueryLength::Medium, "medium"},
    {QueryLength::Long, "long"},
}};
static_assert(isComplete(QueryLengthNames));

QueryLength lengthOf(const jobs::ApprovalTerms &terms);
// Expected duration of a query that names `workers` workers.
Duration queryTime(const jobs::ApprovalTerms &terms, std::size_t workers);

using jobs::dueAt;
using jobs::objectiveOf;

// Plans one round of starts and approval queries.
DispatchPlan planStarts(const DispatchInput &input, const DispatchHooks &hooks);

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_DISPATCHER_H_
