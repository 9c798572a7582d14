#include "jujube/shares/share_table.h"

#include <boost/test/unit_test.hpp>

#include "jujube/shares/backlog.h"

namespace jujube::shares {
namespace {

const TeamId Hot("hot");
const TeamId Calm("calm");
const Resources Capacity{100'000, 100'000, 0};

BOOST_AUTO_TEST_SUITE(ShareTableTest)

// Load: one team has seven times its usual work, and takes what is free.
BOOST_AUTO_TEST_CASE(TeamThatUsesMoreThanItsShareIsOver) {
  const ShareTable table(
      {{Hot, 10, {80'000, 0, 0}, {}}, {Calm, 10, {20'000, 0, 0}, {}}},
      Capacity);
  BOOST_TEST(!table.isWithinShare(Hot));
  BOOST_TEST(table.isWithinShare(Calm));
  BOOST_TEST(table.isWithinShare(TeamId("unknown")));
}

BOOST_AUTO_TEST_CASE(WeightsDecideWhatIsDue) {
  const ShareTable table(
      {{Hot, 30, {70'000, 0, 0}, {}}, {Calm, 10, {30'000, 0, 0}, {}}},
      Capacity);
  BOOST_TEST(table.isWithinShare(Hot));
  BOOST_TEST(table.shares().at(Hot).Due == 0.75);
}

// Load: both teams use the same now, and one has used nine tenths of the
// cluster for hours.
BOOST_AUTO_TEST_CASE(PastUseLowersWhatIsDueWithinABound) {
  const ShareTable table({{Hot, 10, {50'000, 0, 0}, {900'000, 0, 0}},
                          {Calm, 10, {50'000, 0, 0}, {100'000, 0, 0}}},
                         Capacity);
  const TeamShare &hot = table.shares().at(Hot);
  BOOST_TEST(hot.PastRatio == 1.8, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(hot.Due < 0.4);
  BOOST_TEST(hot.Due >= 1 / (1 + MaxPastFactor));
  BOOST_TEST(table.shares().at(Calm).Due > 0.6);
}

BOOST_AUTO_TEST_CASE(OnlyTeamIsDueEverything) {
  const ShareTable table({{Hot, 10, {100'000, 0, 0}, {900'000, 0, 0}}},
                         Capacity);
  BOOST_TEST(table.isWithinShare(Hot));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BacklogTest)

BOOST_AUTO_TEST_CASE(WorkWithinTheRateIsAlwaysAccepted) {
  BOOST_TEST(!refusalOf({1'000'000'000, 1000, Duration::seconds(5), false})
                  .has_value());
}

// Load: a team sends more than its rate until its backlog can't be done by the
// objectives of its jobs.
BOOST_AUTO_TEST_CASE(WorkBeyondTheRateIsRefusedOnceItCannotBeInTime) {
  BacklogInput input{20'000'000, 4000, Duration::seconds(5), true};
  BOOST_TEST(!refusalOf(input).has_value());
  input.QueuedWork = 30'000'000;
  const auto retry = refusalOf(input);
  BOOST_REQUIRE(retry.has_value());
  BOOST_TEST(retry->millis() == 2500);
  input.QueuedWork = 20'400'000;
  BOOST_TEST(refusalOf(input)->millis() == 1000);
  input.DueMilliCpu = 0;
  BOOST_TEST(refusalOf(input)->millis() == 30'000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::shares
