#include "jujube/dispatch/pacing.h"

#include <boost/test/unit_test.hpp>

namespace jujube::dispatch {
namespace {

std::vector<ServingTail> tailOf(int64_t ms) {
  return {{Duration::millis(10), Duration::millis(100)},
          {Duration::millis(ms), Duration::millis(100)}};
}

BOOST_AUTO_TEST_SUITE(PacingTest)

BOOST_AUTO_TEST_CASE(ShareIsHalvedWhileATargetIsMissed) {
  BOOST_TEST(nextShare(100, tailOf(101)) == 50);
  BOOST_TEST(nextShare(50, tailOf(300)) == 25);
  BOOST_TEST(nextShare(12, tailOf(300)) == 0);
  BOOST_TEST(nextShare(0, tailOf(300)) == 0);
}

BOOST_AUTO_TEST_CASE(ShareRisesWhileAllTailsAreWellBelowTarget) {
  BOOST_TEST(nextShare(0, tailOf(50)) == 10);
  BOOST_TEST(nextShare(95, tailOf(50)) == 100);
  BOOST_TEST(nextShare(40, tailOf(90)) == 40);
  BOOST_TEST(nextShare(0, {}) == 100);
}

// Filler tasks at full speed double a serving task's tail. The share is set
// every 0.6 s, and a target must not be missed for 4 s or more without
// interruption.
BOOST_AUTO_TEST_CASE(TargetIsNotMissedForLong) {
  constexpr int MostOnEnd = 6;
  int share = FullShare;
  int onEnd = 0;
  int worked = 0;
  for (int period = 0; period < 100; ++period) {
    const int64_t tail = 80 + 80 * share / FullShare;
    onEnd = tail > 100 ? onEnd + 1 : 0;
    BOOST_TEST(onEnd <= MostOnEnd);
    worked += share;
    share = nextShare(share, tailOf(tail));
  }
  // The filler tasks still make progress.
  BOOST_TEST(worked > 500);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::dispatch
