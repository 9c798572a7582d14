// Tests how the router handles slow runners, other zones and uneven teams.
#include <algorithm>
#include <map>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "testing/routing_world.h"

namespace jujube::testing {
namespace {

Duration ms(int64_t n) { return Duration::millis(n); }

WorldOptions world(std::size_t zones) {
  WorldOptions options;
  options.Zones = zones;
  options.EntryHostsPerZone = 2;
  options.RunnersPerZone = 4;
  options.ServiceOf = [](const RunnerId &) { return Service{ms(40)}; };
  return options;
}

// Requests of one team, one every `gap`, from `from` to `to`.
struct Stream {
  std::string Team;
  Duration Gap;
  Instant From;
  Instant To;
  std::size_t Hosts = 1;
};

void feed(RoutingWorld &world, const Stream &stream) {
  std::size_t n = 0;
  for (Instant when = stream.From; when < stream.To; when = when + stream.Gap) {
    const routing::LiveRequest request{
        RequestId(absl::StrCat("z.", stream.Team, "-", when.millis())),
        TeamId(stream.Team), EntryId(), true, Instant::fromMillis(1000)};
    world.at(when, [&world, request, host = n++ % stream.Hosts] {
      world.submit(host, request);
    });
  }
}

BOOST_AUTO_TEST_SUITE(RoutingPolicySuite)

// Half of the slots are used, and one of four runners is ten times as slow.
BOOST_AUTO_TEST_CASE(SlowRunnerGetsLessWithoutOscillation) {
  WorldOptions options = world(1);
  options.ServiceOf = [](const RunnerId &runner) {
    return Service{runner.str() == "runner1" ? ms(400) : ms(40)};
  };
  RoutingWorld fleet(options);
  feed(fleet, {"crews", ms(3), Instant::fromMillis(1000),
               Instant::fromMillis(21000), 2});
  fleet.runUntil(Instant::fromMillis(23000));
  std::map<int64_t, int64_t> slow;
  std::map<int64_t, int64_t> all;
  for (const auto &[key, run] : fleet.oracle().Runs) {
    const int64_t second = run.StartedAt.millis() / 1000;
    ++all[second];
    slow[second] += run.Runner.str() == "runner1" ? 1 : 0;
  }
  // An equal share would be a quarter; the runner's speed allows a thirtieth.
  for (int64_t second = 3; second < 21; ++second)
    BOOST_TEST(slow[second] * 10 <= all[second]);
}

BOOST_AUTO_TEST_CASE(SpillsOverWhileTheOwnZoneWaitsAndReturns) {
  RoutingWorld fleet(world(2));
  // Zone 0 has 32 slots, which complete 800 requests per second.
  feed(fleet, {"crews", ms(1), Instant::fromMillis(1000),
               Instant::fromMillis(4000), 2});
  feed(fleet, {"yards", ms(10), Instant::fromMillis(4000),
               Instant::fromMillis(9000), 2});
  fleet.runUntil(Instant::fromMillis(4000));
  BOOST_TEST(fleet.counters().SpilloverAttempts > 100U);
  fleet.runUntil(Instant::fromMillis(6000));
  const uint64_t before = fleet.counters().SpilloverAttempts;
  fleet.runUntil(Instant::fromMillis(10000));
  BOOST_TEST(fleet.counters().SpilloverAttempts == before);
  BOOST_TEST(fleet.counters().Shed == 0U);
  BOOST_TEST(fleet.oracle().Violations.empty());
}

// One team requests three times the slots; the other team's few requests hardly
// wait.
BOOST_AUTO_TEST_CASE(SmallTeamIsServedBesideALargeOne) {
  RoutingWorld fleet(world(1));
  feed(fleet, {"large", ms(1), Instant::fromMillis(1000),
               Instant::fromMillis(9000), 2});
  feed(fleet, {"large2", ms(1), Instant::fromMillis(1000),
               Instant::fromMillis(9000), 1});
  feed(fleet, {"small", ms(10), Instant::fromMillis(2000),
               Instant::fromMillis(9000), 2});
  fleet.runUntil(Instant::fromMillis(12000));
  const auto isLate = [](const RequestRecord &record) {
    return !std::holds_alternative<routing::Deliver>(*record.Conclusion) ||
           record.EndedAt - record.SubmittedAt > ms(200);
  };
  const auto late =
      std::ranges::count_if(fleet.records(), [&](const auto &row) {
        return row.second.Request.Team.str() == "small" && isLate(row.second);
      });
  BOOST_TEST(late == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
