#include <algorithm>
#include <variant>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "absl/strings/str_cat.h"
#include "testing/routing_world.h"

namespace jujube::testing {
namespace {

using routing::Deliver;
using routing::MarkUnresolved;

Duration ms(int64_t n) { return Duration::millis(n); }

// Short leases, so that a run covers many of them.
WorldOptions smallWorld(uint64_t seed) {
  WorldOptions options;
  options.Zones = 2;
  options.EntryHostsPerZone = 2;
  options.RunnersPerZone = 2;
  options.Slots = 3;
  options.Seed = seed;
  options.Router.Lease = ms(600);
  options.Router.MaxRequestTime = ms(1500);
  // Longer than the longest message delay in these tests.
  options.Router.EndMargin = ms(450);
  options.Router.MaxPerRunner = 3;
  options.Router.ResolveWithin = Duration::seconds(5);
  options.ServiceOf = [](const RunnerId &) { return Service{ms(40)}; };
  return options;
}

routing::LiveRequest request(std::size_t n, bool isIdempotent,
                             Duration timeout) {
  return {RequestId(absl::StrCat("z.r", n)), TeamId(absl::StrCat("t", n % 3)),
          EntryId(), isIdempotent, Instant::fromMillis(timeout.millis())};
}

// Submits `count` requests, one every `gap`, at alternating entry hosts.
void feed(RoutingWorld &world, std::size_t count, Duration gap,
          Duration timeout) {
  for (std::size_t n = 0; n < count; ++n)
    world.at(world.now() + gap * static_cast<int64_t>(n), [&world, n, timeout] {
      world.submit(n % world.entryHostCount(), request(n, n % 2 == 0, timeout));
    });
}

template <typename T> std::size_t countOf(const RoutingWorld &world) {
  return static_cast<std::size_t>(
      std::ranges::count_if(world.records(), [](const auto &row) {
        return row.second.Conclusion &&
               std::holds_alternative<T>(*row.second.Conclusion);
      }));
}

std::string firstViolation(const RoutingWorld &world) {
  const auto &all = world.oracle().Violations;
  return all.empty() ? "" : all.front();
}

// A fault to apply at a moment of a run.
enum class Fault {
  KillEntryHost,
  RestartEntryHost,
  ChangeLeader,
  CutOff,
  Join,
  KillRunner,
  RestartRunner,
  LeaveRunner,
  LoseMessages,
  DelayMessages,
  HealMessages,
  Drain,
};
constexpr int FaultCount = 12;

void apply(RoutingWorld &world, Fault fault, std::size_t which) {
  const std::size_t host = which % world.entryHostCount();
  const std::size_t zone = which % 2;
  FakeRunner &runner = world.runner(which % world.runnerCount());
  switch (fault) {
  case Fault::KillEntryHost:
    return world.killEntryHost(host);
  case Fault::RestartEntryHost:
    return world.restartEntryHost(host);
  case Fault::ChangeLeader:
    return world.changeLeader(zone);
  case Fault::CutOff:
    return world.cutOff(zone, true);
  case Fault::Join:
    return world.cutOff(zone, false);
  case Fault::KillRunner:
    return runner.kill();
  case Fault::RestartRunner:
    return runner.isAlive() ? void() : runner.restart();
  case Fault::LeaveRunner:
    return runner.leave();
  case Fault::LoseMessages:
    return world.setFaults({200, 100, ms(0)});
  case Fault::DelayMessages:
    return world.setFaults({50, 100, ms(400)});
  case Fault::HealMessages:
    return world.setFaults({});
  case Fault::Drain:
    return world.drainEntryHost(host);
  }
}

BOOST_AUTO_TEST_SUITE(RoutingWorldSuite)

// Under any order of faults: no runner exceeds its slots, requests run at most
// once, "not run" is true, each request gets one conclusion, and no request
// starts after its runner has left.
BOOST_AUTO_TEST_CASE(GuaranteesHoldUnderFaults) {
  const bool isGood = rc::check("promises hold under faults", [] {
    WorldOptions options = smallWorld(*rc::gen::arbitrary<uint64_t>());
    options.MaxDriftPermille = 5;
    options.ServiceOf =
        [random = std::mt19937_64(options.Seed)](const RunnerId &) mutable {
          std::uniform_int_distribution<int64_t> time(1, 180);
          return Service{ms(time(random)), random() % 16 == 0};
        };
    RoutingWorld world(options);
    feed(world, 600, ms(8), ms(900));
    const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, FaultCount), rc::gen::inRange(0, 8)));
    for (std::size_t i = 0; i < faults.size(); ++i)
      world.at(Instant::fromMillis(200 + 150 * static_cast<int64_t>(i)),
               [&world, fault = faults[i]] {
                 apply(world, static_cast<Fault>(fault.first),
                       static_cast<std::size_t>(fault.second));
               });
    world.runUntil(Instant::fromMillis(20000));
    if (!world.oracle().Violations.empty())
      RC_FAIL(firstViolation(world));
    RC_TAG(world.oracle().Starts > 300 ? "busy" : "quiet");
  });
  BOOST_TEST(isGood);
}

