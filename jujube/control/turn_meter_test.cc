#include "jujube/control/turn_meter.h"

#include <boost/test/unit_test.hpp>

namespace jujube::control {
namespace {

// A meter on a manual clock; work() advances the clock and the processor time.
struct Fixture {
  ManualClock Time;
  int64_t Used = 0;
  TurnMeter Meter{Time.clock(), CpuClock([this] { return Used; })};

  void work(int64_t ms, int64_t micros) {
    Time.advance(Duration::millis(ms));
    Used += micros;
  }
  const TurnMeter::Account &accountOf(Work kind) const {
    return Meter.totals()[static_cast<std::size_t>(kind)];
  }
};

BOOST_AUTO_TEST_SUITE(TurnMeterTest)

BOOST_AUTO_TEST_CASE(TimeIsCountedForTheInnermostKind) {
  Fixture fixture;
  fixture.Meter.beginTurn();
  fixture.work(1, 10);
  {
    const auto outer = fixture.Meter.enter(Work::Peers);
    fixture.work(2, 20);
    {
      const auto inner = fixture.Meter.enter(Work::Apply, 7);
      fixture.work(30, 300);
    }
    fixture.work(4, 40);
  }
  const TurnMeter::Turn turn = fixture.Meter.endTurn();
  BOOST_TEST(turn.Elapsed.millis() == 37);
  BOOST_TEST((turn.Longest == Work::Apply));
  BOOST_TEST(fixture.accountOf(Work::Other).CpuMicros == 10);
  BOOST_TEST(fixture.accountOf(Work::Peers).Elapsed.millis() == 6);
  BOOST_TEST(fixture.accountOf(Work::Peers).Units == 1U);
  BOOST_TEST(fixture.accountOf(Work::Apply).CpuMicros == 300);
  BOOST_TEST(fixture.accountOf(Work::Apply).Units == 7U);
}

BOOST_AUTO_TEST_CASE(EachTurnHasItsOwnLongestKind) {
  Fixture fixture;
  fixture.Meter.beginTurn();
  {
    const auto scope = fixture.Meter.enter(Work::Plan);
    fixture.work(50, 0);
  }
  BOOST_TEST((fixture.Meter.endTurn().Longest == Work::Plan));
  fixture.work(1000, 0);
  fixture.Meter.beginTurn();
  {
    const auto scope = fixture.Meter.enter(Work::Sync);
    fixture.work(6, 0);
  }
  fixture.Meter.settle(Work::Peers);
  fixture.work(2, 0);
  const TurnMeter::Turn turn = fixture.Meter.endTurn();
  BOOST_TEST((turn.Longest == Work::Sync));
  BOOST_TEST(turn.Elapsed.millis() == 8);
  BOOST_TEST(fixture.accountOf(Work::Plan).Elapsed.millis() == 50);
  BOOST_TEST(fixture.accountOf(Work::Peers).Elapsed.millis() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
