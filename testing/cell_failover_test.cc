// Tests the loss of a zone's leader over real processes. The delay until urgent
// work starts is bounded in task_failover_test.cc, on a manual clock, and
// measured over processes by failover-bench.
#include <boost/test/unit_test.hpp>

#include "testing/failover_probe.h"

namespace jujube::testing {
namespace {

const std::string Zone = "san-fernando";
constexpr int Runs = 2;

void checkFailover(LeaderFault fault) {
  const auto cell = Cell::start({});
  BOOST_REQUIRE(isOk(cell));
  BOOST_REQUIRE(isOk(prepareProbe(*valueOf(cell))));
  for (int run = 0; run < Runs; ++run) {
    const auto sample = probeFailover(*valueOf(cell), Zone, fault, run);
    const std::string why = isOk(sample) ? "" : errorOf(sample).text();
    BOOST_REQUIRE_MESSAGE(why.empty(), why);
    const FailoverSample &got = valueOf(sample);
    BOOST_TEST((got.Fate.State == fate::FateState::Finished));
    BOOST_TEST_MESSAGE("run " << run << ": started "
                              << got.UntilStarted.millis()
                              << " ms after the loss of the leader");
  }
}

BOOST_AUTO_TEST_SUITE(CellFailoverSuite)

BOOST_AUTO_TEST_CASE(UrgentWorkStartsAfterALeaderIsKilled) {
  checkFailover(LeaderFault::Kill);
}

BOOST_AUTO_TEST_CASE(UrgentWorkStartsAfterALeaderIsPaused) {
  checkFailover(LeaderFault::Pause);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
