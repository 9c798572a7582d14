#include "jujube/dispatch/approvals.h"

#include <boost/test/unit_test.hpp>

namespace jujube::dispatch {
namespace {

const jobs::StepKey Step{jobs::JobId("a"), 0, 1};
const jobs::QueueId Queue("plans");
const WorkerId Good("w1");
const WorkerId Bad("w2");
const Instant IssuedAt = Instant::fromMillis(1000);

Approvals answered() {
  Approvals approved;
  const jobs::ApprovalQuery query{Step, {Good, Bad}};
  approved.begin(query, Queue);
  approved.finish(query, {{{Good, "ticket"}}, Duration::millis(1500)},
                  IssuedAt);
  return approved;
}

BOOST_AUTO_TEST_SUITE(ApprovalsTest)

BOOST_AUTO_TEST_CASE(TicketsAreValidForTheirTimeLessAMargin) {
  const Approvals approved = answered();
  BOOST_TEST(approved.ticket(Step, Good, IssuedAt).value() == "ticket");
  BOOST_TEST((approved.stateOf(Step, Bad, IssuedAt) == ApprovalState::Denied));
  const Instant late = IssuedAt + Duration::millis(1500);
  BOOST_TEST((approved.stateOf(Step, Good, late) == ApprovalState::Expired));
  BOOST_TEST(!approved.ticket(Step, Good, late).has_value());
  BOOST_TEST((approved.stateOf(Step, Bad, late) == ApprovalState::Denied));
}

BOOST_AUTO_TEST_CASE(WorkersArePendingUntilTheirOwnQueryEnds) {
  Approvals approved;
  approved.begin({Step, {Good}}, Queue);
  approved.begin({Step, {Bad}}, Queue);
  approved.finish({Step, {Bad}}, {}, IssuedAt);
  BOOST_TEST(approved.isQueryPending(Step));
  BOOST_TEST(approved.find(Step)->Pending.contains(Good));
  BOOST_TEST(!approved.find(Step)->Pending.contains(Bad));
  approved.abandon({Step, {Good}});
  BOOST_TEST(!approved.isQueryPending(Step));
  BOOST_TEST(
      (approved.stateOf(Step, Good, IssuedAt) == ApprovalState::Unknown));
}

BOOST_AUTO_TEST_CASE(RefusedTicketIsNotUsedAgain) {
  Approvals approved = answered();
  approved.expire(Step, Good);
  BOOST_TEST(
      (approved.stateOf(Step, Good, IssuedAt) == ApprovalState::Expired));
}

BOOST_AUTO_TEST_CASE(RateFollowsWhatWasApproved) {
  Approvals approved = answered();
  BOOST_TEST(approved.approvalRate(Queue) == 0.5);
  const jobs::ApprovalQuery again{Step, {Good}};
  approved.begin(again, Queue);
  approved.finish(again, {{{Good, "ticket"}}, Duration::millis(1500)},
                  IssuedAt);
  BOOST_TEST(approved.approvalRate(Queue) == 0.5);
}

BOOST_AUTO_TEST_CASE(WorkerThatIsNoLongerApprovedIsDenied) {
  Approvals approved = answered();
  approved.begin({Step, {Good}}, Queue);
  approved.finish({Step, {Good}}, {{}, Duration::millis(1500)}, IssuedAt);
  BOOST_TEST((approved.stateOf(Step, Good, IssuedAt) == ApprovalState::Denied));
  BOOST_TEST(!approved.ticket(Step, Good, IssuedAt).has_value());
}

BOOST_AUTO_TEST_CASE(RetainDropsOtherSteps) {
  Approvals approved = answered();
  approved.retain([](const jobs::StepKey &) { return false; });
  BOOST_TEST(
      (approved.stateOf(Step, Good, IssuedAt) == ApprovalState::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::dispatch
