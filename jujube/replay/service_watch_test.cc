#include <boost/test/unit_test.hpp>

#include "jujube/replay/replayer.h"

namespace jujube::replay {
namespace {

// Replays a service of two tasks on two workers, followed by `events`; returns
// the expected outcomes that were not met.
std::vector<std::string> unmetOutcomesAfter(const std::string &events) {
  const auto records =
      parseTrace("0 trace version=1 lease_ms=5000\n"
                 "0 team id=a millicpu=9000 memory_mb=9000\n"
                 "0 entry id=desk team=a class=service millicpu=1000\n"
                 "0 worker id=w1 start=1 rack=r1 millicpu=1000 memory_mb=1\n"
                 "0 worker id=w2 start=1 rack=r2 millicpu=1000 memory_mb=1\n"
                 "6000 submit id=z.s entry=desk tasks=2\n" +
                 events +
                 "90000 expect what=service_running_min subject=z.s min=1\n"
                 "90000 expect what=service_outage_max_ms subject=z.s "
                 "max=6400\n"
                 "90000 end\n");
  BOOST_REQUIRE(isOk(records));
  ReplayOptions options;
  options.Hooks = placement::hooksFor(options.Planner.Policy);
  const auto result = replay(valueOf(records), options);
  BOOST_REQUIRE(isOk(result));
  std::vector<std::string> unmet;
  for (const OutcomeCheck &check :
       checkOutcomes(valueOf(records), options.Planner.Policy, valueOf(result)))
    if (!check.IsMet)
      unmet.push_back(
          std::string(nameIn(OutcomeKindNames, check.Expected.Kind)));
  return unmet;
}

const std::string ThirdWorker =
    "15000 worker id=w3 start=1 rack=r3 millicpu=1000 memory_mb=1\n";

BOOST_AUTO_TEST_SUITE(ServiceWatchSuite)

BOOST_AUTO_TEST_CASE(LossOfOneWorkerIsMadeUpForElsewhere) {
  BOOST_TEST(unmetOutcomesAfter(ThirdWorker + "20000 lost id=w1\n").empty());
}

BOOST_AUTO_TEST_CASE(ServiceMovesOffALeavingWorker) {
  BOOST_TEST(unmetOutcomesAfter(ThirdWorker +
                                "20000 worker id=w1 start=1 rack=r1 "
                                "millicpu=1000 memory_mb=1 leaving=1\n")
                 .empty());
}

BOOST_AUTO_TEST_CASE(OutageWithoutAnotherWorkerIsSeen) {
  BOOST_TEST((unmetOutcomesAfter("20000 lost id=w1\n") ==
              std::vector<std::string>{"service_outage_max_ms"}));
}

BOOST_AUTO_TEST_CASE(LossOfAllTasksIsSeen) {
  BOOST_TEST((unmetOutcomesAfter("20000 lost id=w1\n20000 lost id=w2\n") ==
              std::vector<std::string>{"service_running_min",
                                       "service_outage_max_ms"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::replay
