#include "jujube/dispatch/dispatcher.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck/boost_test.h>
#include <set>
#include <utility>

#include "jujube/dispatch/servable.h"
#include "testing/job_samples.h"

namespace jujube::dispatch {
namespace {

using testing::sampleBook;
using testing::sampleJob;
using testing::sampleStep;
using testing::sampleWorker;
using testing::taskOf;

const Instant Now = Instant::fromMillis(10'000);

std::vector<WorkerView> viewsOf(const jobs::JobStateMachine &book) {
  std::vector<WorkerView> views;
  for (const auto &[id, worker] : book.workers())
    views.push_back({&worker});
  return views;
}

DispatchPlan planOf(const jobs::JobStateMachine &book,
                    const Approvals &approved = Approvals()) {
  return planStarts({book, viewsOf(book), approved, Now, Now, 100, 100},
                    defaultHooks());
}

void applyStarts(jobs::JobStateMachine &book, const DispatchPlan &plan) {
  for (const PlannedStart &planned : plan.Starts)
    book.apply(planned.Start);
}

std::set<std::string> workersOf(const DispatchPlan &plan) {
  std::set<std::string> workers;
  for (const PlannedStart &planned : plan.Starts)
    workers.insert(planned.Start.Worker.str());
  return workers;
}

// A job state whose queue needs approval.
jobs::JobStateMachine approvedBook(const std::vector<jobs::Worker> &workers,
                                   const std::vector<jobs::JobSpec> &specs) {
  jobs::JobStateMachine book = sampleBook(workers, specs);
  jobs::Configuration config = testing::sampleConfiguration(2);
  config.Queues[0].Approval = {Duration::millis(10), 1, Duration::millis(1500)};
  book.apply(jobs::ConfigurationPut{config});
  return book;
}

BOOST_AUTO_TEST_SUITE(DispatcherTest)

BOOST_AUTO_TEST_CASE(NoWorkerExceedsItsCapacity) {
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1"), sampleWorker("w2")},
                 {sampleJob("a", {sampleStep(20, 1500)})});
  applyStarts(book, planOf(book));
  BOOST_TEST(book.loadOf(WorkerId("w1")).Used.MilliCpu == 3000);
  BOOST_TEST(book.loadOf(WorkerId("w2")).Used.MilliCpu == 3000);
  BOOST_TEST(planOf(book).Starts.empty());
}

BOOST_AUTO_TEST_CASE(TeamStaysWithinItsMaximum) {
  jobs::JobStateMachine book = sampleBook(
      {sampleWorker("w1", 50'000)},
      {sampleJob("a", {sampleStep(10)}), sampleJob("b", {sampleStep(10)})});
  jobs::Configuration config = testing::sampleConfiguration(2);
  config.Teams[0].Maximum = {7500, 0, 0};
  book.apply(jobs::ConfigurationPut{config});
  applyStarts(book, planOf(book));
  BOOST_TEST(book.usedBy(testing::SampleTeam).MilliCpu == 7000);
  BOOST_TEST(planOf(book).Starts.empty());
}

// Load: more timely work than room, of a team over its share and of another.
BOOST_AUTO_TEST_CASE(StepsOverTheirShareComeAfterTimelyOnesOfOthers) {
  jobs::JobSpec mine = sampleJob("b", {sampleStep(1)});
  mine.Team = TeamId("calm");
  jobs::JobStateMachine book = sampleBook(
      {sampleWorker("w1", 1000)}, {sampleJob("a", {sampleStep(1)}), mine});
  const Approvals none;
  const Instant now = book.find(jobs::JobId("a"))->AcceptedAt;
  DispatchHooks hooks = defaultHooks();
  hooks.IsWithinShare = [](const jobs::WaitingStep &step) {
    return step.Team == TeamId("calm");
  };
  const auto firstJob = [&](Instant at, std::size_t budget) {
    DispatchInput input{book, viewsOf(book), none, at, at};
    input.Budget = budget;
    const DispatchPlan plan = planStarts(input, hooks);
    return plan.Starts.empty() ? "" : plan.Starts[0].Start.Task.Job.str();
  };
  BOOST_TEST(firstJob(now, PlanBudget) == "b");
  // A team over its share gets what nobody else wants.
  hooks.IsWithinShare = [](const jobs::WaitingStep &) { return false; };
  BOOST_TEST(firstJob(now, PlanBudget) == "a");
  // Work that can't be in time any more comes after it.
  hooks.IsWithinShare = [](const jobs::WaitingStep &step) {
    return step.Team == TeamId("calm");
  };
  BOOST_TEST(firstJob(now + Duration::millis(2500), PlanBudget) == "a");
}

// Each step is read exactly once by plans that continue one another, whatever
// the shares are.
BOOST_AUTO_TEST_CASE(PlansThatContinueReadEachStepOnce) {
  std::vector<jobs::JobSpec> specs;
  for (int i = 0; i < 40; ++i) {
    specs.push_back(sampleJob("j" + std::to_string(i), {sampleStep(1)}));
    specs.back().Team = TeamId("t" + std::to_string(i % 4));
    specs.back().Steps[0].Estimate =
        Duration::millis(int64_t{500} * (1 + i % 5));
  }
  const jobs::JobStateMachine book = sampleBook({}, specs);
  const Approvals none;
  DispatchHooks hooks = defaultHooks();
  hooks.IsWithinShare = [](const jobs::WaitingStep &step) {
    return step.Team.str() < "t2";
  };
  for (const int64_t elapsed : {0, 1500, 4000, 70'000, 100'000}) {
    const Instant at =
        book.find(jobs::JobId("j0"))->AcceptedAt + Duration::millis(elapsed);
    std::multiset<std::string> read;
    std::optional<PlanCursor> cursor;
    for (int plans = 0; plans < 100; ++plans) {
      DispatchInput input{book, {}, none, at, at};
      // Half of it goes to the steps before the cursor.
      input.Budget = 4 * WorkPerStep;
      input.Aged = {3, static_cast<std::size_t>(3 * plans)};
      input.Resume = std::exchange(cursor, std::nullopt);
      DispatchPlan plan = planStarts(input, hooks);
      std::set<std::string> inPlan;
      for (const StepWait &wait : plan.Waits)
        BOOST_TEST(inPlan.insert(wait.Step.Job.str()).second);
      read.insert(inPlan.begin(), inPlan.end());
      cursor = std::move(plan.NextCursor);
      if (!cursor)
        break;
    }
    BOOST_TEST(std::set<std::string>(read.begin(), read.end()).size() ==
               specs.size());
  }
}

// Load: urgent work without end, and a job of the lowest priority that has
// waited for minutes.
BOOST_AUTO_TEST_CASE(WhatHasWaitedForMinutesBeyondItsObjectiveComesFirst) {
  jobs::JobSpec old = sampleJob("old", {sampleStep(1)});
  jobs::JobStateMachine book = sampleBook({sampleWorker("w1", 1000)}, {old});
  jobs::Configuration config = testing::sampleConfiguration(2);
  config.Queues.push_back(config.Queues[0]);
  config.Queues[0].Priority = 5;
  config.Queues[1].Id = jobs::QueueId("urgent");
  config.Queues[1].PathPrefix = "/urgent/";
  book.apply(jobs::ConfigurationPut{config});
  const Approvals none;
  for (const auto &[waited, chosen] : {std::pair(Duration::seconds(50), "new"),
                                       {Duration::seconds(80), "old"}}) {
    jobs::JobStateMachine later = book;
    const Instant at = book.find(jobs::JobId("old"))->AcceptedAt + waited;
    jobs::JobSpec fresh = sampleJob("new", {sampleStep(1)});
    fresh.Queue = jobs::QueueId("urgent");
    later.apply(jobs::JobAcceptedAt{{fresh, at}, {"a.example", "/urgent/"}});
    DispatchInput input{later, viewsOf(later), none, at, at};
    input.Aged = {1, 0};
    const DispatchPlan plan = planStarts(input, defaultHooks());
    BOOST_REQUIRE(plan.Starts.size() == 1U);
    BOOST_TEST(plan.Starts[0].Start.Task.Job.str() == chosen);
  }
}

// Load: a zone is emptied, and a job fits only there.
BOOST_AUTO_TEST_CASE(WaitForAnEvacuatedZoneIsNamed) {
  jobs::Worker large = sampleWorker("w1", 8000);
  large.Zone = ZoneId("north");
  jobs::JobStateMachine book =
      sampleBook({large, sampleWorker("w2", 2000)},
                 {sampleJob("a", {sampleStep(1, 4000)}),
                  sampleJob("b", {sampleStep(1, 16000)})});
  book.apply(jobs::ZoneEvacuated{ZoneId("north")});
  const Approvals none;
  const DispatchPlan plan =
      planStarts({book, {{book.findWorker(WorkerId("w2"))}}, none, Now, Now},
                 defaultHooks());
  BOOST_TEST(plan.Starts.empty());
  BOOST_REQUIRE(plan.Waits.size() == 2U);
  for (const StepWait &wait : plan.Waits)
    BOOST_TEST(
        (wait.Cause == (wait.Step.Job.str() == "a" ? WaitCause::Evacuated
                                                   : WaitCause::NoWorker)));
}

// Load: a zone with most of the workers that were asked about is emptied.
BOOST_AUTO_TEST_CASE(OtherWorkersAreAskedAboutWhenAZoneIsEmptied) {
  std::vector<jobs::Worker> workers;
  for (int i = 0; i < 6; ++i) {
    workers.push_back(sampleWorker("w" + std::to_string(i)));
    workers.back().Zone = ZoneId(i < 4 ? "north" : "south");
  }
  jobs::JobStateMachine book =
      approvedBook(workers, {sampleJob("a", {sampleStep(1)})});
  Approvals approved;
  jobs::ApprovalQuery query{{jobs::JobId("a"), 0, 0}, {}};
  for (int i = 0; i < 4; ++i)
    query.Workers.emplace_back("w" + std::to_string(i));
  approved.begin(query, testing::SampleQueue);
  approved.finish(query, {{}, Duration::seconds(2)}, Now);
  book.apply(jobs::ZoneEvacuated{ZoneId("north")});
  std::vector<WorkerView> views;
  for (const auto &[id, worker] : book.workers())
    if (!book.isEvacuated(worker))
      views.push_back({&worker});
  const DispatchPlan plan =
      planStarts({book, views, approved, Now, Now, 100, 100}, defaultHooks());
  BOOST_REQUIRE(plan.Queries.size() == 1U);
  BOOST_TEST(plan.Queries[0].Workers.size() == 2U);
}

// Load: workers come back cold while urgent and less urgent work waits.
BOOST_AUTO_TEST_CASE(ColdWorkersAreLastForUrgentStepsOnly) {
  const jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1", 1000), sampleWorker("w2", 2000)},
                 {sampleJob("a", {sampleStep(1)})});
  const Approvals none;
  // The objective of the job is 3 s after its acceptance, its estimate 1 s.
  const Instant accepted = book.find(jobs::JobId("a"))->AcceptedAt;
  for (const auto &[waited, chosen] :
       {std::pair(Duration(), "w1"), {Duration::millis(500), "w2"}}) {
    std::vector<WorkerView> views = viewsOf(book);
    views.at(0).IsCold = true;
    const DispatchPlan plan =
        planStarts({book, views, none, Now, accepted + waited}, defaultHooks());
    BOOST_TEST(workersOf(plan) == std::set<std::string>{chosen},
               boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_CASE(StepStartsOnlyAfterThoseThatItWaitsFor) {
  jobs::StepSpec second = sampleStep(1);
  second.After = {0};
  jobs::JobStateMachine book = sampleBook(
      {sampleWorker("w1")}, {sampleJob("a", {sampleStep(1), second})});
  const DispatchPlan plan = planOf(book);
  BOOST_REQUIRE(plan.Starts.size() == 1U);
  BOOST_TEST(plan.Starts[0].Start.Task.Step == 0U);
}

BOOST_AUTO_TEST_CASE(LabelsPoolsAndBoundsPerWorkerAreKept) {
  jobs::StepSpec step = sampleStep(6, 100);
  step.RequiredLabel = "b";
  step.MaxPerWorker = 2;
  jobs::Worker other = sampleWorker("w3");
  other.Labels = {"b"};
  other.Pool = jobs::PoolId("other");
  jobs::Worker fitting = sampleWorker("w2");
  fitting.Labels = {"b", "r2"};
  const jobs::JobStateMachine book = sampleBook(
      {sampleWorker("w1"), fitting, other}, {sampleJob("a", {step})});
  const DispatchPlan plan = planOf(book);
  BOOST_TEST(plan.Starts.size() == 2U);
  BOOST_TEST((workersOf(plan) == std::set<std::string>{"w2"}));
}

WaitCause causeOf(const DispatchPlan &plan) {
  BOOST_REQUIRE(plan.Waits.size() == 1U);
  return plan.Waits[0].Cause;
}

BOOST_AUTO_TEST_CASE(PlansSayWhyTasksWait) {
  jobs::StepSpec step = sampleStep(3);
  step.Ask = {1000, 10, 0};
  jobs::Worker worker = sampleWorker("w1");
  worker.Capacity = {2000, 1000, 0};
  const DispatchPlan full =
      planOf(sampleBook({worker}, {sampleJob("a", {step})}));
  BOOST_TEST((causeOf(full) == WaitCause::Capacity));
  BOOST_TEST(full.Waits[0].Tasks == 1U);
  step.Ask = {4000, 10, 0};
  BOOST_TEST((causeOf(planOf(sampleBook({worker}, {sampleJob("a", {step})}))) ==
              WaitCause::NoWorker));
  step.Ask = {100, 10, 0};
  BOOST_TEST(
      (causeOf(planOf(approvedBook({worker}, {sampleJob("a", {step})}))) ==
       WaitCause::Approval));
  jobs::JobStateMachine book = sampleBook({worker}, {sampleJob("a", {step})});
  jobs::Configuration config = testing::sampleConfiguration(2);
  for (jobs::Team &team : config.Teams)
    team.Maximum = {200, 0, 0};
  book.apply(jobs::ConfigurationPut{config});
  BOOST_TEST((causeOf(planOf(book)) == WaitCause::TeamMaximum));
}

BOOST_AUTO_TEST_CASE(GangStartsWholeOrNotAtAll) {
  jobs::StepSpec gang = sampleStep(5);
  gang.IsGang = true;
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {gang})});
  BOOST_TEST(planOf(book).Starts.empty());
  book.apply(jobs::WorkerChanged{sampleWorker("w2")});
  const DispatchPlan plan = planOf(book);
  BOOST_TEST(plan.Starts.size() == 5U);
  BOOST_TEST(std::ranges::all_of(plan.Starts, [](const PlannedStart &it) {
    return it.Start.Attempt == 1;
  }));
}

BOOST_AUTO_TEST_CASE(MembersOfAGangGetTheSameAttempt) {
  jobs::StepSpec gang = sampleStep(2);
  gang.IsGang = true;
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {gang})});
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 4, WorkerId("w1")});
  BOOST_TEST(planOf(book).Starts.empty());
  book.apply(jobs::AttemptEnded{taskOf("a", 0), 4, jobs::EndKind::Lost, {}});
  const DispatchPlan plan = planOf(book);
  BOOST_REQUIRE(plan.Starts.size() == 2U);
  BOOST_TEST(plan.Starts[0].Start.Attempt == 5U);
  BOOST_TEST(plan.Starts[1].Start.Attempt == 5U);
}