// Without restarts every caller gets exactly one conclusion.
BOOST_AUTO_TEST_CASE(EveryRequestIsConcluded) {
  const bool isGood = rc::check("every request is concluded", [] {
    WorldOptions options = smallWorld(*rc::gen::arbitrary<uint64_t>());
    options.Faults = {*rc::gen::inRange<uint32_t>(0, 300),
                      *rc::gen::inRange<uint32_t>(0, 300),
                      ms(*rc::gen::inRange(0, 100))};
    RoutingWorld world(options);
    feed(world, 400, ms(5), ms(800));
    world.runUntil(Instant::fromMillis(15000));
    if (!world.oracle().Violations.empty())
      RC_FAIL(firstViolation(world));
    for (const auto &[id, record] : world.records())
      RC_ASSERT(record.Conclusion.has_value());
  });
  BOOST_TEST(isGood);
}

BOOST_AUTO_TEST_CASE(QuietFleetAnswersEverything) {
  RoutingWorld world(smallWorld(1));
  world.runUntil(Instant::fromMillis(1500));
  feed(world, 400, ms(10), ms(1000));
  world.runUntil(Instant::fromMillis(10000));
  BOOST_TEST(firstViolation(world) == "");
  BOOST_TEST(countOf<Deliver>(world) == 400U);
}

BOOST_AUTO_TEST_CASE(CutOffZoneServesWithItsOwnRunners) {
  RoutingWorld world(smallWorld(2));
  world.runUntil(Instant::fromMillis(1500));
  world.cutOff(0, true);
  // Runners of the other zone are removed after their lease.
  world.runUntil(Instant::fromMillis(6000));
  feed(world, 400, ms(10), ms(1000));
  world.runUntil(Instant::fromMillis(15000));
  BOOST_TEST(firstViolation(world) == "");
  BOOST_TEST(countOf<Deliver>(world) == 400U);
}

BOOST_AUTO_TEST_CASE(NewLeaderKeepsWhatIsHeldAndThenGrants) {
  RoutingWorld world(smallWorld(3));
  world.runUntil(Instant::fromMillis(1500));
  feed(world, 600, ms(10), ms(2500));
  world.at(Instant::fromMillis(3000), [&world] { world.changeLeader(0); });
  world.at(Instant::fromMillis(3000), [&world] { world.changeLeader(1); });
  world.runUntil(Instant::fromMillis(15000));
  BOOST_TEST(firstViolation(world) == "");
  BOOST_TEST(countOf<Deliver>(world) == 600U);
}

BOOST_AUTO_TEST_CASE(CreditsOfADeadEntryHostComeBack) {
  RoutingWorld world(smallWorld(4));
  world.runUntil(Instant::fromMillis(1500));
  feed(world, 60, ms(2), ms(3000));
  world.at(Instant::fromMillis(1600), [&world] { world.killEntryHost(0); });
  world.runUntil(Instant::fromMillis(6000));
  for (std::size_t n = 1000; n < 1024; ++n)
    world.submit(1, request(n, true, ms(400)));
  world.runUntil(Instant::fromMillis(7000));
  BOOST_TEST(firstViolation(world) == "");
  // Two rounds over all slots of both zones: no slot stays reserved for the
  // dead host.
  const auto late = std::ranges::count_if(world.records(), [](const auto &row) {
    return row.second.SubmittedAt >= Instant::fromMillis(6000) &&
           row.second.Conclusion &&
           std::holds_alternative<Deliver>(*row.second.Conclusion);
  });
  BOOST_TEST(late == 24);
}

BOOST_AUTO_TEST_CASE(DrainHandsOverWhatIsQueuedAndFinishesTheRest) {
  RoutingWorld world(smallWorld(5));
  world.runUntil(Instant::fromMillis(1500));
  for (std::size_t n = 0; n < 40; ++n)
    world.submit(0, request(n, false, ms(2000)));
  world.at(Instant::fromMillis(1520), [&world] { world.drainEntryHost(0); });
  world.runUntil(Instant::fromMillis(6000));
  BOOST_TEST(firstViolation(world) == "");
  BOOST_TEST(countOf<Deliver>(world) == 40U);
}

// If the answer to a non-idempotent request is lost, the request is reported as
// unresolved, then resolved by an inquiry, and not sent again.
BOOST_AUTO_TEST_CASE(LostAnswerIsResolvedByInquiry) {
  WorldOptions options = smallWorld(6);
  options.ServiceOf = [](const RunnerId &) { return Service{ms(300)}; };
  RoutingWorld world(options);
  world.runUntil(Instant::fromMillis(1500));
  world.submit(0, request(1, false, ms(600)));
  world.at(Instant::fromMillis(1600), [&world] {
    world.setFaults({1000, 0, ms(0)});
  });
  world.runUntil(Instant::fromMillis(2250));
  BOOST_TEST(countOf<MarkUnresolved>(world) == 1U);
  world.setFaults({});
  world.runUntil(Instant::fromMillis(4000));
  BOOST_TEST(countOf<Deliver>(world) == 1U);
  BOOST_TEST(world.oracle().Starts == 1U);
  BOOST_TEST(firstViolation(world) == "");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
