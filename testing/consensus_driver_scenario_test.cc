// Tests single failure scenarios of the replicated log.
#include "testing/consensus_driver.h"

#include <boost/test/unit_test.hpp>

#include "jujube/consensus/quorum.h"

namespace jujube::testing {
namespace {

constexpr Duration Patience = Duration::seconds(20);

DriverOptions quiet(std::size_t hosts, bool isDurable) {
  DriverOptions options;
  options.Hosts = hosts;
  options.IsDurable = isDurable;
  return options;
}

void requireWhole(ConsensusDriver &driver) {
  const bool isConverged =
      driver.runUntil([&] { return driver.isConverged(); }, Patience);
  BOOST_REQUIRE_MESSAGE(isConverged, driver.describe());
  BOOST_REQUIRE_MESSAGE(!driver.oracle().violation(),
                        driver.oracle().violation().value_or(""));
}

// Proposes `count` commands at the server and waits until they are committed.
void commit(ConsensusDriver &driver, int count) {
  const uint64_t wanted =
      driver.acknowledgedCount() + static_cast<uint64_t>(count);
  const auto leader = driver.server();
  BOOST_REQUIRE(leader.has_value());
  for (int n = 0; n < count; ++n)
    driver.propose(*leader);
  BOOST_REQUIRE(driver.runUntil(
      [&] { return driver.acknowledgedCount() >= wanted; }, Patience));
}

std::size_t otherThan(std::size_t a, std::size_t b = SIZE_MAX) {
  std::size_t i = 0;
  while (i == a || i == b)
    ++i;
  return i;
}

BOOST_AUTO_TEST_SUITE(ConsensusScenarioTest)

// A partitioned leader stops serving before its successor starts, and does not
// disturb the group when it returns after a long time.
BOOST_AUTO_TEST_CASE(CutOffLeaderStepsDownAndReturns) {
  ConsensusDriver driver(quiet(3, true));
  requireWhole(driver);
  commit(driver, 10);
  const std::size_t old = *driver.server();
  const Term term = driver.node(old).term();
  driver.isolate(old);
  BOOST_REQUIRE(driver.runUntil(
      [&] { return driver.server() && *driver.server() != old; }, Patience));
  commit(driver, 10);
  driver.run(Duration::minutes(10));
  BOOST_TEST((driver.node(old).role() != consensus::Role::Leader));
  const std::size_t successor = *driver.server();
  const Term settled = driver.node(successor).term();
  BOOST_TEST(settled.Value > term.Value);
  driver.heal();
  requireWhole(driver);
  // Pre-vote keeps the returning host from disturbing the leader.
  BOOST_TEST(*driver.server() == successor);
  BOOST_TEST(driver.node(successor).term().Value == settled.Value);
}

// A leader that is paused past its lease does not serve when it resumes.
BOOST_AUTO_TEST_CASE(PausedLeaderLosesItsLease) {
  ConsensusDriver driver(quiet(3, false));
  requireWhole(driver);
  const std::size_t old = *driver.server();
  driver.setPaused(old, true);
  BOOST_REQUIRE(driver.runUntil(
      [&] { return driver.server() && *driver.server() != old; }, Patience));
  driver.setPaused(old, false);
  requireWhole(driver);
  BOOST_TEST(*driver.server() != old);
}

BOOST_AUTO_TEST_CASE(MemberThatMissedThousandChangesGetsASnapshot) {
  ConsensusDriver driver(quiet(3, true));
  requireWhole(driver);
  const std::size_t leader = *driver.server();
  const std::size_t lagging = otherThan(leader);
  driver.crash(lagging);
  for (int n = 0; n < 10; ++n)
    commit(driver, 100);
  driver.compact(leader);
  BOOST_TEST(driver.node(leader).log().first().Value > 900U);
  driver.start(lagging);
  requireWhole(driver);
  BOOST_TEST(driver.node(lagging).log().snapshotIndex().Value > 900U);
}

BOOST_AUTO_TEST_CASE(TransferLeavesNoGapOfALease) {
  ConsensusDriver driver(quiet(3, true));
  requireWhole(driver);
  commit(driver, 5);
  const std::size_t old = *driver.server();
  driver.transfer(old);
  const Instant begin = driver.trueTime();
  BOOST_REQUIRE(
      driver.runUntil([&] { return driver.server().has_value(); }, Patience));
  BOOST_TEST(*driver.server() != old);
  // A transfer waits neither for an election timeout nor for a lease to end.
  BOOST_TEST((driver.trueTime() - begin).millis() < 100);
}

// One of three diskless hosts restarts: the others continue as a majority, and
// the host returns as a learner first.
BOOST_AUTO_TEST_CASE(RestartedDisklessHostRejoinsAsNewMember) {
  ConsensusDriver driver(quiet(3, false));
  requireWhole(driver);
  commit(driver, 20);
  const std::size_t leader = *driver.server();
  const std::size_t lost = otherThan(leader);
  const consensus::GroupId group = driver.node(leader).group();
  driver.crash(lost);
  driver.start(lost);
  const auto asMember = [&] {
    return consensus::findMember(driver.node(leader).membership(),
                                 driver.idOf(lost));
  };
  BOOST_REQUIRE(driver.runUntil(
      [&] { return !asMember() || !asMember()->IsVoter; }, Patience));
  commit(driver, 1);
  requireWhole(driver);
  BOOST_TEST((driver.node(lost).group() == group));
  BOOST_TEST(asMember()->HostIncarnation.Value == 2U);
}

// The second host is lost before the first is a voter again: the last one holds
// every committed entry and continues.
BOOST_AUTO_TEST_CASE(LastVoterRecoversTheGroup) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    DriverOptions options = quiet(3, false);
    options.Seed = seed;
    ConsensusDriver driver(options);
    requireWhole(driver);
    commit(driver, 20);
    const std::size_t leader = *driver.server();
    const std::size_t first = otherThan(leader);
    const consensus::GroupId group = driver.node(leader).group();
    driver.crash(first);
    driver.start(first);
    BOOST_REQUIRE(driver.runUntil(
        [&] {
          return consensus::voterCount(driver.node(leader).membership()) == 2;
        },
        Patience));
    driver.run(Duration::millis(20));
    commit(driver, 1);
    driver.crash(leader);
    driver.start(leader);
    requireWhole(driver);
    BOOST_TEST((driver.node(first).group() == group));
    BOOST_TEST(driver.applied(first).Last.Value >=
               driver.oracle().acknowledged(group).Value);
  }
}

