// Stateful property test that checks the planner against the ledger.
#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "absl/strings/str_cat.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/placement/planner.h"
#include "jujube/replay/ledger.h"

namespace jujube {
namespace {

using catalogue::Urgency;
using catalogue::WorkClass;
using placement::EndKind;
using placement::Planner;

enum class StepKind {
  SeeWorker,
  LoseWorker,
  SetSlice,
  Submit,
  EndTask,
  MeasureUsage,
  Cancel,
  ChangeLeader,
  Wait,
  Plan,
};

inline constexpr NameTable<StepKind, 10> StepKindNames = {{
    {StepKind::SeeWorker, "see_worker"},
    {StepKind::LoseWorker, "lose_worker"},
    {StepKind::SetSlice, "set_slice"},
    {StepKind::Submit, "submit"},
    {StepKind::EndTask, "end_task"},
    {StepKind::MeasureUsage, "measure_usage"},
    {StepKind::Cancel, "cancel"},
    {StepKind::ChangeLeader, "change_leader"},
    {StepKind::Wait, "wait"},
    {StepKind::Plan, "plan"},
}};
static_assert(isComplete(StepKindNames));

// An event with two numbers that select its subject and parameters.
struct Step {
  StepKind Kind = StepKind::Plan;
  uint32_t A = 0;
  uint32_t B = 0;
};

void showValue(const Step &step, std::ostream &out) {
  out << nameIn(StepKindNames, step.Kind) << "(" << step.A << "," << step.B
      << ")";
}

rc::Gen<Step> steps() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::Kind,
                   rc::gen::map(rc::gen::inRange(0, 17),
                                [](int n) {
                                  // Submissions and plans are more frequent.
                                  return n < 10   ? static_cast<StepKind>(n)
                                         : n < 13 ? StepKind::Submit
                                                  : StepKind::Plan;
                                })),
      rc::gen::set(&Step::A, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Step::B, rc::gen::inRange(0U, 1000U)));
}

constexpr uint32_t WorkerCount = 6;
constexpr uint32_t TeamCount = 3;
constexpr Resources FullWorker = {8000, 16000, 1};
constexpr Resources Ceiling = {24000, 60000, 4};
// Maximum number of one-second rounds for finishing all feasible work.
constexpr int DrainRounds = 400;

TeamId teamAt(uint32_t n) {
  return TeamId(absl::StrCat("team", n % TeamCount));
}

WorkerId workerAt(uint32_t n) {
  return WorkerId(absl::StrCat("w", n % WorkerCount));
}

// Returns entry `n`; the entries cover all mixes of class, urgency and options.
catalogue::Entry entryAt(uint32_t n) {
  catalogue::Entry entry;
  entry.Id = EntryId(absl::StrCat("entry", n % 24));
  entry.Owner = teamAt(n % 24);
  entry.Class = static_cast<WorkClass>(n % 4 % 3);
  entry.Priority = n % 5 == 0 ? Urgency::Urgent : Urgency::Normal;
  entry.Demand = {int64_t{500} << (n % 24 % 5), int64_t{1000} << (n % 3),
                  n % 7 == 0 ? 1 : 0};
  entry.MaxRunning = n % 6 == 0 ? 4 : 0;
  entry.CanCheckpoint = n % 2 == 0;
  entry.CanThrottle = n % 3 == 0;
  entry.IsIdempotent = n % 8 != 1;
  return entry;
}

// The part of a zone's journal that records reservations. Like the script, it
// treats each end of an attempt as one after which the task may run again.
class Journal {
public:
  void submitted(fate::Submission work) {
    work.Entry.Class = WorkClass::Batch;
    work.Entry.IsIdempotent = true;
    work.Entry.MaxAttempts = UINT32_MAX;
    StateMachine.apply(fate::RequestAccepted{work, Instant()});
  }

  void apply(const std::vector<placement::Action> &actions) {
    for (const placement::Action &action : actions) {
      if (const auto *offer = std::get_if<placement::Offer>(&action))
        commit(StateMachine.offer(offer->Task, Term{1}, offer->Worker,
                                  Incarnation{1}, offer->Reserved, Instant()));
      if (const auto *change = std::get_if<placement::ThrottleTask>(&action))
        commit(StateMachine.changeReservation(change->Task, change->Grant,
                                              Instant()));
    }
  }

  void ended(const TaskId &id, EndKind kind) {
    const auto phase = kind == EndKind::Finished ? fate::TaskPhase::Finished
                                                 : fate::TaskPhase::Stopped;
    StateMachine.apply(fate::TaskEnded{id, StateMachine.findTask(id)->Token,
                                       phase, "", Instant()});
  }

  Resources reserved(const TaskId &id) const {
    return StateMachine.findTask(id)->Reserved;
  }

private:
  void commit(const std::optional<fate::Event> &event) {
    if (event)
      StateMachine.apply(*event);
  }

  fate::FateStateMachine StateMachine;
};

