#include "jujube/control/approval_helpers.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jujube::control {
namespace {

const Instant Now = Instant::fromMillis(10'000);
constexpr Duration MaxWait = Duration::millis(100);

ApprovalHelpers rosterOf(int n) {
  ApprovalHelpers roster;
  for (int i = 1; i <= n; ++i)
    roster.recordReport(HostId("h" + std::to_string(i)),
                        {"10.1.0." + std::to_string(i), 1}, Now);
  return roster;
}

BOOST_AUTO_TEST_SUITE(HelperRosterTest)

BOOST_AUTO_TEST_CASE(TheHelperThatIsFreeFirstIsChosen) {
  ApprovalHelpers roster = rosterOf(2);
  BOOST_TEST(roster.choose(Now, MaxWait, false)->str() == "h1");
  const Instant due = roster.assign(HostId("h1"), Duration::millis(50), Now);
  BOOST_TEST((due == Now + Duration::millis(50)));
  BOOST_TEST(roster.choose(Now, MaxWait, false)->str() == "h2");
  BOOST_TEST((roster.assign(HostId("h1"), Duration::millis(500), Now) ==
              Now + Duration::millis(550)));
  BOOST_TEST(roster.countFree(Now, MaxWait, false) == 1U);
}

// Long calls must not occupy all helpers, since short calls arrive between
// them.
BOOST_AUTO_TEST_CASE(AThirdOfTheHelpersIsReservedForShortCalls) {
  ApprovalHelpers roster = rosterOf(9);
  std::size_t n = 0;
  while (const auto helper = roster.choose(Now, MaxWait, true)) {
    roster.assign(*helper, Duration::millis(700), Now);
    ++n;
  }
  BOOST_TEST(n == 6U);
  BOOST_TEST(roster.countFree(Now, MaxWait, true) == 0U);
  BOOST_TEST(roster.countFree(Now, MaxWait, false) == 3U);
}

BOOST_AUTO_TEST_CASE(SilentAndAvoidedHelpersAreNotChosen) {
  ApprovalHelpers roster = rosterOf(1);
  roster.markBusyUntil(HostId("h1"), Now + Duration::seconds(1));
  BOOST_TEST(!roster.choose(Now, MaxWait, false).has_value());
  const Instant later = Now + Duration::seconds(5);
  BOOST_TEST(!roster.choose(later, MaxWait, false).has_value());
  roster.recordReport(HostId("h1"), {"10.1.0.1", 1}, later);
  BOOST_TEST(roster.choose(later, MaxWait, false).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