BOOST_AUTO_TEST_CASE(TightlyCoupledGangGoesToOneRackIfItFits) {
  jobs::StepSpec gang = sampleStep(4);
  gang.IsGang = true;
  gang.IsTightlyCoupled = true;
  jobs::Worker fuller = sampleWorker("w1", 2000);
  jobs::Worker roomy = sampleWorker("w2");
  roomy.Rack = "r2";
  const jobs::JobStateMachine book =
      sampleBook({fuller, roomy}, {sampleJob("a", {gang})});
  BOOST_TEST((workersOf(planOf(book)) == std::set<std::string>{"w2"}));
}

BOOST_AUTO_TEST_CASE(DataRackAndHealthyWorkersArePreferred) {
  jobs::StepSpec step = sampleStep(1);
  step.DataRack = "r2";
  jobs::Worker near = sampleWorker("w2", 8000);
  near.Labels = {"a", "r2"};
  const jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1"), near}, {sampleJob("a", {step})});
  BOOST_TEST((workersOf(planOf(book)) == std::set<std::string>{"w2"}));
  std::vector<WorkerView> views = viewsOf(book);
  views[1].IsSuspect = true;
  const DispatchPlan plan = planStarts(
      {book, views, Approvals(), Now, Now, 100, 100}, defaultHooks());
  BOOST_TEST((workersOf(plan) == std::set<std::string>{"w1"}));
}