// A planner, a ledger and a journal that receive the same events.
class PlannerHarness {
public:
  explicit PlannerHarness(placement::PolicyName policy)
      : Policy(policy), PlannerUnderTest(makePlanner(policy)) {
    for (uint32_t i = 0; i < TeamCount; ++i)
      setSlice(i, Ceiling);
  }

  void run(const Step &step) {
    switch (step.Kind) {
    case StepKind::SeeWorker:
      return announceWorker(step.A, sizeAt(step.B), step.B % 9 == 0,
                            step.B % 4 == 0);
    case StepKind::LoseWorker:
      return loseWorker(step.A);
    case StepKind::SetSlice:
      return setSlice(step.A, {int64_t{1000} * (step.B % 25), 60000, 4});
    case StepKind::Submit:
      return submit(step.A, 1 + step.B % 5, step.B % 11 == 0);
    case StepKind::EndTask:
      return endPlacedTask(step.A, static_cast<EndKind>(step.B % 5));
    case StepKind::MeasureUsage:
      return measure(step.A, step.B);
    case StepKind::Cancel:
      return cancel(step.A);
    case StepKind::ChangeLeader:
      return changeLeader();
    case StepKind::Wait:
      Now = Now + Duration::millis(int64_t{step.A} * step.B / 20);
      return;
    case StepKind::Plan:
      return plan();
    }
  }

  // Restores all workers and finishes running tasks until all work is done.
  void drain() {
    for (uint32_t i = 0; i < TeamCount; ++i)
      setSlice(i, Ceiling);
    for (uint32_t i = 0; i < WorkerCount; ++i)
      announceWorker(i, FullWorker, false, true);
    for (int round = 0; round < DrainRounds && !isDone(); ++round) {
      for (const auto &[id, isStopping] : placedTasks())
        end(id, isStopping ? EndKind::Stopped : EndKind::Finished);
      Now = Now + Duration::seconds(1);
      plan();
    }
    RC_ASSERT(isDone());
    RC_ASSERT(PlannerUnderTest.status().QueuedTasks == 0U);
    RC_ASSERT(PlannerUnderTest.status().PlacedTasks == 0U);
    RC_ASSERT(PlannerUnderTest.status().Reserved == Resources{});
  }

private:
  static placement::Options options(placement::PolicyName policy) {
    placement::Options options;
    options.Policy = policy;
    options.MaxActions = 16;
    options.SettleTime = Duration();
    return options;
  }

  static Planner makePlanner(placement::PolicyName policy) {
    Planner planner =
        valueOf(Planner::create(options(policy), placement::hooksFor(policy)));
    std::vector<catalogue::Team> teams;
    for (uint32_t i = 0; i < TeamCount; ++i)
      teams.push_back({teamAt(i), i + 1, Ceiling});
    planner.setTeams(teams);
    return planner;
  }

  // Replaces the planner. The new planner receives the waiting and placed tasks
  // from the journal, and the workers announce themselves again.
  void changeLeader() {
    PlannerUnderTest = makePlanner(Policy);
    for (const auto &[team, slice] : Slices)
      PlannerUnderTest.setSlice(team, slice);
    for (const auto &[id, request] : DecisionLedger.requests())
      restoreRequest(request);
    for (const auto &[id, worker] : Announced)
      if (DecisionLedger.workers().at(id).IsServing)
        PlannerUnderTest.announceWorker(worker, Now);
  }

  void restoreRequest(const replay::Ledger::Request &request) {
    placement::PendingRequest pending = {request.Work, Now, {}, request.HasRun};
    for (uint32_t i = 0; i < request.Tasks.size(); ++i) {
      const replay::Ledger::Task &task = request.Tasks[i];
      const TaskId id = {request.Work.Request, i};
      if (task.State == replay::TaskState::Placed)
        PlannerUnderTest.restore(request.Work, Now,
                                 {id, task.Worker,
                                  ReservationJournal.reserved(id), Now,
                                  task.IsStopping});
      if (task.State == replay::TaskState::Done)
        PlannerUnderTest.restoreFinished(request.Work, Now, i);
      if (task.State == replay::TaskState::Waiting)
        pending.Tasks.push_back(i);
    }
    if (!pending.Tasks.empty())
      PlannerUnderTest.enqueue(pending, Now);
    if (request.IsCancelled)
      PlannerUnderTest.cancel(request.Work.Request);
  }

  static Resources sizeAt(uint32_t n) {
    return n % 3 == 0 ? Resources{2000 + n * 4, 8000, 0} : FullWorker;
  }

  void announceWorker(uint32_t n, const Resources &capacity, bool isLeaving,
                      bool isNew) {
    Incarnation &start = Starts[workerAt(n)];
    if (isNew)
      start = start.next();
    const RackId rack(absl::StrCat("rack", n % WorkerCount / 2));
    const fate::WorkerAnnouncement announcement = {workerAt(n), start, rack,
                                                   capacity, isLeaving};
    Announced[announcement.Worker] = announcement;
    PlannerUnderTest.announceWorker(announcement, Now);
    DecisionLedger.announceWorker(announcement);
  }

