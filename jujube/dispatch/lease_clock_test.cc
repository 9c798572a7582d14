#include "jujube/dispatch/lease_clock.h"

#include <boost/test/unit_test.hpp>

namespace jujube::dispatch {
namespace {

Instant at(int64_t ms) { return Instant::fromMillis(ms); }

LeasePolicy policy() {
  LeasePolicy policy;
  policy.Lease = Duration::seconds(5);
  policy.MaxLease = Duration::seconds(5);
  return policy;
}

BOOST_AUTO_TEST_SUITE(LeaseClockTest)

BOOST_AUTO_TEST_CASE(NothingIsGrantedWhileTheClockIsNotKnown) {
  LeaseClock clock(policy(), at(0));
  BOOST_TEST(!clock.grant(at(100)).has_value());
}

BOOST_AUTO_TEST_CASE(LeasesOfAPredecessorAreWaitedFor) {
  const LeaseClock clock(policy(), at(1000));
  BOOST_TEST(!clock.areLeasesOver(at(1000 + 5000)));
  // The lease of 5 s on a clock that is 2 % slow, plus the margin.
  BOOST_TEST(clock.areLeasesOver(at(1000 + 5000 * 1000 / 980 + 250)));
}

// Guards against an order to an earlier incarnation that the next one takes: on
// its clock, the lease may last for as long as the worker allows.
BOOST_AUTO_TEST_CASE(OrdersToAnEarlierIncarnationMayGrantTheLongestLease) {
  LeasePolicy longer = policy();
  longer.MaxLease = Duration::seconds(10);
  constexpr int64_t Longest = 10'000 * 1000 / 980 + 250;
  LeaseClock clock(longer, at(1000));
  clock.recordSample(at(500'000), at(1000));
  (void)clock.grant(at(1000));
  BOOST_TEST(!clock.areLeasesOver(at(1000 + Longest - 1)));
  BOOST_TEST(clock.areLeasesOver(at(1000 + Longest)));
  // Until then, an earlier order could still arrive.
  clock.noteFenceConfirmed(at(3000));
  BOOST_TEST(!clock.areLeasesOver(at(3000 + Longest - 1)));
  BOOST_TEST(clock.areLeasesOver(at(3000 + Longest)));
}

// Guards against the same for orders to this incarnation that a later one
// takes.
BOOST_AUTO_TEST_CASE(LaterIncarnationMayHoldTheLongestLease) {
  LeasePolicy longer = policy();
  longer.MaxLease = Duration::seconds(10);
  constexpr int64_t Longest = 10'000 * 1000 / 980 + 250;
  LeaseClock clock(longer, at(0));
  clock.recordSample(at(500'000), at(20'000));
  (void)clock.grant(at(20'000));
  BOOST_TEST(clock.areLeasesOver(at(25'400)));
  BOOST_TEST(!clock.areLeasesOverAfterRestart(at(20'000 + Longest - 1)));
  BOOST_TEST(clock.areLeasesOverAfterRestart(at(20'000 + Longest)));
}

BOOST_AUTO_TEST_CASE(LeaseIsOverOnceASlowClockShowsItsEnd) {
  LeaseClock clock(policy(), at(0));
  clock.recordSample(at(500'000), at(10'000));
  BOOST_TEST((clock.grant(at(10'000)) == at(505'000)));
  BOOST_TEST(!clock.areLeasesOver(at(15'000)));
  // A clock that is 2 % slow shows 504,998 ms at this time.
  BOOST_TEST(!clock.areLeasesOver(at(15'100)));
  BOOST_TEST(clock.areLeasesOver(at(15'360)));
}

BOOST_AUTO_TEST_CASE(LateClockSampleDoesNotSetTheClockBack) {
  LeaseClock clock(policy(), at(0));
  clock.recordSample(at(500'000), at(10'000));
  clock.recordSample(at(499'000), at(10'050));
  // The worker's clock may have advanced by 49 ms only.
  BOOST_TEST((clock.grant(at(10'050)) == at(505'049)));
}

// Guards against leases that grow with the age of the sample: on a slow clock,
// later samples that took longer on their way are not newer than the first.
BOOST_AUTO_TEST_CASE(GrantOnASlowClockIsNoLongerThanTheLease) {
  LeaseClock clock(policy(), at(0));
  clock.recordSample(at(500'000), at(0));
  constexpr int64_t Elapsed = 60'000;
  constexpr int64_t Shown = 500'000 + Elapsed * 980 / 1000;
  clock.recordSample(at(Shown - 2), at(Elapsed));
  const auto end = clock.grant(at(Elapsed));
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((*end <= at(Shown + 5000)));
}

BOOST_AUTO_TEST_CASE(LaterGrantsAreWaitedFor) {
  LeaseClock clock(policy(), at(0));
  clock.recordSample(at(500'000), at(10'000));
  (void)clock.grant(at(10'000));
  (void)clock.grant(at(14'000));
  BOOST_TEST(!clock.areLeasesOver(at(16'000)));
  BOOST_TEST(clock.areLeasesOver(at(20'000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::dispatch
