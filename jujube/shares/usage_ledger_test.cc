#include "jujube/shares/usage_ledger.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <rapidcheck/boost_test.h>
#include <string>

namespace jujube::shares {
namespace {

const TeamId A("a");
const TeamId B("b");
constexpr int64_t Hour = 3'600'000;
// Enough for all clocks of the tests to be past their origin.
constexpr int64_t Origin = 1'000 * Hour;

Instant at(int64_t ms) { return Instant::fromMillis(Origin + ms); }

BOOST_AUTO_TEST_SUITE(UsageLedgerTest)

BOOST_AUTO_TEST_CASE(UseDecaysByHalfOverAHalfLife) {
  UsageLedger ledger;
  ledger.advance(at(0));
  ledger.begin(A, {1000, 10, 1});
  ledger.advance(at(60'000));
  ledger.end(A, {1000, 10, 1});
  const ResourceTime used = ledger.pastUse(A);
  BOOST_TEST(used.MilliCpu > 59'000'000);
  BOOST_TEST(used.MilliCpu <= 60'000'000);
  ledger.advance(at(60'000 + Hour));
  BOOST_TEST(std::abs(2.0 * ledger.pastUse(A).MilliCpu / used.MilliCpu - 1) <
             0.001);
  ledger.advance(at(60'000 + 100 * Hour));
  BOOST_TEST(ledger.pastUse(A).MilliCpu == 0);
}

// The use of a team that runs the same for hours is that of 1.44 half-lives.
BOOST_AUTO_TEST_CASE(SteadyUseReachesAPlateau) {
  UsageLedger ledger;
  ledger.advance(at(0));
  ledger.begin(A, {1000, 0, 0});
  ledger.advance(at(24 * Hour));
  const double plateau = 1000.0 * Hour / std::log(2.0);
  BOOST_TEST(std::abs(ledger.pastUse(A).MilliCpu / plateau - 1) < 0.01);
}

BOOST_AUTO_TEST_CASE(JumpOfTheClockAndItsReturnAddWhatTheJumpWasLong) {
  UsageLedger steady;
  UsageLedger jumping;
  for (UsageLedger *ledger : {&steady, &jumping}) {
    ledger->advance(at(0));
    ledger->begin(A, {1000, 0, 0});
  }
  jumping.advance(at(1000));
  jumping.advance(at(6000));
  jumping.advance(at(1200));
  jumping.advance(at(10'000));
  steady.advance(at(10'000));
  BOOST_TEST(jumping.pastUse(A).MilliCpu - steady.pastUse(A).MilliCpu ==
             4'800'000);
}

BOOST_AUTO_TEST_CASE(TeamThatLeavesAndReturnsIsRemembered) {
  UsageLedger ledger;
  ledger.advance(at(0));
  ledger.begin(A, {1000, 0, 0});
  ledger.advance(at(1000));
  ledger.end(A, {1000, 0, 0});
  const int64_t used = ledger.pastUse(A).MilliCpu;
  ledger.rename({{A, B}});
  BOOST_TEST(ledger.pastUse(A).MilliCpu == 0);
  BOOST_TEST(ledger.pastUse(B).MilliCpu == used);
}

BOOST_AUTO_TEST_CASE(NumberOfTeamsIsBounded) {
  UsageLedger ledger;
  ledger.advance(at(0));
  ledger.begin(A, {1000, 0, 0});
  for (std::size_t i = 0; i < 2 * UsageLedger::MaxTeams; ++i) {
    const TeamId team("t" + std::to_string(i));
    ledger.begin(team, {1, 0, 0});
    ledger.advance(at(static_cast<int64_t>(i) + 1));
    ledger.end(team, {1, 0, 0});
  }
  BOOST_TEST(ledger.size() <= UsageLedger::MaxTeams);
  BOOST_TEST(ledger.pastUse(A).MilliCpu > 0);
}

BOOST_AUTO_TEST_CASE(AllowanceIsWeightJobsASecond) {
  UsageLedger ledger;
  int taken = 0;
  for (int64_t ms = 0; ms < 10'000; ms += 10) {
    ledger.advance(at(ms));
    const bool has = ledger.hasAllowance(A, 5, at(ms));
    BOOST_TEST(has == ledger.takeAllowance(A, 5));
    taken += has ? 1 : 0;
  }
  BOOST_TEST(taken >= 50);
  BOOST_TEST(taken <= 55);
}

// Members that apply the same events hold the same, whether they restore a
// snapshot between or not, and near what a floating-point model says.
RC_BOOST_PROP(RestoredLedgerGoesOnAsTheOriginal, ()) {
  UsageLedger original;
  UsageLedger restored;
  int64_t now = 0;
  double model = 0;
  int64_t running = 0;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const int64_t span = *rc::gen::inRange<int64_t>(0, Hour / 4);
    const int64_t change = *rc::gen::inRange<int64_t>(-running, 5000);
    const double rate = std::log(2.0) / static_cast<double>(Hour);
    const double left = std::exp(-rate * static_cast<double>(span));
    model = model * left + static_cast<double>(running) * (1 - left) / rate;
    now += span;
    running += change;
    for (UsageLedger *ledger : {&original, &restored}) {
      ledger->advance(at(now));
      if (change < 0)
        ledger->end(A, {-change, 0, 0});
      else
        ledger->begin(A, {change, 0, 0});
    }
    if (*rc::gen::inRange(0, 4) == 0)
      restored = UsageLedger::restore(restored.capture());
    RC_ASSERT(original.capture() == restored.capture());
  }
  const auto use = static_cast<double>(original.pastUse(A).MilliCpu);
  RC_ASSERT(std::abs(use - model) <= 0.01 * model + 1e6);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::shares
