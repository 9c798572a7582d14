#include "jujube/control/wait_ledger.h"

#include <boost/test/unit_test.hpp>

namespace jujube::control {
namespace {

using dispatch::WaitCause;

const jobs::JobId Job("a");

Instant at(int64_t ms) { return Instant::atMillis(ms); }

Duration waitedFor(const WaitLedger::Account &account, WaitCause why) {
  return account.Waited[static_cast<std::size_t>(why)];
}

BOOST_AUTO_TEST_SUITE(WaitLedgerTest)

BOOST_AUTO_TEST_CASE(TimeIsCountedUnderTheCauseOfTheFirstStepThatWaits) {
  WaitLedger ledger;
  ledger.begin(Job, at(0));
  ledger.update(
      {{{Job, 0, 1}, WaitCause::Room}, {{Job, 0, 0}, WaitCause::Approval}},
      at(10));
  ledger.update({{{Job, 0, 1}, WaitCause::Room}}, at(60));
  ledger.update({}, at(200));
  const auto account = ledger.finish(Job, at(500));
  BOOST_REQUIRE(account.has_value());
  BOOST_TEST(account->Observed.millis() == 500);
  BOOST_TEST(waitedFor(*account, WaitCause::Approval).millis() == 50);
  BOOST_TEST(waitedFor(*account, WaitCause::Room).millis() == 140);
  BOOST_TEST(waitedFor(*account, WaitCause::TeamMaximum).millis() == 0);
  BOOST_TEST(!ledger.finish(Job, at(600)).has_value());
}

BOOST_AUTO_TEST_CASE(WaitsAreToldOnceTheyHaveLasted) {
  WaitLedger ledger;
  const std::vector<dispatch::StepWait> room = {{{Job, 0, 0}, WaitCause::Room}};
  BOOST_TEST(ledger.update(room, at(0)).empty());
  BOOST_TEST(ledger.update(room, at(50)).empty());
  BOOST_TEST(ledger.update(room, at(100)).size() == 1);
  BOOST_TEST(ledger.update(room, at(1000)).empty());
  const std::vector<dispatch::StepWait> team = {
      {{Job, 0, 0}, WaitCause::TeamMaximum}};
  BOOST_TEST(ledger.update(team, at(1050)).empty());
  BOOST_TEST(ledger.update(team, at(1200)).size() == 1);
}

BOOST_AUTO_TEST_CASE(WaitThatIsUnderWayCountsAtTheEnd) {
  WaitLedger ledger;
  ledger.update({{{Job, 0, 0}, WaitCause::NoWorker}}, at(100));
  const auto account = ledger.finish(Job, at(300));
  BOOST_REQUIRE(account.has_value());
  BOOST_TEST(account->Observed.millis() == 200);
  BOOST_TEST(waitedFor(*account, WaitCause::NoWorker).millis() == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