BOOST_AUTO_TEST_CASE(RetryGoesToAnotherWorker) {
  // w1 is the tighter fit.
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1", 2000), sampleWorker("w2")},
                 {sampleJob("a", {sampleStep(1)})});
  BOOST_TEST((workersOf(planOf(book)) == std::set<std::string>{"w1"}));
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 1, WorkerId("w1")});
  book.apply(jobs::AttemptEnded{taskOf("a", 0), 1, jobs::EndKind::Failed, {}});
  BOOST_TEST((workersOf(planOf(book)) == std::set<std::string>{"w2"}));
  // A stopped attempt does not count as a failure on the worker.
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 2, WorkerId("w2")});
  book.apply(jobs::AttemptEnded{taskOf("a", 0), 2, jobs::EndKind::Stopped, {}});
  BOOST_TEST((workersOf(planOf(book)) == std::set<std::string>{"w2"}));
}

BOOST_AUTO_TEST_CASE(StepWithoutApprovalAsksAndStartsOnceItIsApproved) {
  jobs::JobStateMachine book =
      approvedBook({sampleWorker("w1"), sampleWorker("w2")},
                   {sampleJob("a", {sampleStep(2)})});
  Approvals approved;
  DispatchPlan plan = planOf(book, approved);
  BOOST_TEST(plan.Starts.empty());
  BOOST_REQUIRE(plan.Queries.size() == 1U);
  const jobs::ApprovalQuery query = plan.Queries[0];
  approved.begin(query, testing::SampleQueue);
  BOOST_TEST(planOf(book, approved).Queries.empty());
  approved.finish(query, {{{WorkerId("w2"), "ticket"}}, Duration::seconds(1)},
                  Now);
  plan = planOf(book, approved);
  BOOST_TEST(plan.Starts.size() == 2U);
  BOOST_TEST((workersOf(plan) == std::set<std::string>{"w2"}));
  BOOST_TEST(plan.Starts[0].Ticket == "ticket");
}

