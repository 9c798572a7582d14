// Tests a control group on slow members: their work takes as long as it would
// on a small share of a core.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/control_cell.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

using control::Work;

constexpr int Fleet = 350;
constexpr uint32_t TasksOnFleet = 700;
constexpr std::size_t BacklogJobs = 4000;

// Share of a core that a host of the grown sites has.
constexpr double CoreShare = 0.4;
// Microseconds of a whole core: work_cpu_us over work_units of this cell;
// dispatch-bench with 350 workers has the same value for a pair.
constexpr double MicrosPerExaminedPair = 0.13;
constexpr double MicrosPerMessage = 10;
constexpr double MicrosPerEvent = 2;

WorkCosts grownSiteCosts() {
  WorkCosts costs = {};
  const auto set = [&costs](Work kind, double micros) {
    costs[static_cast<std::size_t>(kind)] = micros / CoreShare;
  };
  set(Work::Plan, MicrosPerExaminedPair);
  set(Work::Apply, MicrosPerEvent);
  set(Work::Propose, MicrosPerEvent);
  for (const Work kind :
       {Work::Peers, Work::Commands, Work::WorkerAnswers, Work::WorkerOrders})
    set(kind, MicrosPerMessage);
  return costs;
}

jobs::JobSpec shortJob(const std::string &id) {
  jobs::JobSpec job = sampleJob(id, {sampleStep(1)});
  job.Payload = "500";
  return job;
}

// A cell whose workers are full, with a backlog of jobs that wait for room.
struct BackloggedCell {
  ControlCell Cell{[] {
    ControlCellOptions options;
    options.Workers = Fleet;
    // The whole backlog is within the team's rate, so that none is refused.
    options.TeamWeight = 1'000'000;
    return options;
  }()};

  BackloggedCell() {
    BOOST_REQUIRE(isOk(Cell.submit("full", TasksOnFleet, 5000)));
    Cell.wire().run(Duration::seconds(1));
    BOOST_REQUIRE(Cell.workers().running() == TasksOnFleet);
    std::vector<jobs::JobSpec> backlog;
    backlog.reserve(BacklogJobs);
    for (std::size_t i = 0; i < BacklogJobs; ++i)
      backlog.push_back(shortJob(absl::StrCat("job", i)));
    BOOST_REQUIRE(Cell.submitAll(backlog));
    Cell.setCosts(grownSiteCosts());
  }
};

BOOST_AUTO_TEST_SUITE(ControlBacklogTest)

BOOST_AUTO_TEST_CASE(LeaderWithALargeBacklogKeepsLeading) {
  BackloggedCell it;
  ControlCell &cell = it.Cell;
  cell.kill(cell.leader());
  BOOST_REQUIRE(cell.wire().run(Duration::seconds(5),
                                [&] { return cell.leader() != 0; }));
  std::vector<ControlCell::AnswerSlot> submitted;
  for (int second = 0; second < 10; ++second) {
    submitted.push_back(cell.post(shortJob(absl::StrCat("new", second))));
    cell.wire().run(Duration::seconds(1));
  }
  BOOST_REQUIRE(cell.takeoverCount() == 1U);
  BOOST_TEST(std::ranges::all_of(submitted, ControlCell::isAcknowledged));
  BOOST_TEST(cell.workers().starts().size() > TasksOnFleet);
  BOOST_TEST(cell.awaitPending(0, Duration::seconds(60)));
}

BOOST_AUTO_TEST_CASE(LeaderThatFallsBehindRefusesEarlyWhatItHasNotTaken) {
  ControlCell cell({});
  WorkCosts costs = {};
  costs[static_cast<std::size_t>(Work::Commands)] = 5000;
  cell.setCosts(costs);
  const int leader = cell.leader();
  constexpr std::size_t Burst = 500;
  std::vector<ControlCell::AnswerSlot> submitted;
  submitted.reserve(Burst);
  for (std::size_t i = 0; i < Burst; ++i)
    submitted.push_back(cell.post(shortJob(absl::StrCat("job", i))));
  cell.wire().run(Duration::seconds(1));
  std::size_t taken = 0;
  for (const ControlCell::AnswerSlot &slot : submitted) {
    const auto reply = slot->wait(Duration());
    BOOST_REQUIRE(isOk(reply));
    const bool isTaken = isOk(valueOf(reply));
    taken += isTaken ? 1 : 0;
    BOOST_TEST(
        (isTaken || errorOf(valueOf(reply)).Kind == ErrorKind::Overloaded));
  }
  BOOST_TEST(taken > 0U);
  BOOST_TEST(taken < submitted.size());
  BOOST_TEST(cell.leader() == leader);
  BOOST_TEST(cell.awaitPending(0, Duration::seconds(30)));
  BOOST_TEST(cell.workers().starts().size() == taken);
}

BOOST_AUTO_TEST_CASE(ConfigurationIsNotRefusedByALeaderThatFallsBehind) {
  ControlCell cell({});
  WorkCosts costs = {};
  costs[static_cast<std::size_t>(Work::Commands)] = 5000;
  cell.setCosts(costs);
  for (int i = 0; i < 500; ++i)
    (void)cell.post(shortJob(absl::StrCat("job", i)));
  const jobs::Command order = jobs::PutConfiguration{sampleConfiguration(7)};
  const auto stored = cell.post(order);
  cell.wire().run(Duration::millis(600));
  BOOST_TEST(ControlCell::isAcknowledged(stored));
  const auto again = cell.post(order);
  cell.wire().run(Duration::millis(600));
  BOOST_TEST(ControlCell::isAcknowledged(again));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