// All hosts of a diskless group are lost at once: the new group has another id,
// so that its owner knows that the state was lost.
BOOST_AUTO_TEST_CASE(LossOfAMajorityFoundsAnotherGroup) {
  for (const std::size_t losses : {2, 3}) {
    ConsensusDriver driver(quiet(3, false));
    requireWhole(driver);
    commit(driver, 5);
    const consensus::GroupId group = driver.node(0).group();
    for (std::size_t i = 0; i < losses; ++i)
      driver.crash(i);
    for (std::size_t i = 0; i < losses; ++i)
      driver.start(i);
    requireWhole(driver);
    BOOST_TEST((driver.node(0).group() != group));
    BOOST_TEST(driver.oracle().groupCount() == 2U);
    commit(driver, 5);
  }
}

// Time from the loss of a leader until another host serves, on the driver's
// clock.
BOOST_AUTO_TEST_CASE(FailoverTakesLessThanASecond) {
  for (const bool isDurable : {true, false}) {
    for (uint64_t seed = 1; seed <= 50; ++seed) {
      DriverOptions options = quiet(3, isDurable);
      options.Seed = seed;
      ConsensusDriver driver(options);
      requireWhole(driver);
      const std::size_t old = *driver.server();
      driver.crash(old);
      BOOST_TEST(driver.runUntil([&] { return driver.server().has_value(); },
                                 Duration::seconds(1)));
    }
  }
}

BOOST_AUTO_TEST_CASE(SingleHostServesAlone) {
  for (const bool isDurable : {true, false}) {
    ConsensusDriver driver(quiet(1, isDurable));
    requireWhole(driver);
    commit(driver, 5);
    driver.crash(0);
    driver.start(0);
    requireWhole(driver);
    commit(driver, 5);
    BOOST_TEST(driver.oracle().groupCount() == (isDurable ? 1U : 2U));
  }
}

BOOST_AUTO_TEST_CASE(OneBlankHostFoundsNothing) {
  ConsensusDriver driver(quiet(3, false));
  requireWhole(driver);
  driver.isolate(1);
  driver.crash(1);
  driver.start(1);
  driver.run(Duration::minutes(5));
  BOOST_TEST(driver.node(1).group().isBlank());
  driver.heal();
  requireWhole(driver);
  BOOST_TEST(driver.oracle().groupCount() == 1U);
}