  void loseWorker(uint32_t n) {
    if (!Starts.contains(workerAt(n)))
      return;
    PlannerUnderTest.markWorkerLost(workerAt(n), Now);
    DecisionLedger.markWorkerLost(workerAt(n));
  }

  void setSlice(uint32_t n, const Resources &slice) {
    Slices[teamAt(n)] = slice;
    PlannerUnderTest.setSlice(teamAt(n), slice);
    DecisionLedger.setSlice(teamAt(n), slice);
  }

  void submit(uint32_t n, uint32_t tasks, bool hasDeadline) {
    fate::Submission work;
    work.Request = RequestId(absl::StrCat("z.r", Submitted++));
    work.Entry = entryAt(n);
    work.Team = work.Entry.Owner;
    work.Tasks = tasks;
    work.StartWithin = hasDeadline ? Duration::seconds(5) : Duration();
    placement::PendingRequest pending = {work, Now, {}};
    for (uint32_t i = 0; i < tasks; ++i)
      pending.Tasks.push_back(i);
    DecisionLedger.submitted(work);
    ReservationJournal.submitted(work);
    PlannerUnderTest.enqueue(pending, Now);
    // Submitting the same work again has no effect.
    PlannerUnderTest.enqueue(pending, Now);
  }

  std::vector<std::pair<TaskId, bool>> placedTasks() const {
    std::vector<std::pair<TaskId, bool>> placed;
    for (const auto &[id, request] : DecisionLedger.requests())
      for (uint32_t i = 0; i < request.Tasks.size(); ++i)
        if (request.Tasks[i].State == replay::TaskState::Placed)
          placed.emplace_back(TaskId{id, i}, request.Tasks[i].IsStopping);
    return placed;
  }

  void end(const TaskId &id, EndKind kind) {
    PlannerUnderTest.attemptEnded(id, kind, Now);
    DecisionLedger.ended(id, kind);
    ReservationJournal.ended(id, kind);
    if (kind == EndKind::Finished)
      return;
    PlannerUnderTest.requeue(id, Now);
    DecisionLedger.requeued(id);
  }

  void endPlacedTask(uint32_t n, EndKind kind) {
    const auto placed = placedTasks();
    if (!placed.empty())
      end(placed[n % placed.size()].first, kind);
  }

  void measure(uint32_t n, uint32_t amount) {
    const auto placed = placedTasks();
    if (placed.empty())
      return;
    const TaskId id = placed[n % placed.size()].first;
    PlannerUnderTest.attemptStarted(id, Now);
    PlannerUnderTest.recordUsage(
        id, {int64_t{8} * amount, int64_t{16} * amount, 0});
  }

  void cancel(uint32_t n) {
    if (Submitted == 0)
      return;
    const RequestId id(absl::StrCat("z.r", n % Submitted));
    PlannerUnderTest.cancel(id);
    PlannerUnderTest.cancel(id);
    DecisionLedger.cancelled(id);
  }

  void plan() {
    const auto actions = PlannerUnderTest.plan(Now);
    const auto findings = DecisionLedger.apply(actions);
    ReservationJournal.apply(actions);
    for (const replay::Finding &finding : findings)
      RC_FAIL(absl::StrCat(nameIn(replay::ViolationNames, finding.What), " ",
                           finding.Detail));
    for (uint32_t i = 0; i < TeamCount; ++i)
      RC_ASSERT(PlannerUnderTest.used(teamAt(i)) ==
                DecisionLedger.reservedBy(teamAt(i)));
    RC_ASSERT(PlannerUnderTest.status().PlacedTasks == placedTasks().size());
  }

  bool isDone() const {
    return std::ranges::all_of(DecisionLedger.requests(), [](const auto &item) {
      const replay::Ledger::Request &request = item.second;
      const bool isOver = request.IsCancelled || request.IsRejected;
      return std::ranges::all_of(
          request.Tasks, [isOver](const replay::Ledger::Task &task) {
            return task.State == replay::TaskState::Done ||
                   (isOver && task.State == replay::TaskState::Idle);
          });
    });
  }

  placement::PolicyName Policy;
  Planner PlannerUnderTest;
  std::map<TeamId, Resources> Slices;
  std::map<WorkerId, fate::WorkerAnnouncement> Announced;
  replay::Ledger DecisionLedger;
  Journal ReservationJournal;
  Instant Now;
  uint32_t Submitted = 0;
  std::map<WorkerId, Incarnation> Starts;
};

BOOST_AUTO_TEST_SUITE(PlacementOracleSuite)

RC_BOOST_PROP(DecisionsKeepTheRules, ()) {
  const auto policy = static_cast<placement::PolicyName>(*rc::gen::inRange(
      0, static_cast<int>(placement::PolicyNameNames.size())));
  const auto script = *rc::gen::container<std::vector<Step>>(steps());
  PlannerHarness harness(policy);
  for (const Step &step : script)
    harness.run(step);
  harness.drain();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube
