#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "testing/state_script.h"
#include "testing/state_slices.h"

namespace jujube::testing {
namespace {

void runStep(SliceDriver &driver, Step step) {
  const uint32_t kind = step.take(13);
  const uint32_t zone = step.take(SliceZones);
  const uint32_t team = step.take(SliceTeams);
  switch (kind) {
  case 0:
  case 1:
    driver.setLink(zone, static_cast<LinkState>(step.take(4)));
    break;
  case 2:
  case 3:
  case 4:
    driver.setDemand(zone, team, step.take(150));
    break;
  case 5:
    driver.killLeader(zone, Duration::millis(step.take(15'000)));
    break;
  case 6:
    driver.changeKeeper(Duration::millis(step.take(40'000)));
    break;
  case 7:
    driver.setCeiling(team, step.take(200));
    break;
  case 8:
    driver.setWorkersReachable(zone, step.flip());
    break;
  case 9:
    driver.setJournalStalled(zone, step.flip());
    break;
  default:
    RC_ASSERT(driver.advance(Duration::millis(250 + step.take(12'000))));
  }
}

BOOST_AUTO_TEST_SUITE(SlicesSuite)

RC_BOOST_PROP(NoTeamPassesItsCeiling, ()) {
  SliceDriver driver(*rc::gen::inRange<uint32_t>(1, 1'000'000));
  for (const Step step : drawScript(150))
    runStep(driver, step);
  for (uint32_t zone = 0; zone < SliceZones; ++zone) {
    driver.setLink(zone, LinkState::Clean);
    driver.setWorkersReachable(zone, true);
    driver.setJournalStalled(zone, false);
  }
  // Once the faults are over, every ceiling comes into force.
  RC_ASSERT(driver.advance(Duration::seconds(120)));
  for (uint32_t team = 0; team < SliceTeams; ++team)
    RC_ASSERT(driver.isCeilingMet(team));
}

BOOST_AUTO_TEST_CASE(IdleSlicesMoveToTheQueueWithinSeconds) {
  SliceDriver driver(1);
  BOOST_TEST(driver.advance(Duration::seconds(10)));
  driver.setDemand(0, 0, 100);
  BOOST_TEST(driver.advance(Duration::seconds(4)));
  BOOST_TEST(driver.running(0, 0) >= 90U);
  driver.setDemand(0, 0, 0);
  driver.setDemand(1, 0, 100);
  BOOST_TEST(driver.advance(Duration::seconds(4)));
  BOOST_TEST(driver.running(1, 0) >= 90U);
}

BOOST_AUTO_TEST_CASE(CutOffZoneKeepsItsGuaranteedPart) {
  SliceDriver driver(1);
  BOOST_TEST(driver.advance(Duration::seconds(10)));
  driver.setDemand(0, 0, 60);
  BOOST_TEST(driver.advance(Duration::seconds(4)));
  BOOST_TEST(driver.running(0, 0) == 60U);
  driver.setLink(0, LinkState::Cut);
  driver.setLink(2, LinkState::Cut);
  driver.setDemand(1, 0, 100);
  driver.setDemand(2, 0, 10);
  BOOST_TEST(driver.advance(Duration::seconds(10)));
  BOOST_TEST(driver.running(2, 0) == 10U);
  BOOST_TEST(driver.running(0, 0) == 60U);
  // The borrowed part of the zone that is cut off expires and is lent again.
  BOOST_TEST(driver.advance(Duration::seconds(30)));
  BOOST_TEST(driver.running(0, 0) == 16U);
  BOOST_TEST(driver.running(1, 0) >= 60U);
}

BOOST_AUTO_TEST_CASE(LoweredCeilingStopsTasksAndComesIntoForce) {
  SliceDriver driver(1);
  driver.setDemand(0, 0, 80);
  BOOST_TEST(driver.advance(Duration::seconds(10)));
  BOOST_TEST(driver.running(0, 0) == 80U);
  driver.setCeiling(0, 30);
  BOOST_TEST(!driver.isCeilingMet(0));
  BOOST_TEST(driver.advance(Duration::seconds(4)));
  BOOST_TEST(driver.isCeilingMet(0));
  BOOST_TEST(driver.running(0, 0) >= 25U);
  BOOST_TEST(driver.running(0, 0) <= 30U);
}

BOOST_AUTO_TEST_CASE(RetiredZoneFreesItsSlices) {
  SliceDriver driver(1);
  BOOST_TEST(driver.advance(Duration::seconds(10)));
  limits::SliceLedger ledger = driver.ledger();
  const TeamId team("team0");
  BOOST_TEST((ledger.held(team) != Resources{}));
  for (uint32_t zone = 0; zone < SliceZones; ++zone)
    ledger.apply(limits::RetireZone{ZoneId("zone" + std::to_string(zone))});
  BOOST_TEST((ledger.held(team) == Resources{}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
