// Tests the replicated log under random faults, against ConsensusOracle.
#include "testing/consensus_driver.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <iostream>

#include "jujube/consensus/quorum.h"

namespace jujube::testing {
namespace {

BOOST_AUTO_TEST_SUITE(ConsensusDriverTest)

constexpr Duration Patience = Duration::seconds(60);

// Draws the network, disks and clocks of a case at random.
DriverOptions harsh(std::size_t hosts, bool isDurable) {
  DriverOptions options;
  options.Hosts = hosts;
  options.IsDurable = isDurable;
  options.Seed = *rc::gen::arbitrary<uint64_t>();
  options.LossPerMille = *rc::gen::element(0U, 30U, 200U);
  options.DuplicatePerMille = 50;
  options.LongDelayPerMille = *rc::gen::element(0U, 10U, 50U);
  options.MaxDelay = Duration::millis(*rc::gen::element(3, 20, 100));
  options.MaxSyncDelay = Duration::millis(*rc::gen::element(1, 10, 300));
  options.DriftPerMille = *rc::gen::element(10, 200);
  return options;
}

// Fails the RapidCheck case with the oracle's violation.
void expectSound(const ConsensusDriver &driver) {
  if (driver.oracle().violation())
    RC_FAIL(*driver.oracle().violation());
}

enum class Fault {
  Restart,
  PowerLoss,
  Crash,
  Isolate,
  CutOneWay,
  Pause,
  Heal,
  Transfer,
  Compact,
  Propose,
};
constexpr std::size_t FaultCount = 10;

struct Step {
  Fault What = Fault::Heal;
  std::size_t Host = 0;
  std::size_t Other = 0;
  int64_t WaitMs = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step) {
  return out << "{fault " << static_cast<int>(step.What) << " host "
             << step.Host << " other " << step.Other << " wait " << step.WaitMs
             << "}";
}

rc::Gen<Step> steps() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<std::size_t>(0, FaultCount),
                     rc::gen::inRange<std::size_t>(0, 60),
                     rc::gen::inRange<std::size_t>(0, 60),
                     rc::gen::inRange<int64_t>(0, 1500)),
      [](const auto &drawn) {
        return Step{static_cast<Fault>(std::get<0>(drawn)), std::get<1>(drawn),
                    std::get<2>(drawn), std::get<3>(drawn)};
      });
}

void proposeAtServer(ConsensusDriver &driver, int count) {
  for (int n = 0; n < count; ++n)
    if (const auto leader = driver.server())
      driver.propose(*leader);
}

void inject(ConsensusDriver &driver, const Step &step) {
  const std::size_t host = step.Host % driver.size();
  const std::size_t other = step.Other % driver.size();
  switch (step.What) {
  case Fault::Restart:
    driver.crash(host);
    return driver.start(host);
  case Fault::PowerLoss:
    for (std::size_t i = 0; i < driver.size(); ++i) {
      driver.crash(i);
      driver.start(i);
    }
    return;
  case Fault::Crash:
    return driver.crash(host);
  case Fault::Isolate:
    return driver.isolate(host);
  case Fault::CutOneWay:
    return driver.setCut(host, other, true);
  case Fault::Pause:
    return driver.setPaused(host, true);
  case Fault::Heal:
    return driver.heal();
  case Fault::Transfer:
    return driver.transfer(host);
  case Fault::Compact:
    return driver.compact(host);
  case Fault::Propose:
    return proposeAtServer(driver, 10);
  }
}

// Under any faults the group stays safe, and it serves again once they end.
void runFaults(std::size_t hosts, bool isDurable) {
  const auto plan = *rc::gen::container<std::vector<Step>>(steps());
  ConsensusDriver driver(harsh(hosts, isDurable));
  driver.run(Duration::seconds(2));
  for (const Step &step : plan) {
    inject(driver, step);
    driver.run(Duration::millis(step.WaitMs / 2));
    proposeAtServer(driver, 2);
    driver.run(Duration::millis(step.WaitMs / 2));
    expectSound(driver);
  }
  driver.heal();
  const bool isConverged =
      driver.runUntil([&] { return driver.isConverged(); }, Patience);
  expectSound(driver);
  if (!isConverged)
    RC_FAIL("not converged:" + driver.describe());
  const uint64_t before = driver.acknowledgedCount();
  RC_ASSERT(driver.runUntil(
      [&] {
        proposeAtServer(driver, 1);
        return driver.acknowledgedCount() > before;
      },
      Patience));
  expectSound(driver);
}

BOOST_AUTO_TEST_CASE(DurableGroupOfThreeSurvivesAnyFaults) {
  BOOST_TEST(rc::check([] { runFaults(3, true); }));
}

BOOST_AUTO_TEST_CASE(DurableGroupOfFiveSurvivesAnyFaults) {
  BOOST_TEST(rc::check([] { runFaults(5, true); }));
}

BOOST_AUTO_TEST_CASE(DisklessGroupOfThreeStaysExclusiveUnderAnyFaults) {
  BOOST_TEST(rc::check([] { runFaults(3, false); }));
}

BOOST_AUTO_TEST_CASE(DisklessGroupOfFiveStaysExclusiveUnderAnyFaults) {
  BOOST_TEST(rc::check([] { runFaults(5, false); }));
}

// Diskless hosts are lost in turn, each right after the repair of the previous
// loss: no acknowledged entry is lost, and the group continues to serve.
BOOST_AUTO_TEST_CASE(LossRightAfterRepairLosesNothing) {
  BOOST_TEST(rc::check([] {
    ConsensusDriver driver(harsh(3, false));
    RC_ASSERT(driver.runUntil([&] { return driver.isConverged(); }, Patience));
    const consensus::GroupId group = driver.node(*driver.server()).group();
    const auto losses = *rc::gen::container<std::vector<std::size_t>>(
        8, rc::gen::inRange<std::size_t>(0, 3));
    for (const std::size_t lost : losses) {
      proposeAtServer(driver, 5);
      driver.run(Duration::millis(200));
      const LogIndex acknowledged = driver.oracle().acknowledged(group);
      driver.crash(lost);
      driver.run(Duration::millis(100));
      driver.start(lost);
      RC_ASSERT(driver.runUntil([&] { return driver.isRepaired(); }, Patience));
      expectSound(driver);
      RC_ASSERT(driver.node(*driver.server()).group() == group);
      RC_ASSERT(driver.applied(*driver.server()).Last >= acknowledged);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