// Three hosts that don't hear of each other found a group each, and the two
// others bind to different ones: no group gets a quorum, and all but one end.
BOOST_AUTO_TEST_CASE(SplitFoundingEndsInOneGroup) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    DriverOptions options = quiet(5, false);
    options.Seed = seed;
    ConsensusDriver driver(options);
    for (std::size_t i = 0; i < 3; ++i)
      for (std::size_t k = 0; k < 3; ++k)
        driver.setCut(i, k, true);
    driver.run(Duration::seconds(10));
    driver.heal();
    requireWhole(driver);
    commit(driver, 1);
  }
}

// Hosts with disks found a group only together, and never a second one.
BOOST_AUTO_TEST_CASE(DurableHostsFoundOnlyTogether) {
  ConsensusDriver driver(quiet(3, true));
  driver.isolate(2);
  driver.run(Duration::minutes(1));
  BOOST_TEST(driver.oracle().groupCount() == 0U);
  driver.heal();
  requireWhole(driver);
  for (std::size_t i = 0; i < 3; ++i)
    driver.crash(i);
  driver.heal();
  requireWhole(driver);
  BOOST_TEST(driver.oracle().groupCount() == 1U);
}

DriverOptions withStandby() {
  DriverOptions options = quiet(3, true);
  options.Standbys = 1;
  options.Adjust = [](consensus::Options &node) {
    node.ReplaceAfter = Duration::seconds(10);
  };
  return options;
}

BOOST_AUTO_TEST_CASE(SilentVoterIsReplacedWhileTheOthersAreAQuorum) {
  ConsensusDriver driver(withStandby());
  requireWhole(driver);
  commit(driver, 10);
  const std::size_t leader = *driver.server();
  const std::size_t gone = otherThan(leader);
  driver.isolate(gone);
  driver.run(Duration::seconds(9));
  BOOST_TEST(consensus::findMember(driver.node(leader).membership(),
                                   driver.idOf(gone)) != nullptr);
  driver.run(Duration::seconds(5));
  const consensus::Member *standby =
      consensus::findMember(driver.node(leader).membership(), driver.idOf(3));
  BOOST_REQUIRE(standby != nullptr);
  BOOST_TEST(standby->IsVoter);
  // After the repair, one more loss leaves a quorum with all committed entries.
  driver.crash(otherThan(leader, gone));
  commit(driver, 5);
  driver.heal();
  driver.run(Duration::seconds(5));
  BOOST_TEST(!driver.oracle().violation().has_value());
  BOOST_TEST(*driver.server() == leader);
}

BOOST_AUTO_TEST_CASE(NoReplacementWithoutAQuorumOfTheRest) {
  ConsensusDriver driver(withStandby());
  requireWhole(driver);
  const std::size_t leader = *driver.server();
  const std::size_t first = otherThan(leader);
  driver.isolate(first);
  driver.crash(otherThan(leader, first));
  driver.run(Duration::minutes(1));
  BOOST_TEST(consensus::findMember(driver.node(leader).membership(),
                                   driver.idOf(3)) == nullptr);
}

BOOST_AUTO_TEST_CASE(OperatorReplacesAMember) {
  ConsensusDriver driver(withStandby());
  requireWhole(driver);
  const std::size_t leader = *driver.server();
  const std::size_t gone = otherThan(leader);
  BOOST_TEST(!isOk(driver.replace(leader, leader, 3)));
  BOOST_TEST(!isOk(driver.replace(gone, leader, 3)));
  // The leader must have heard from the standby.
  driver.run(Duration::seconds(1));
  const auto replaced = driver.replace(leader, gone, 3);
  BOOST_REQUIRE_MESSAGE(isOk(replaced), "replacement refused");
  driver.run(Duration::seconds(2));
  const consensus::Membership &members = driver.node(leader).membership();
  BOOST_TEST(consensus::findMember(members, driver.idOf(3))->IsVoter);
  BOOST_TEST(consensus::voterCount(members) == 3U);
  BOOST_TEST(!driver.oracle().violation().has_value());
}

BOOST_AUTO_TEST_CASE(FollowerAndOverloadedLeaderRefuse) {
  DriverOptions options = quiet(3, true);
  options.Adjust = [](consensus::Options &node) {
    node.MaxUncommittedBytes = 512;
  };
  ConsensusDriver driver(options);
  requireWhole(driver);
  const std::size_t leader = *driver.server();
  driver.propose(otherThan(leader));
  for (int n = 0; n < 100; ++n)
    driver.propose(leader);
  driver.run(Duration::seconds(1));
  BOOST_TEST(driver.acknowledgedCount() > 0U);
  BOOST_TEST(driver.acknowledgedCount() < 20U);
  requireWhole(driver);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