BOOST_AUTO_TEST_CASE(OnlyExpiredTicketsAreAskedForAgainIfTheyAreEnough) {
  const jobs::JobStateMachine book =
      approvedBook({sampleWorker("w1"), sampleWorker("w2")},
                   {sampleJob("a", {sampleStep(2)})});
  Approvals approved;
  const jobs::ApprovalQuery query = planOf(book, approved).Queries.at(0);
  approved.begin(query, testing::SampleQueue);
  approved.finish(query, {{{WorkerId("w2"), "ticket"}}, Duration::seconds(1)},
                  Now - Duration::seconds(5));
  const DispatchPlan plan = planOf(book, approved);
  BOOST_TEST(plan.Starts.empty());
  BOOST_REQUIRE(plan.Queries.size() == 1U);
  BOOST_TEST((plan.Queries[0].Workers == std::vector{WorkerId("w2")}));
}

BOOST_AUTO_TEST_CASE(ShortQueriesAreNotSentWithoutFreeCapacity) {
  const jobs::JobStateMachine book = approvedBook(
      {sampleWorker("w1", 500)}, {sampleJob("a", {sampleStep(2)})});
  BOOST_TEST(planOf(book).Queries.empty());
}

// On a full fleet, with queries of 0.5 s and tickets of 1.5 s, a query that is
// only sent once capacity is free is answered too late to use it.
BOOST_AUTO_TEST_CASE(LongQueriesAreSentBeforeCapacityIsFree) {
  jobs::JobStateMachine book =
      approvedBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(4)}),
                                          sampleJob("b", {sampleStep(1)})});
  jobs::Configuration config = book.configuration();
  config.Version = 3;
  config.Queues[0].Approval->Base = Duration::millis(500);
  book.apply(jobs::ConfigurationPut{config});
  for (uint32_t i = 0; i < 4; ++i)
    book.apply(jobs::AttemptStarted{taskOf("a", i), 1, WorkerId("w1")});
  const DispatchPlan plan = planOf(book);
  BOOST_REQUIRE(plan.Queries.size() == 1U);
  BOOST_TEST(plan.Queries[0].Step.Job.str() == "b");
  const DispatchPlan bounded = planStarts(
      {book, viewsOf(book), Approvals(), Now, Now, 100, 0}, defaultHooks());
  BOOST_TEST(bounded.Queries.empty());
}

