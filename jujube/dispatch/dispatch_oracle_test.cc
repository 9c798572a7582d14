// Compares plans with those of an exhaustive search over all steps and workers.
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <tuple>

#include "jujube/dispatch/dispatcher.h"
#include "testing/exhaustive_plan.h"
#include "testing/job_samples.h"

namespace jujube::dispatch {
namespace {

using testing::sampleJob;
using testing::sampleStep;
using testing::sampleWorker;

const Instant Now = Instant::fromMillis(10'000);

int64_t below(int64_t n) { return *rc::gen::inRange<int64_t>(0, n); }
bool oneIn(int64_t n) { return below(n) == 0; }

const std::vector<jobs::QueueId> Queues = {
    jobs::QueueId("plain"), jobs::QueueId("urgent"), jobs::QueueId("asking"),
    jobs::QueueId("elsewhere")};

jobs::Configuration randomConfiguration() {
  jobs::Configuration config = testing::sampleConfiguration();
  const jobs::Queue sample = config.Queues[0];
  config.Queues.assign(Queues.size(), sample);
  for (std::size_t i = 0; i < Queues.size(); ++i) {
    config.Queues[i].Id = Queues[i];
    config.Queues[i].PathPrefix = "/" + Queues[i].str() + "/";
  }
  config.Queues[0].Priority = 1;
  config.Queues[2].Approval = {Duration::millis(10), 1, Duration::millis(1500)};
  config.Queues[3].Pool = jobs::PoolId("second");
  for (jobs::Queue &queue : config.Queues)
    queue.LatencyTarget = Duration::seconds(below(20));
  config.Pools.push_back({jobs::PoolId("second")});
  config.Teams.push_back({TeamId("small"), {"key-b"}, 1, {5000, 0, 0}});
  return config;
}

jobs::Worker randomWorker(int number) {
  jobs::Worker worker =
      sampleWorker("w" + std::to_string(number), 1000 * (1 + below(8)));
  worker.Capacity.MemoryMb = 100 * (1 + below(10));
  worker.Rack = "r" + std::to_string(below(3));
  worker.Labels = {worker.Rack, oneIn(2) ? "a" : "b"};
  if (oneIn(4))
    worker.Pool = jobs::PoolId("second");
  return worker;
}

jobs::StepSpec randomStep() {
  jobs::StepSpec step =
      sampleStep(static_cast<uint32_t>(1 + below(6)), 500 * (1 + below(6)));
  step.Estimate = Duration::seconds(below(5));
  step.IsGang = oneIn(3);
  step.IsTightlyCoupled = oneIn(2);
  step.IsFiller = oneIn(6);
  step.MaxPerWorker = oneIn(4) ? 2 : 0;
  if (oneIn(4))
    step.RequiredLabel = "b";
  if (oneIn(3))
    step.DataRack = "r1";
  return step;
}

jobs::JobSpec randomJob(int number) {
  jobs::JobSpec job = sampleJob("j" + std::to_string(number), {randomStep()});
  if (oneIn(4)) {
    job.Steps.push_back(randomStep());
    if (oneIn(2))
      job.Steps[1].After = {0};
  }
  job.Queue = Queues[static_cast<std::size_t>(below(4))];
  if (oneIn(4))
    job.Team = TeamId("small");
  if (oneIn(6)) {
    job.FirstDue = Now - Duration::seconds(1);
    job.Period = Duration::seconds(1);
    job.Occurrences = 3;
  }
  return job;
}

Approvals randomApprovals(const jobs::JobStateMachine &book) {
  Approvals approved;
  for (const auto &[id, job] : book.jobs()) {
    if (oneIn(3))
      continue;
    jobs::ApprovalQuery query{{id, 0, 0}};
    jobs::ApprovalAnswer answer{{}, Duration::seconds(1)};
    for (const auto &[worker, what] : book.workers()) {
      if (oneIn(2))
        query.Workers.push_back(worker);
      if (oneIn(2))
        answer.Approved.push_back({worker, "ticket"});
    }
    approved.begin(query, job.Spec.Queue);
    approved.finish(query, answer, oneIn(4) ? Now - Duration::seconds(5) : Now);
  }
  return approved;
}

// Ends some of the started attempts, each with a random EndKind.
void endSome(jobs::JobStateMachine &book,
             const std::vector<jobs::AttemptStarted> &starts) {
  for (const jobs::AttemptStarted &it : starts)
    if (oneIn(3))
      book.apply(jobs::AttemptEnded{it.Task,
                                    it.Attempt,
                                    *rc::gen::element(jobs::EndKind::Done,
                                                      jobs::EndKind::Failed,
                                                      jobs::EndKind::Lost),
                                    {}});
}

// Makes one plan, compares it with the oracle's, and returns its starts.
std::vector<jobs::AttemptStarted>
comparePlans(const jobs::JobStateMachine &book) {
  const Approvals approved = randomApprovals(book);
  std::vector<WorkerView> views;
  for (const auto &[id, worker] : book.workers())
    views.push_back({&worker, oneIn(5)});
  const DispatchInput input{book, views, approved, Now, Now, 100, 100};
  testing::ExhaustivePlan oracle(input);
  oracle.run();
  const DispatchPlan plan = planStarts(input, defaultHooks());
  decltype(oracle.Starts) starts;
  std::vector<jobs::AttemptStarted> events;
  for (const PlannedStart &it : plan.Starts) {
    starts.emplace_back(it.Start.Task, it.Start.Attempt, it.Start.Worker);
    events.push_back(it.Start);
  }
  decltype(oracle.Waits) waits;
  for (const StepWait &it : plan.Waits)
    waits.emplace_back(it.Step, it.Cause, it.Tasks);
  RC_ASSERT(starts == oracle.Starts);
  RC_ASSERT(waits == oracle.Waits);
  return events;
}

BOOST_AUTO_TEST_SUITE(DispatchOracleTest)

RC_BOOST_PROP(PlansAreThoseOfAnExhaustiveSearch, ()) {
  jobs::JobStateMachine book;
  book.apply(jobs::ConfigurationPut{randomConfiguration()});
  const int workers = 1 + below(8);
  for (int i = 0; i < workers; ++i)
    book.apply(jobs::WorkerChanged{randomWorker(i)});
  for (int turn = 0; turn < 4; ++turn) {
    for (int i = 0; i < 5; ++i)
      book.apply(jobs::JobAccepted{randomJob(turn * 5 + i),
                                   Instant::fromMillis(1000 * below(10))});
    const std::vector<jobs::AttemptStarted> starts = comparePlans(book);
    for (const jobs::AttemptStarted &it : starts)
      book.apply(it);
    endSome(book, starts);
    if (oneIn(3))
      book.apply(
          jobs::JobCancelled{jobs::JobId("j" + std::to_string(below(20)))});
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::dispatch
