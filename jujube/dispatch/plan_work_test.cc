// How much a plan looks at, whatever waits.
#include <boost/test/unit_test.hpp>
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
const Instant Now = Instant::atMillis(10'000);

// Waiting jobs of two tasks on a fleet of which each worker has `free`
// thousandths of a processor left.
jobs::JobBook backlog(int64_t free) {
  jobs::JobBook book;
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
        Instant::atMillis(1000 + i)});
  return book;
}

DispatchPlan planOf(const jobs::JobBook &book) {
  std::vector<WorkerView> views;
  for (const auto &[id, worker] : book.workers())
    views.push_back({&worker});
  return planStarts({book, views, Approvals(), Now, Now, Queries, Queries},
                    defaultHooks());
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::dispatch
