#include "jujube/control/plan_pacer.h"

#include <boost/test/unit_test.hpp>

namespace jujube::control {
namespace {

BOOST_AUTO_TEST_SUITE(PlanPacerTest)

BOOST_AUTO_TEST_CASE(PlanningTakesAFifthOfTheTime) {
  ManualClock time;
  PlanPacer pacer;
  BOOST_TEST((pacer.next() <= time.now()));
  Duration planning;
  while (time.now() < Instant::fromMillis(1000)) {
    const Instant begin = time.now();
    time.advance(Duration::millis(5));
    pacer.note(begin, time.now());
    planning = planning + Duration::millis(5);
    time.advance(pacer.next() - time.now());
  }
  BOOST_TEST(planning.millis() == 200);
}

BOOST_AUTO_TEST_CASE(PauseAfterALongPlanIsLimited) {
  PlanPacer pacer;
  pacer.note(Instant::fromMillis(0), Instant::fromMillis(1000));
  BOOST_TEST((pacer.next() == Instant::fromMillis(1050)));
}

BOOST_AUTO_TEST_CASE(ShortPlansNeedNoPause) {
  PlanPacer pacer;
  pacer.note(Instant::fromMillis(10), Instant::fromMillis(10));
  BOOST_TEST((pacer.next() == Instant::fromMillis(10)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
