#include "jujube/control/turn_meter.h"

#include <boost/test/unit_test.hpp>

namespace jujube::control {
namespace {

// A meter whose work is stood in for by passing time.
struct Bed {
  ManualClock Time;
  int64_t Used = 0;
  TurnMeter Meter{Time.clock(), CpuClock([this] { return Used; })};

  void work(int64_t ms, int64_t micros) {
    Time.advance(Duration::millis(ms));
    Used += micros;
  }
  const TurnMeter::Account &of(Work kind) const {
    return Meter.totals()[static_cast<std::size_t>(kind)];
  }
};

BOOST_AUTO_TEST_SUITE(TurnMeterTest)

BOOST_AUTO_TEST_CASE(TimeIsCountedForTheInnermostKind) {
  Bed bed;
  bed.Meter.beginTurn();
  bed.work(1, 10);
  {
    const auto outer = bed.Meter.enter(Work::Peers);
    bed.work(2, 20);
    {
      const auto inner = bed.Meter.enter(Work::Apply, 7);
      bed.work(30, 300);
    }
    bed.work(4, 40);
  }
  const TurnMeter::Turn turn = bed.Meter.endTurn();
  BOOST_TEST(turn.Elapsed.millis() == 37);
  BOOST_TEST((turn.Longest == Work::Apply));
  BOOST_TEST(bed.of(Work::Other).CpuMicros == 10);
  BOOST_TEST(bed.of(Work::Peers).Elapsed.millis() == 6);
  BOOST_TEST(bed.of(Work::Peers).Units == 1U);
  BOOST_TEST(bed.of(Work::Apply).CpuMicros == 300);
  BOOST_TEST(bed.of(Work::Apply).Units == 7U);
}

BOOST_AUTO_TEST_CASE(EachTurnHasItsOwnLongestKind) {
  Bed bed;
  bed.Meter.beginTurn();
  {
    const auto scope = bed.Meter.enter(Work::Plan);
    bed.work(50, 0);
  }
  BOOST_TEST((bed.Meter.endTurn().Longest == Work::Plan));
  bed.work(1000, 0);
  bed.Meter.beginTurn();
  {
    const auto scope = bed.Meter.enter(Work::Sync);
    bed.work(6, 0);
  }
  bed.Meter.settle(Work::Peers);
  bed.work(2, 0);
  const TurnMeter::Turn turn = bed.Meter.endTurn();
  BOOST_TEST((turn.Longest == Work::Sync));
  BOOST_TEST(turn.Elapsed.millis() == 8);
  BOOST_TEST(bed.of(Work::Plan).Elapsed.millis() == 50);
  BOOST_TEST(bed.of(Work::Peers).Elapsed.millis() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