// A job state with two workers of four processors and a queue with long
// queries.
jobs::JobStateMachine longQueryBook(const std::vector<jobs::JobSpec> &specs) {
  jobs::JobStateMachine book =
      approvedBook({sampleWorker("w1"), sampleWorker("w2")}, specs);
  jobs::Configuration config = book.configuration();
  config.Version = 3;
  config.Queues[0].Approval = {Duration::millis(500), 7,
                               Duration::millis(1500)};
  book.apply(jobs::ConfigurationPut{config});
  return book;
}

BOOST_AUTO_TEST_CASE(LongQueriesNameAllWorkersAndRenewTicketsAhead) {
  jobs::StepSpec gang = sampleStep(8);
  gang.IsGang = true;
  const jobs::JobStateMachine book = longQueryBook({sampleJob("a", {gang})});
  Approvals approved;
  const DispatchPlan first = planOf(book, approved);
  BOOST_REQUIRE(first.Queries.size() == 1U);
  BOOST_TEST(first.Queries[0].Workers.size() == 2U);
  approved.begin(first.Queries[0], testing::SampleQueue);
  approved.finish(first.Queries[0],
                  {{{WorkerId("w2"), "ticket"}}, Duration::seconds(3)}, Now);
  // The ticket is valid for longer than another query takes.
  BOOST_TEST(planOf(book, approved).Queries.empty());
  approved.finish(first.Queries[0],
                  {{{WorkerId("w2"), "ticket"}}, Duration::millis(900)}, Now);
  const DispatchPlan renewal = planOf(book, approved);
  BOOST_REQUIRE(renewal.Queries.size() == 1U);
  BOOST_TEST((renewal.Queries[0].Workers == std::vector{WorkerId("w2")}));
}

