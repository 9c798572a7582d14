#include "jujube/control/wait_tracker.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jujube::control {
namespace {

using dispatch::WaitCause;

const jobs::JobId Job("a");

Instant at(int64_t ms) { return Instant::fromMillis(ms); }

Duration waitedFor(const WaitTracker::Account &account, WaitCause why) {
  return account.Waited[static_cast<std::size_t>(why)];
}

BOOST_AUTO_TEST_SUITE(WaitTrackerTest)

BOOST_AUTO_TEST_CASE(TimeIsCountedUnderTheCauseOfTheFirstStepThatWaits) {
  WaitTracker tracker;
  tracker.begin(Job, at(0));
  tracker.update(
      {{{Job, 0, 1}, WaitCause::Capacity}, {{Job, 0, 0}, WaitCause::Approval}},
      at(10));
  tracker.update({{{Job, 0, 1}, WaitCause::Capacity}}, at(60));
  tracker.update({}, at(200));
  const auto account = tracker.finish(Job, at(500));
  BOOST_REQUIRE(account.has_value());
  BOOST_TEST(account->Observed.millis() == 500);
  BOOST_TEST(waitedFor(*account, WaitCause::Approval).millis() == 50);
  BOOST_TEST(waitedFor(*account, WaitCause::Capacity).millis() == 140);
  BOOST_TEST(waitedFor(*account, WaitCause::TeamMaximum).millis() == 0);
  BOOST_TEST(!tracker.finish(Job, at(600)).has_value());
}

BOOST_AUTO_TEST_CASE(WaitsAreLoggedAfterADelay) {
  WaitTracker tracker;
  const std::vector<dispatch::StepWait> room = {
      {{Job, 0, 0}, WaitCause::Capacity}};
  BOOST_TEST(tracker.update(room, at(0)).empty());
  BOOST_TEST(tracker.update(room, at(50)).empty());
  BOOST_TEST(tracker.update(room, at(100)).size() == 1);
  BOOST_TEST(tracker.update(room, at(1000)).empty());
  const std::vector<dispatch::StepWait> team = {
      {{Job, 0, 0}, WaitCause::TeamMaximum}};
  BOOST_TEST(tracker.update(team, at(1050)).empty());
  BOOST_TEST(tracker.update(team, at(1200)).size() == 1);
}

BOOST_AUTO_TEST_CASE(OngoingWaitIsCountedWhenTheJobEnds) {
  WaitTracker tracker;
  tracker.update({{{Job, 0, 0}, WaitCause::NoWorker}}, at(100));
  const auto account = tracker.finish(Job, at(300));
  BOOST_REQUIRE(account.has_value());
  BOOST_TEST(account->Observed.millis() == 200);
  BOOST_TEST(waitedFor(*account, WaitCause::NoWorker).millis() == 200);
}

BOOST_AUTO_TEST_CASE(EachCauseOfAStepIsLoggedOnce) {
  WaitTracker tracker;
  const std::vector<dispatch::StepWait> room = {
      {{Job, 0, 0}, WaitCause::Capacity}};
  const std::vector<dispatch::StepWait> team = {
      {{Job, 0, 0}, WaitCause::TeamMaximum}};
  std::size_t toLog = 0;
  for (int64_t ms = 0; ms < 10'000; ms += 50)
    toLog += tracker.update(ms / 500 % 2 == 0 ? room : team, at(ms)).size();
  BOOST_TEST(toLog == 2U);
}

BOOST_AUTO_TEST_CASE(BacklogDoesNotFloodTheLog) {
  WaitTracker tracker;
  std::vector<dispatch::StepWait> waits;
  waits.reserve(2500);
  for (int i = 0; i < 2500; ++i)
    waits.push_back(
        {{jobs::JobId("j" + std::to_string(i)), 0, 0}, WaitCause::Capacity});
  std::size_t toLog = 0;
  for (int64_t ms = 0; ms <= 5000; ms += 50)
    toLog += tracker.update(waits, at(ms)).size();
  BOOST_TEST(toLog <= 5U * 40);
  const auto room = static_cast<std::size_t>(WaitCause::Capacity);
  BOOST_TEST(tracker.longWaits()[room] == waits.size());
}

BOOST_AUTO_TEST_CASE(PartialPlanLeavesOtherStepsWaiting) {
  WaitTracker tracker;
  const jobs::JobId other("b");
  tracker.update({{{Job, 0, 0}, WaitCause::Capacity},
                  {{other, 0, 0}, WaitCause::Capacity}},
                 at(0));
  dispatch::DispatchPlan plan;
  plan.Starts.push_back(
      {{{Job, 0, 0, 0}, 1, WorkerId("w1")}, "", 0, false, {}});
  tracker.updatePart(plan, at(100));
  BOOST_TEST(tracker.isAnyWaiting());
  BOOST_TEST(
      waitedFor(*tracker.finish(Job, at(300)), WaitCause::Capacity).millis() ==
      100);
  BOOST_TEST(waitedFor(*tracker.finish(other, at(300)), WaitCause::Capacity)
                 .millis() == 300);
  BOOST_TEST(!tracker.isAnyWaiting());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
