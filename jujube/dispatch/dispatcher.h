// Decides which tasks of stepped jobs start where, and which approvals are
// asked for. Pure: it reads the book and what is known of the workers and
// returns orders; the owner stores them before they leave.
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
#include "jujube/jobs/job_book.h"
#include "jujube/jobs/objective.h"

namespace jujube::dispatch {

// What is known of one worker beside the book. Only workers that may be given
// tasks now are listed.
struct WorkerView {
  const jobs::Worker *Who = nullptr;
  // Not used unless no other worker will do, for example after failures.
  bool IsDoubtful = false;
};

// Where a step stands in the order of plans.
struct StepPosition {
  int32_t Priority = 0;
  // It can't be done by its objective any more.
  bool IsLate = false;
  Instant DueBy;
  jobs::StepKey Key;

  auto operator<=>(const StepPosition &) const = default;
};

// Behaviour that varies; each has a default.
struct DispatchHooks {
  // True if the step goes before those of its priority for which this is false.
  // Called only for steps whose objective has not passed. Default: it can still
  // be in time.
  std::function<bool(const jobs::WaitingStep &, Instant wallNow)> CanBeInTime;
};
DispatchHooks defaultHooks();

// A start to be stored and sent.
struct PlannedStart {
  jobs::AttemptStarted Start;
  std::string Ticket;
  // What decided it, for the log: processors that the worker had free, and
  // whether the task's data is elsewhere.
  int64_t FreeMilliCpu = 0;
  bool IsFar = false;
  // What is left until the job's objective.
  Duration Slack;
};

// Why a step that is ready has tasks that do not start.
enum class WaitCause {
  // No worker that may run it has room.
  Room,
  // Its team has what it may have running.
  TeamMaximum,
  // Workers with room are not approved, or not yet.
  Approval,
  // No worker that can be used now could run it, even if it were empty.
  NoWorker,
};

inline constexpr NameTable<WaitCause, 4> WaitCauseNames = {{
    {WaitCause::Room, "room"},
    {WaitCause::TeamMaximum, "team_maximum"},
    {WaitCause::Approval, "approval"},
    {WaitCause::NoWorker, "no_worker"},
}};
static_assert(isComplete(WaitCauseNames));

struct StepWait {
  jobs::StepKey Step;
  WaitCause Why = WaitCause::Room;
  // Tasks that wait.
  std::size_t Tasks = 0;
};

// Workers on which room is kept for a gang.
struct HeldRoom {
  jobs::StepKey Gang;
  std::vector<WorkerId> Workers;
};

// Where a plan ended that had used up its budget.
struct PlanCursor {
  // The last step that was handled.
  StepPosition After;
  std::vector<HeldRoom> Held;
};

// What a plan may cost beside indexing the workers: one for each pair that is
// looked at, and StepWork for each step. Source: some milliseconds on a host
// with 0.4 of a core, which is little beside a leader's heartbeat.
inline constexpr std::size_t PlanBudget = 20'000;
inline constexpr std::size_t StepWork = 10;

struct DispatchPlan {
  std::vector<PlannedStart> Starts;
  std::vector<jobs::ApprovalQuery> Queries;
  std::vector<StepWait> Waits;
  // Pairs of a step and a worker that were looked at, and workers that were
  // indexed: what the plan cost.
  std::size_t Examined = 0;
  // Steps that were handled.
  std::size_t Steps = 0;
  // Set if steps were left for the next plan, which goes on from here once the
  // starts of this one are in the book.
  std::optional<PlanCursor> Cut;
};

struct DispatchInput {
  const jobs::JobBook &Book;
  // In order of their ids.
  std::vector<WorkerView> Workers;
  const Approvals &Approved;
  // For tickets.
  Instant Now;
  // For due times.
  Instant WallNow;
  // Most approval queries that may be added: of long ones, and of the others.
  std::size_t MaxShortQueries = 0;
  std::size_t MaxLongQueries = 0;
  // Ends after the step that exceeds it.
  std::size_t Budget = PlanBudget;
  // Where the last plan was cut. The most urgent steps go first nevertheless,
  // for half of the budget.
  std::optional<PlanCursor> Resume = {};
};

// How long a query for approval takes, which decides when it is made.
enum class QueryLength {
  // It is answered before the room that it was made for is gone.
  Short,
  // It is made ahead of room.
  Medium,
  // Its fixed part exceeds what naming more workers costs: it names all that it
  // can, and tickets are renewed before they expire. It keeps the host that
  // makes it busy for so long that others should not wait behind it.
  Long,
};

inline constexpr NameTable<QueryLength, 3> QueryLengthNames = {{
    {QueryLength::Short, "short"},
    {QueryLength::Medium, "medium"},
    {QueryLength::Long, "long"},
}};
static_assert(isComplete(QueryLengthNames));

QueryLength lengthOf(const jobs::ApprovalTerms &terms);
// How long a query that names so many workers takes.
Duration queryTime(const jobs::ApprovalTerms &terms, std::size_t workers);

using jobs::dueAt;
using jobs::objectiveOf;

DispatchPlan planStarts(const DispatchInput &input, const DispatchHooks &hooks);

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_DISPATCHER_H_