// The fleet has more workers than one query names; without a limit, queries for
// the unknown ones would go on although enough workers are approved.
BOOST_AUTO_TEST_CASE(LongQueriesStopOnceEnoughWorkersAreApproved) {
  std::vector<jobs::Worker> workers;
  workers.reserve(60);
  for (int i = 0; i < 60; ++i)
    workers.push_back(sampleWorker("w" + std::to_string(i)));
  jobs::StepSpec gang = sampleStep(4);
  gang.IsGang = true;
  jobs::JobStateMachine book = approvedBook(workers, {sampleJob("a", {gang})});
  jobs::Configuration config = book.configuration();
  config.Version = 3;
  config.Queues[0].Approval = {Duration::millis(500), 7,
                               Duration::millis(1500)};
  book.apply(jobs::ConfigurationPut{config});
  Approvals approved;
  const DispatchPlan first = planOf(book, approved);
  BOOST_REQUIRE(first.Queries.size() == 1U);
  // Eight times the gang at four tasks a worker, if half are approved.
  BOOST_TEST(first.Queries[0].Workers.size() == 16U);
  jobs::ApprovalAnswer answer{{}, Duration::seconds(3)};
  for (int i = 0; i < 10; ++i)
    answer.Approved.push_back({first.Queries[0].Workers[i], "ticket"});
  approved.begin(first.Queries[0], testing::SampleQueue);
  approved.finish(first.Queries[0], answer, Now);
  // All approved workers are full; if idle, they could run the gang ten times.
  for (const jobs::Approval &it : answer.Approved) {
    const std::string id = "full-" + it.Worker.str();
    book.apply(jobs::JobAccepted{sampleJob(id, {sampleStep(1, 4000)}), Now});
    book.apply(jobs::AttemptStarted{taskOf(id, 0), 1, it.Worker});
  }
  const DispatchPlan plan = planOf(book, approved);
  BOOST_TEST(plan.Starts.empty());
  BOOST_TEST(plan.Queries.empty());
}

// A gang that needs more workers than one query may name is approved by several
// queries at the same time, so that their tickets are valid together.
BOOST_AUTO_TEST_CASE(WideGangSendsSeveralLongQueriesAtOnce) {
  std::vector<jobs::Worker> workers;
  workers.reserve(300);
  for (int i = 0; i < 300; ++i)
    workers.push_back(sampleWorker("w" + std::to_string(i)));
  jobs::StepSpec gang = sampleStep(80);
  gang.IsGang = true;
  jobs::JobStateMachine book = approvedBook(workers, {sampleJob("a", {gang})});
  jobs::Configuration config = book.configuration();
  config.Version = 3;
  config.Queues[0].Approval = {Duration::millis(490), 7,
                               Duration::millis(1500)};
  book.apply(jobs::ConfigurationPut{config});
  Approvals approved;
  const DispatchPlan first = planOf(book, approved);
  std::set<WorkerId> named;
  for (const jobs::ApprovalQuery &query : first.Queries) {
    // Naming takes no longer than the fixed part of a query.
    BOOST_TEST(query.Workers.size() <= 70U);
    for (const WorkerId &worker : query.Workers)
      BOOST_TEST(named.insert(worker).second);
    approved.begin(query, testing::SampleQueue);
  }
  BOOST_TEST(named.size() == 300U);
  BOOST_TEST(planOf(book, approved).Queries.empty());
  // One in four is approved: 75 workers with room for 300 tasks.
  for (const jobs::ApprovalQuery &query : first.Queries) {
    jobs::ApprovalAnswer answer{{}, Duration::millis(1500)};
    for (std::size_t i = 0; i < query.Workers.size(); i += 4)
      answer.Approved.push_back({query.Workers[i], "ticket"});
    approved.finish(query, answer, Now);
  }
  BOOST_TEST(planOf(book, approved).Starts.size() == 80U);
}

