#include "jujube/control/wait_ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>

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

BOOST_AUTO_TEST_CASE(StepThatWaitsAgainUnderACauseIsNotToldAgain) {
  WaitLedger ledger;
  const std::vector<dispatch::StepWait> room = {{{Job, 0, 0}, WaitCause::Room}};
  const std::vector<dispatch::StepWait> team = {
      {{Job, 0, 0}, WaitCause::TeamMaximum}};
  std::size_t told = 0;
  for (int64_t ms = 0; ms < 10'000; ms += 50)
    told += ledger.update(ms / 500 % 2 == 0 ? room : team, at(ms)).size();
  BOOST_TEST(told == 2U);
}

BOOST_AUTO_TEST_CASE(BacklogDoesNotFloodTheLog) {
  WaitLedger ledger;
  std::vector<dispatch::StepWait> waits;
  waits.reserve(2500);
  for (int i = 0; i < 2500; ++i)
    waits.push_back(
        {{jobs::JobId("j" + std::to_string(i)), 0, 0}, WaitCause::Room});
  std::size_t told = 0;
  for (int64_t ms = 0; ms <= 5000; ms += 50)
    told += ledger.update(waits, at(ms)).size();
  BOOST_TEST(told <= 5U * 40);
  const auto room = static_cast<std::size_t>(WaitCause::Room);
  BOOST_TEST(ledger.lasting()[room] == waits.size());
}

BOOST_AUTO_TEST_CASE(PartOfThePlansLeavesTheOtherStepsWaiting) {
  WaitLedger ledger;
  const jobs::JobId other("b");
  ledger.update(
      {{{Job, 0, 0}, WaitCause::Room}, {{other, 0, 0}, WaitCause::Room}},
      at(0));
  dispatch::DispatchPlan plan;
  plan.Starts.push_back(
      {{{Job, 0, 0, 0}, 1, WorkerId("w1")}, "", 0, false, {}});
  ledger.updatePart(plan, at(100));
  BOOST_TEST(ledger.isAnyWaiting());
  BOOST_TEST(
      waitedFor(*ledger.finish(Job, at(300)), WaitCause::Room).millis() == 100);
  BOOST_TEST(
      waitedFor(*ledger.finish(other, at(300)), WaitCause::Room).millis() ==
      300);
  BOOST_TEST(!ledger.isAnyWaiting());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
