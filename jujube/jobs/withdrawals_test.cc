#include "jujube/jobs/withdrawals.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jujube::jobs {
namespace {

const Owner A{TeamId("a"), "key-a"};
const Owner B{TeamId("b"), "key-b"};
const JobId Job("job");

JobId jobOf(std::size_t n) { return JobId("job-" + std::to_string(n)); }

BOOST_AUTO_TEST_SUITE(WithdrawalsTest)

// Guards against a caller that blocks the ids of another team.
BOOST_AUTO_TEST_CASE(WithdrawalAppliesToItsOwnerOnly) {
  Withdrawals held;
  held.record(Job, A);
  held.record(Job, A);
  BOOST_TEST(held.size() == 1U);
  BOOST_TEST(held.contains(Job, A));
  BOOST_TEST(!held.contains(Job, B));
  held.record(Job, B);
  BOOST_TEST(held.contains(Job, B));
  // Another key of the team, or the same key in another team.
  BOOST_TEST(held.contains(Job, {A.Team, "other"}));
  BOOST_TEST(held.contains(Job, {TeamId("other"), A.Key}));
  BOOST_TEST(!held.contains(Job, {TeamId("other"), ""}));
  held.forget(Job);
  BOOST_TEST(held.size() == 0U);
}

// Guards against a team that cancels more unknown ids than fit into memory, and
// against one that leaves no room for the others.
BOOST_AUTO_TEST_CASE(WithdrawalsAreBoundedForEachTeamAndInTotal) {
  Withdrawals held;
  for (std::size_t i = 0; i < 2 * Withdrawals::MaxPerTeam; ++i)
    held.record(jobOf(i), A);
  BOOST_TEST(held.size() == Withdrawals::MaxPerTeam);
  BOOST_TEST(!held.hasRoomFor(A.Team));
  BOOST_TEST(held.hasRoomFor(B.Team));
  // Those that were recorded are kept.
  BOOST_TEST(held.contains(jobOf(0), A));
  for (std::size_t i = 0; i < 2 * Withdrawals::MaxTotal; ++i)
    held.record(jobOf(i), {TeamId("team-" + std::to_string(i)), ""});
  BOOST_TEST(held.size() == Withdrawals::MaxTotal);
  BOOST_TEST(!held.hasRoomFor(B.Team));
  held.forget(jobOf(0));
  BOOST_TEST(held.hasRoomFor(A.Team));
}

BOOST_AUTO_TEST_CASE(RestoredWithdrawalsAreTheSame) {
  Withdrawals held;
  for (std::size_t i = 0; i < Withdrawals::MaxPerTeam; ++i)
    held.record(jobOf(i), A);
  held.record(Job, B);
  Withdrawals restored = Withdrawals::restore(held.capture());
  BOOST_TEST((restored.capture() == held.capture()));
  BOOST_TEST(!restored.hasRoomFor(A.Team));
  restored.updateOwners([](Owner &by) { by.Team = B.Team; });
  BOOST_TEST(restored.contains(Job, B));
  BOOST_TEST(!restored.hasRoomFor(B.Team));
  BOOST_TEST(restored.hasRoomFor(A.Team));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::jobs