BOOST_AUTO_TEST_CASE(CapacityIsReservedForAGangOnApprovedWorkers) {
  jobs::StepSpec gang = sampleStep(4, 1000);
  gang.IsGang = true;
  gang.Estimate = Duration::seconds(5);
  jobs::JobStateMachine book = longQueryBook(
      {sampleJob("first", {sampleStep(4)}), sampleJob("gang", {gang}),
       sampleJob("z", {sampleStep(8)})});
  jobs::Configuration config = book.configuration();
  config.Version = 4;
  config.Queues[0].LatencyTarget = Duration::seconds(30);
  config.Queues.push_back(config.Queues[0]);
  config.Queues[1].Id = jobs::QueueId("less_urgent");
  config.Queues[1].PathPrefix = "/less/";
  config.Queues[1].Priority = 1;
  config.Queues[1].Approval.reset();
  book.apply(jobs::ConfigurationPut{config});
  jobs::JobSpec less = sampleJob("less", {sampleStep(8)});
  less.Queue = jobs::QueueId("less_urgent");
  book.apply(jobs::JobCancelled{jobs::JobId("z")});
  book.apply(jobs::JobAccepted{less, Instant::fromMillis(1000)});
  for (uint32_t i = 0; i < 2; ++i)
    book.apply(jobs::AttemptStarted{taskOf("first", i), 1, WorkerId("w2")});
  Approvals approved;
  const jobs::ApprovalQuery query{{jobs::JobId("gang"), 0, 0},
                                  {WorkerId("w1"), WorkerId("w2")}};
  approved.begin(query, testing::SampleQueue);
  approved.finish(query, {{{WorkerId("w2"), "ticket"}}, Duration::seconds(3)},
                  Now);
  // Two processors are free on w2, which is reserved for the gang; it needs
  // four.
  const DispatchPlan plan = planOf(book, approved);
  BOOST_TEST(plan.Starts.size() == 4U);
  BOOST_TEST((workersOf(plan) == std::set<std::string>{"w1"}));
}

BOOST_AUTO_TEST_CASE(UrgentQueuesAndJobsThatCanStillBeInTimeGoFirst) {
  jobs::JobStateMachine book = sampleBook({sampleWorker("w1", 1000)}, {});
  // Its objective, 1000 + 2 * 1000 + 1000 ms, has passed at 10,000 ms.
  book.apply(jobs::JobAccepted{sampleJob("late", {sampleStep(1)}),
                               Instant::fromMillis(1000)});
  book.apply(jobs::JobAccepted{sampleJob("timely", {sampleStep(1)}),
                               Instant::fromMillis(9500)});
  DispatchPlan plan = planOf(book);
  BOOST_REQUIRE(plan.Starts.size() == 1U);
  BOOST_TEST(plan.Starts[0].Start.Task.Job.str() == "timely");
  jobs::Configuration config = testing::sampleConfiguration(2);
  config.Queues.push_back(config.Queues[0]);
  config.Queues[0].Priority = 1;
  config.Queues[1].Id = jobs::QueueId("urgent");
  config.Queues[1].PathPrefix = "/urgent/";
  book.apply(jobs::ConfigurationPut{config});
  jobs::JobSpec urgent = sampleJob("urgent", {sampleStep(1)});
  urgent.Queue = jobs::QueueId("urgent");
  book.apply(jobs::JobAccepted{urgent, Instant::fromMillis(1000)});
  plan = planOf(book);
  BOOST_REQUIRE(plan.Starts.size() == 1U);
  BOOST_TEST(plan.Starts[0].Start.Task.Job.str() == "urgent");
}

