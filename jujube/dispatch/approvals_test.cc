#include "jujube/dispatch/approvals.h"

#include <boost/test/unit_test.hpp>

namespace jujube::dispatch {
namespace {

const jobs::StepKey Step{jobs::JobId("a"), 0, 1};
const jobs::QueueId Queue("plans");
const WorkerId Good("w1");
const WorkerId Bad("w2");
const Instant Sent = Instant::atMillis(1000);

Approvals answered() {
  Approvals approved;
  const jobs::ApprovalQuery query{Step, {Good, Bad}};
  approved.begin(query, Queue);
  approved.finish(query, {{{Good, "ticket"}}, Duration::millis(1500)}, Sent);
  return approved;
}

BOOST_AUTO_TEST_SUITE(ApprovalsTest)

BOOST_AUTO_TEST_CASE(TicketsAreValidForTheirTimeLessAMargin) {
  const Approvals approved = answered();
  BOOST_TEST(approved.ticket(Step, Good, Sent).value() == "ticket");
  BOOST_TEST((approved.stateOf(Step, Bad, Sent) == ApprovalState::Denied));
  const Instant late = Sent + Duration::millis(1500);
  BOOST_TEST((approved.stateOf(Step, Good, late) == ApprovalState::Expired));
  BOOST_TEST(!approved.ticket(Step, Good, late).has_value());
  BOOST_TEST((approved.stateOf(Step, Bad, late) == ApprovalState::Denied));
}

BOOST_AUTO_TEST_CASE(OneQueryAtATimeForAStep) {
  Approvals approved;
  approved.begin({Step, {Good}}, Queue);
  BOOST_TEST(approved.isAsking(Step));
  approved.abandon(Step);
  BOOST_TEST(!approved.isAsking(Step));
  BOOST_TEST((approved.stateOf(Step, Good, Sent) == ApprovalState::Unknown));
}

BOOST_AUTO_TEST_CASE(RefusedTicketIsNotUsedAgain) {
  Approvals approved = answered();
  approved.expire(Step, Good);
  BOOST_TEST((approved.stateOf(Step, Good, Sent) == ApprovalState::Expired));
}

BOOST_AUTO_TEST_CASE(RateFollowsWhatWasApproved) {
  Approvals approved = answered();
  BOOST_TEST(approved.approvalRate(Queue) == 0.5);
  const jobs::ApprovalQuery again{Step, {Good}};
  approved.begin(again, Queue);
  approved.finish(again, {{{Good, "ticket"}}, Duration::millis(1500)}, Sent);
  BOOST_TEST(approved.approvalRate(Queue) == 0.5);
}

BOOST_AUTO_TEST_CASE(StepsThatAreNotWantedAreForgotten) {
  Approvals approved = answered();
  approved.retain([](const jobs::StepKey &) { return false; });
  BOOST_TEST((approved.stateOf(Step, Good, Sent) == ApprovalState::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::dispatch
