// Time of one plan of stepped jobs at the size of the largest fleet: workers
// mostly full, jobs that run, and some that wait.
//
//   dispatch-bench [WORKERS] [OPEN_JOBS] [WAITING_JOBS]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "jujube/dispatch/dispatcher.h"
#include "testing/job_samples.h"

namespace jujube {
namespace {

constexpr int Plans = 200;
constexpr int64_t WorkerMilliCpu = 16'000;
constexpr int64_t TaskMilliCpu = 2'000;

int argument(int argc, char **argv, int at, int fallback) {
  return argc > at ? std::atoi(argv[at]) : fallback;
}

// Workers on which all but one task's room is taken by running jobs.
jobs::JobStateMachine loadedBook(int workers, int open) {
  jobs::JobStateMachine book;
  jobs::Configuration config = testing::sampleConfiguration();
  config.Queues[0].Approval = {Duration::millis(9), 0.13,
                               Duration::millis(1500)};
  book.apply(jobs::ConfigurationPut{config});
  for (int i = 0; i < workers; ++i)
    book.apply(jobs::WorkerChanged{
        testing::sampleWorker("w" + std::to_string(i), WorkerMilliCpu)});
  int at = 0;
  for (int i = 0; i < open; ++i) {
    const std::string id = "run" + std::to_string(i);
    book.apply(jobs::JobAccepted{
        testing::sampleJob(id, {testing::sampleStep(8, TaskMilliCpu)}),
        Instant::fromMillis(1000)});
    for (uint32_t k = 0; k < 8; ++k, ++at)
      book.apply(
          jobs::AttemptStarted{testing::taskOf(id, k), 1,
                               WorkerId("w" + std::to_string(at % workers))});
  }
  return book;
}

int run(int workers, int open, int waiting) {
  jobs::JobStateMachine book = loadedBook(workers, open);
  for (int i = 0; i < waiting; ++i)
    book.apply(jobs::JobAccepted{
        testing::sampleJob("wait" + std::to_string(i),
                           {testing::sampleStep(2, TaskMilliCpu)}),
        Instant::fromMillis(1000 + i)});
  std::vector<dispatch::WorkerView> views;
  for (const auto &[id, worker] : book.workers())
    views.push_back({&worker});
  const dispatch::Approvals approved;
  const dispatch::DispatchHooks hooks = dispatch::defaultHooks();
  const Instant now = Instant::fromMillis(2000);
  std::vector<double> spans;
  std::size_t queries = 0;
  for (int i = 0; i < Plans; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    const dispatch::DispatchPlan plan =
        dispatch::planStarts({book, views, approved, now, now, 30, 10}, hooks);
    spans.push_back(std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now() - begin)
                        .count());
    queries = plan.Queries.size();
  }
  std::ranges::sort(spans);
  std::printf("workers %d, running jobs %d, waiting %d, queries %zu: "
              "plan p50 %.2f ms, p99 %.2f ms\n",
              workers, open, waiting, queries, spans[Plans / 2],
              spans[Plans * 99 / 100]);
  return 0;
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) {
  using jujube::argument;
  return jujube::run(argument(argc, argv, 1, 2900),
                     argument(argc, argv, 2, 700), argument(argc, argv, 3, 20));
}