BOOST_AUTO_TEST_CASE(OccurrencesStartWhenTheyAreDue) {
  jobs::JobSpec spec = sampleJob("a", {sampleStep(1)});
  spec.Occurrences = 3;
  spec.FirstDue = Now - Duration::millis(500);
  spec.Period = Duration::millis(400);
  const jobs::JobStateMachine book = sampleBook({sampleWorker("w1")}, {spec});
  BOOST_TEST(planOf(book).Starts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ImpossibleJobsAreRefused) {
  BOOST_TEST(isOk(checkServable(sampleJob("a", {sampleStep(1)}))));
  BOOST_TEST(!isOk(checkServable(sampleJob("a", {}))));
  BOOST_TEST(!isOk(checkServable(sampleJob("a", {sampleStep(0)}))));
  jobs::StepSpec forward = sampleStep(1);
  forward.After = {0};
  BOOST_TEST(!isOk(checkServable(sampleJob("a", {forward}))));
  const Status status = checkServable(sampleJob("a", {sampleStep(5000)}));
  BOOST_REQUIRE(!isOk(status));
  BOOST_TEST((errorOf(status).Kind == ErrorKind::ImpossibleRequest));
  jobs::JobSpec repeated = sampleJob("a", {sampleStep(960)});
  repeated.Occurrences = 6;
  BOOST_TEST(isOk(checkServable(repeated)));
  repeated.Occurrences = 1000;
  BOOST_TEST(!isOk(checkServable(repeated)));
  jobs::StepSpec filler = sampleStep(1);
  filler.IsFiller = true;
  filler.MaxUnavailable = 1;
  BOOST_TEST(isOk(checkServable(sampleJob("a", {filler}))));
}

BOOST_AUTO_TEST_CASE(FillerTasksGoToWorkersWithMostHeadroom) {
  jobs::StepSpec serving = sampleStep(1, 3000);
  jobs::StepSpec filler = sampleStep(6, 1000);
  filler.IsFiller = true;
  jobs::JobStateMachine book =
      sampleBook({sampleWorker("w1"), sampleWorker("w2")},
                 {sampleJob("a", {serving}), sampleJob("b", {filler})});
  book.apply(jobs::AttemptStarted{taskOf("a", 0), 1, WorkerId("w1")});
  const DispatchPlan plan = planOf(book);
  std::map<std::string, int> counts;
  for (const PlannedStart &planned : plan.Starts)
    ++counts[planned.Start.Worker.str()];
  // One processor is left on w1, four on w2.
  BOOST_TEST(counts["w1"] == 1);
  BOOST_TEST(counts["w2"] == 4);
  applyStarts(book, plan);
  // Filler tasks do not reduce the processors available to other tasks.
  book.apply(jobs::JobAccepted{sampleJob("c", {sampleStep(5)}), Now});
  BOOST_TEST(planOf(book).Starts.size() == 5U);
}

// For any jobs, plans keep to the capacities of workers, start gangs whole or
// not at all, and start each task at most once.
RC_BOOST_PROP(PlansKeepCapacitiesAndStartGangsWhole, ()) {
  std::vector<jobs::Worker> workers;
  const int n = *rc::gen::inRange(1, 6);
  workers.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i)
    workers.push_back(
        sampleWorker("w" + std::to_string(i), *rc::gen::inRange(500, 8000)));
  std::vector<jobs::JobSpec> specs;
  const int m = *rc::gen::inRange(1, 8);
  for (int i = 0; i < m; ++i) {
    jobs::StepSpec step = sampleStep(*rc::gen::inRange<uint32_t>(1, 6),
                                     *rc::gen::inRange(100, 3000));
    step.IsGang = *rc::gen::arbitrary<bool>();
    step.IsTightlyCoupled = *rc::gen::arbitrary<bool>();
    step.MaxPerWorker = *rc::gen::inRange<uint32_t>(0, 3);
    specs.push_back(sampleJob("j" + std::to_string(i), {step}));
  }
  jobs::JobStateMachine book = sampleBook(workers, specs);
  applyStarts(book, planOf(book));
  for (const jobs::Worker &worker : workers)
    RC_ASSERT(book.loadOf(worker.Id).Used.fitsIn(worker.Capacity));
  for (const auto &[id, job] : book.jobs()) {
    const jobs::StepState &step = job.Occurrences[0].Steps[0];
    if (job.Spec.Steps[0].IsGang)
      RC_ASSERT(step.LiveTasks == 0 || step.LiveTasks == step.Tasks.size());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::dispatch
