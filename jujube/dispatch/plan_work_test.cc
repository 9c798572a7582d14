// Bounds the work of plans with long backlogs, and tests plans that continue
// after their budget was used up.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <rapidcheck/boost_test.h>
#include <set>
#include <string>

#include "jujube/dispatch/dispatcher.h"
#include "testing/job_samples.h"

namespace jujube::dispatch {
namespace {

using testing::sampleJob;
using testing::sampleStep;
using testing::sampleWorker;
using testing::taskOf;

constexpr int Workers = 350;
constexpr int WaitingJobs = 2500;
constexpr std::size_t Queries = 30;
const Instant Now = Instant::fromMillis(10'000);

// Waiting jobs of two tasks on a fleet on which each worker has `free`
// thousandths of a processor free.
jobs::JobStateMachine backlog(int64_t free) {
  jobs::JobStateMachine book;
  jobs::Configuration config = testing::sampleConfiguration();
  config.Queues[0].Approval = {Duration::millis(9), 0.13,
                               Duration::millis(1500)};
  book.apply(jobs::ConfigurationPut{config});
  for (int i = 0; i < Workers; ++i) {
    const std::string id = "w" + std::to_string(i);
    const std::string filler = "run" + std::to_string(i);
    book.apply(jobs::WorkerChanged{sampleWorker(id, 16'000)});
    book.apply(jobs::JobAccepted{
        sampleJob(filler, {sampleStep(1, 16'000 - free)}), Now});
    book.apply(jobs::AttemptStarted{taskOf(filler, 0), 1, WorkerId(id)});
  }
  for (int i = 0; i < WaitingJobs; ++i)
    book.apply(jobs::JobAccepted{
        sampleJob("wait" + std::to_string(i), {sampleStep(2, 2000)}),
        Instant::fromMillis(1000 + i)});
  return book;
}

DispatchPlan planOf(const jobs::JobStateMachine &book,
                    std::size_t budget = 1'000'000'000,
                    const std::optional<PlanCursor> &resume = {}) {
  std::vector<WorkerView> views;
  for (const auto &[id, worker] : book.workers())
    views.push_back({&worker});
  return planStarts(
      {book, views, Approvals(), Now, Now, Queries, Queries, budget, resume},
      defaultHooks());
}

std::size_t workOf(const DispatchPlan &plan) {
  return plan.Examined - Workers + plan.Steps * WorkPerStep;
}

BOOST_AUTO_TEST_SUITE(PlanWorkTest)

BOOST_AUTO_TEST_CASE(BacklogOnAFullFleetIsNotLookedAtWorkerByWorker) {
  const DispatchPlan plan = planOf(backlog(1000));
  BOOST_TEST(plan.Starts.empty());
  BOOST_TEST(plan.Waits.size() == std::size_t{WaitingJobs});
  BOOST_TEST(plan.Examined <= std::size_t{WaitingJobs + 2 * Workers});
}

BOOST_AUTO_TEST_CASE(BacklogThatWaitsForApprovalIsNotLookedAtWorkerByWorker) {
  const DispatchPlan plan = planOf(backlog(4000));
  BOOST_TEST(plan.Queries.size() == Queries);
  BOOST_TEST(plan.Examined <=
             4 * std::size_t{WaitingJobs} + Queries * std::size_t{Workers});
}

BOOST_AUTO_TEST_CASE(PlansEndOnceTheirBudgetIsUsed) {
  constexpr std::size_t LargestStep = std::size_t{4} * Workers;
  for (const int64_t free : {1000, 4000}) {
    const jobs::JobStateMachine book = backlog(free);
    std::optional<PlanCursor> at;
    int plans = 0;
    std::set<jobs::StepKey> seen;
    do {
      const DispatchPlan plan = planOf(book, 3000, at);
      BOOST_TEST(workOf(plan) <= 3000 + LargestStep);
      for (const StepWait &wait : plan.Waits)
        seen.insert(wait.Step);
      at = plan.NextCursor;
    } while (at && ++plans < WaitingJobs);
    BOOST_TEST(!at.has_value());
    BOOST_TEST(seen.size() == std::size_t{WaitingJobs});
  }
}

BOOST_AUTO_TEST_CASE(UrgentWorkGoesFirstThoughTheLastPlanWasCut) {
  jobs::JobStateMachine book = backlog(1000);
  const DispatchPlan cut = planOf(book, 3000);
  BOOST_REQUIRE(cut.NextCursor.has_value());
  jobs::Configuration config = book.configuration();
  config.Version = 2;
  config.Queues.push_back(config.Queues[0]);
  config.Queues[0].Priority = 1;
  config.Queues[1].Id = jobs::QueueId("urgent");
  config.Queues[1].PathPrefix = "/urgent/";
  config.Queues[1].Approval.reset();
  book.apply(jobs::ConfigurationPut{config});
  jobs::JobSpec urgent = sampleJob("z", {sampleStep(1, 500)});
  urgent.Queue = jobs::QueueId("urgent");
  book.apply(jobs::JobAccepted{urgent, Now});
  PlanCursor at = *cut.NextCursor;
  at.After.Priority = 1;
  const DispatchPlan plan = planOf(book, 3000, at);
  BOOST_REQUIRE(plan.Starts.size() == 1U);
  BOOST_TEST((plan.Starts[0].Start.Task == taskOf("z", 0)));
}

BOOST_AUTO_TEST_CASE(PlanOfTheGreatestPriorityNumberEnds) {
  jobs::JobStateMachine book;
  jobs::Configuration config = testing::sampleConfiguration();
  config.Queues[0].Priority = INT32_MAX;
  book.apply(jobs::ConfigurationPut{config});
  book.apply(jobs::WorkerChanged{sampleWorker("w1", 1000)});
  for (const char *id : {"a", "b"})
    book.apply(jobs::JobAccepted{sampleJob(id, {sampleStep(1)}), Now});
  const DispatchPlan plan = planOf(book);
  BOOST_TEST(plan.Starts.size() == 1U);
  BOOST_TEST(plan.Waits.size() == 1U);
}

// A gang waits for capacity, and a step that follows it in the plan would take
// that capacity if the reservation were lost between two plans.
BOOST_AUTO_TEST_CASE(GangReservationsOutlastAPlanThatWasCut) {
  jobs::StepSpec gang = sampleStep(3);
  gang.IsGang = true;
  gang.Estimate = Duration::seconds(1);
  jobs::JobStateMachine book;
  book.apply(jobs::ConfigurationPut{testing::sampleConfiguration()});
  for (const char *id : {"w1", "w2", "w3", "w4"})
    book.apply(jobs::WorkerChanged{sampleWorker(id, 1000)});
  for (const char *id : {"w2", "w3"}) {
    const std::string job = std::string("run") + id;
    book.apply(jobs::JobAccepted{sampleJob(job, {sampleStep(1)}), Now});
    book.apply(jobs::AttemptStarted{taskOf(job, 0), 1, WorkerId(id)});
  }
  book.apply(jobs::JobAccepted{sampleJob("gang", {gang}), Now});
  book.apply(jobs::JobAccepted{sampleJob("later", {sampleStep(2, 900)}), Now});
  const DispatchPlan whole = planOf(book);
  const DispatchPlan first = planOf(book, 1);
  BOOST_REQUIRE(first.NextCursor.has_value());
  BOOST_TEST(first.Starts.empty());
  const DispatchPlan second = planOf(book, 1, first.NextCursor);
  BOOST_TEST(!second.NextCursor.has_value());
  BOOST_TEST(second.Starts.size() == whole.Starts.size());
  BOOST_TEST(whole.Starts.empty());
}

// For any waiting steps and budgets, consecutive plans handle every step and
// keep to the capacities of workers and the team's maximum.
RC_BOOST_PROP(CutPlansReachEveryStepAndKeepBounds, ()) {
  jobs::JobStateMachine book;
  jobs::Configuration config = testing::sampleConfiguration();
  config.Teams[0].Maximum = {*rc::gen::inRange(1000, 9000), 0, 0};
  book.apply(jobs::ConfigurationPut{config});
  for (int i = 0; i < 3; ++i)
    book.apply(jobs::WorkerChanged{sampleWorker("w" + std::to_string(i))});
  const int jobs = *rc::gen::inRange(1, 20);
  std::set<jobs::StepKey> open;
  for (int i = 0; i < jobs; ++i) {
    jobs::StepSpec step = sampleStep(*rc::gen::inRange<uint32_t>(1, 4),
                                     *rc::gen::inRange(500, 3000));
    step.IsGang = *rc::gen::arbitrary<bool>();
    step.Estimate = Duration::seconds(*rc::gen::inRange(0, 3));
    const std::string id = "j" + std::to_string(i);
    book.apply(
        jobs::JobAccepted{sampleJob(id, {step}),
                          Instant::fromMillis(*rc::gen::inRange(1, 9999))});
    open.insert({jobs::JobId(id), 0, 0});
  }
  std::optional<PlanCursor> at;
  int plans = 0;
  do {
    const DispatchPlan plan =
        planOf(book, *rc::gen::inRange<std::size_t>(0, 60), at);
    for (const StepWait &wait : plan.Waits)
      open.erase(wait.Step);
    for (const PlannedStart &it : plan.Starts) {
      open.erase(jobs::stepOf(it.Start.Task));
      book.apply(it.Start);
    }
    at = plan.NextCursor;
  } while (at && ++plans <= jobs);
  RC_ASSERT(!at.has_value());
  RC_ASSERT(open.empty());
  RC_ASSERT(book.usedBy(testing::SampleTeam).MilliCpu <=
            config.Teams[0].Maximum.MilliCpu);
  for (const auto &[id, worker] : book.workers())
    RC_ASSERT(book.loadOf(id).Used.fitsIn(worker.Capacity));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::dispatch
