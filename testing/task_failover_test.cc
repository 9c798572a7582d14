// Tests the loss of a zone's leader, over the real tasks on a manual clock:
// urgent work must start within the stated target.
#include <boost/test/unit_test.hpp>

#include <random>

#include "absl/strings/str_cat.h"
#include "testing/task_cell.h"

namespace jujube::testing {
namespace {

const std::string Zone = "temeke";
// Longest time to the start of urgent work.
constexpr Duration UrgentTarget = Duration::millis(1400);
constexpr int Seeds = 8;

enum class Fault { Kill, Pause };

std::unique_ptr<TaskCell> startCell(uint64_t seed) {
  TaskCellOptions options;
  options.Zones = {Zone};
  options.SchedulersPerZone = 3;
  options.Seed = seed;
  auto cell = TaskCell::start(options);
  const std::string why = isOk(cell) ? "" : errorOf(cell).text();
  BOOST_REQUIRE_MESSAGE(why.empty(), why);
  return valueOf(std::move(cell));
}

void loseLeader(TaskCell &cell, Fault fault) {
  const Address leader = cell.leaderOf(Zone);
  BOOST_REQUIRE(leader.Port != 0);
  if (fault == Fault::Kill)
    cell.kill(leader);
  else
    cell.wire().pause(leader);
}

// Requests before and after the loss of the leader; both are urgent.
void checkUrgentWork(uint64_t seed, Fault fault) {
  auto cell = startCell(seed);
  std::mt19937_64 random(seed);
  cell->wire().run(Duration::millis(static_cast<int64_t>(random() % 1000)));
  const auto early = cell->submit(Zone, Zone + ".early", "callouts",
                                  "run_ms=10", TaskCell::Kept);
  BOOST_REQUIRE(isOk(early));
  loseLeader(*cell, fault);
  const Instant lostAt = cell->wire().now();
  const auto late = cell->submit(Zone, Zone + ".late", "callouts", "run_ms=10",
                                 TaskCell::Kept);
  BOOST_REQUIRE(isOk(late));
  for (const char *id : {".early", ".late"}) {
    const auto fate = cell->fate(Zone, Zone + id, Duration::seconds(20));
    BOOST_REQUIRE(isOk(fate));
    BOOST_TEST((valueOf(fate).State == fate::FateState::Finished));
    const Instant from = std::min(lostAt, valueOf(fate).AcceptedAt);
    BOOST_TEST((valueOf(fate).StartedAt - from).millis() <=
               UrgentTarget.millis());
  }
  BOOST_TEST(cell->log().concurrentDuplicates() == 0U);
}

BOOST_AUTO_TEST_SUITE(TaskFailoverSuite)

BOOST_AUTO_TEST_CASE(UrgentWorkStartsInTimeAfterALeaderIsKilled) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed)
    BOOST_TEST_CONTEXT("seed " << seed)
  checkUrgentWork(seed, Fault::Kill);
}

BOOST_AUTO_TEST_CASE(UrgentWorkStartsInTimeAfterALeaderIsPaused) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed)
    BOOST_TEST_CONTEXT("seed " << seed)
  checkUrgentWork(seed, Fault::Pause);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
