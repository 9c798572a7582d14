// Tests the objectives that jobs reach under heavy load on the dispatcher.
#include "testing/dispatch_load.h"

#include <boost/test/unit_test.hpp>

namespace jujube::testing {
namespace {

// Three queues: short urgent jobs, wide jobs of low priority, and gangs of
// large tasks for which a quarter of the workers is approved by queries of half
// a second and more, under tickets of a second and a half. `widePeriod` is the
// time between wide jobs.
std::vector<LoadKind> threeQueues(Duration widePeriod) {
  LoadKind gang{"gang",
                1,
                Duration::millis(650),
                {5, 8, 11, 4, 12, 7, 9},
                4500,
                Duration::millis(5000),
                true};
  gang.SlackFactor = 2.2;
  gang.LatencyTarget = Duration::millis(1000);
  gang.Approval = {Duration::millis(510), 7.2, Duration::millis(1500)};
  gang.ApprovedPercent = 25;
  LoadKind wide{"wide",      2,   widePeriod,
                {8, 12, 10}, 980, Duration::millis(3400)};
  wide.SlackFactor = 4;
  wide.LatencyTarget = Duration::millis(3000);
  wide.Approval = {Duration::millis(82), 1.2, Duration::millis(1500)};
  wide.ApprovedPercent = 45;
  LoadKind urgent{"urgent",  0,    Duration::millis(20),
                  {2, 1, 3}, 1400, Duration::millis(800)};
  urgent.SlackFactor = 1.5;
  urgent.LatencyTarget = Duration::millis(250);
  urgent.Approval = {Duration::millis(9), 0.13, Duration::millis(1500)};
  urgent.ApprovedPercent = 70;
  return {gang, wide, urgent};
}

// Checks that nine tenths of each queue's jobs end within their objectives.
void checkAims(Duration widePeriod) {
  for (const auto &[queue, result] :
       simulateLoad(threeQueues(widePeriod), {}, Duration::seconds(40),
                    Duration::seconds(12))) {
    BOOST_TEST(result.WithinObjective * 10 >= result.Jobs * 9,
               queue << ": " << result.WithinObjective << " of " << result.Jobs
                     << " within objective, " << result.Started
                     << " started, mean wait " << result.MeanWait.millis()
                     << " ms");
  }
}

// The load of 1,100 workers in five zones: gangs of 40 tasks on the mean and of
// 240 at the most, and wide jobs whose steps are as wide as that. Four fifths
// of the processors are asked for.
std::vector<LoadKind> largeFleetQueues() {
  std::vector<LoadKind> kinds = threeQueues(Duration::millis(60));
  LoadKind &gang = kinds[0];
  gang.Period = Duration::millis(130);
  gang.Tasks = {40, 12, 24, 55, 18, 91, 33, 10, 26, 240, 15, 44, 31, 8, 60, 22};
  gang.Approval = {Duration::millis(490), 7, Duration::millis(1500)};
  LoadKind &wide = kinds[1];
  wide.Tasks = {40, 22, 31, 63, 18, 120, 27, 45, 14, 36};
  wide.MilliCpu = 2700;
  wide.RunTime = Duration::millis(2700);
  wide.Approval = {Duration::millis(140), 2, Duration::millis(1500)};
  LoadKind &urgent = kinds[2];
  urgent.Period = Duration::millis(10);
  urgent.Tasks = {4, 2, 8, 3, 1, 12, 5, 3};
  urgent.MilliCpu = 3900;
  urgent.RunTime = Duration::millis(1000);
  urgent.LatencyTarget = Duration::millis(300);
  urgent.Approval = {Duration::millis(14), 0.2, Duration::millis(1500)};
  return kinds;
}

BOOST_AUTO_TEST_SUITE(DispatchLoadTest)

BOOST_AUTO_TEST_CASE(WideGangsAreInTimeOnALargeFleet) {
  for (const auto &[queue, result] :
       simulateLoad(largeFleetQueues(), {1100, 16'000, 147},
                    Duration::seconds(40), Duration::seconds(14))) {
    BOOST_TEST(result.WithinObjective * 10 >= result.Jobs * 9,
               queue << ": " << result.WithinObjective << " of " << result.Jobs
                     << " within objective, " << result.Started
                     << " started, mean wait " << result.MeanWait.millis()
                     << " ms");
    // A tenth of the widest jobs must not be served less than half as often as
    // the whole queue.
    BOOST_TEST(result.Widest.WithinObjective * 2 * result.Jobs >=
                   result.WithinObjective * result.Widest.Jobs,
               queue << ", widest tenth: " << result.Widest.WithinObjective
                     << " of " << result.Widest.Jobs << " within objective");
  }
}

BOOST_AUTO_TEST_CASE(EveryQueueIsInTimeAtFourFifthsOfTheFleet) {
  checkAims(Duration::millis(160));
}

BOOST_AUTO_TEST_CASE(EveryQueueIsInTimeAtNineTenthsOfTheFleet) {
  checkAims(Duration::millis(120));
}

BOOST_AUTO_TEST_CASE(EveryQueueIsInTimeOnAFullFleet) {
  checkAims(Duration::millis(80));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
