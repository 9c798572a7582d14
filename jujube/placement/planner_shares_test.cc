// Fair shares: which team's work is placed when the zone is full.
#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "testing/planner_fixture.h"

namespace jujube::placement {
namespace {

using catalogue::WorkClass;

// Counts the rounds, each of which ends at most one task, until the request is
// placed. In each round, team "a" submits one more small request. Tasks of
// `endlessEntry` never end.
std::size_t roundsUntilPlaced(PlannerFixture &bed, const RequestId &request,
                              const catalogue::Entry &endlessEntry) {
  std::size_t rounds = 0;
  for (; rounds < 100 && !bed.isPlaced(request); ++rounds) {
    bed.submit(PlannerFixture::entry("a"), 1);
    const auto it = std::ranges::find_if(bed.Placed, [&](const Offer &offer) {
      return offer.Reserved != endlessEntry.Demand;
    });
    if (it != bed.Placed.end())
      bed.end(it->Task, EndKind::Finished);
    bed.plan(Duration::seconds(2));
  }
  return rounds;
}

BOOST_AUTO_TEST_SUITE(PlannerSharesSuite)

// Capacity that other teams leave unused belongs to the fair share of the team
// that wants it.
BOOST_AUTO_TEST_CASE(AgedGangStartsOnCapacityOtherTeamsLeave) {
  PlannerFixture bed(4);
  const catalogue::Entry small =
      PlannerFixture::entry("b", WorkClass::Service, {4000, 1000, 0});
  bed.submit(small);
  bed.submit(PlannerFixture::entry("a"), 9);
  bed.plan();
  const RequestId gang =
      bed.submit(PlannerFixture::entry("a", WorkClass::Gang, WorkerSize), 3);
  BOOST_TEST(roundsUntilPlaced(bed, gang, small) <= 40U);
}

// Team "b" wants its fair share but its entry's limit keeps it below, so team
// "a" stays above its own fair share.
BOOST_AUTO_TEST_CASE(AgedGangIsNotOvertakenByItsOwnTeam) {
  PlannerFixture bed(4);
  catalogue::Entry limited =
      PlannerFixture::entry("b", WorkClass::Service, {8000, 2000, 0});
  limited.MaxRunning = 1;
  bed.submit(limited, 9);
  bed.submit(PlannerFixture::entry("a"), 9);
  bed.plan();
  const RequestId gang =
      bed.submit(PlannerFixture::entry("a", WorkClass::Gang, WorkerSize), 2);
  BOOST_TEST(roundsUntilPlaced(bed, gang, limited) <= 40U);
}

// Capacity is reserved where it is expected to become free soonest, not where
// the deficit is smallest.
BOOST_AUTO_TEST_CASE(ReservationUsesExpectedRunTimes) {
  PlannerFixture bed(2);
  catalogue::Entry lasting =
      PlannerFixture::entry("a", WorkClass::Batch, {9000, 1000, 0});
  lasting.RunTime = Duration::minutes(30);
  catalogue::Entry brief =
      PlannerFixture::entry("a", WorkClass::Batch, {7500, 1000, 0});
  brief.RunTime = Duration::seconds(40);
  bed.submit(lasting);
  bed.plan();
  bed.submit(brief, 2);
  bed.plan();
  BOOST_REQUIRE(bed.Placed.size() == 3U);
  BOOST_REQUIRE(bed.Placed[1].Worker == bed.Placed[2].Worker);
  const std::vector<Offer> ending = {bed.Placed[1], bed.Placed[2]};
  const RequestId waiting = bed.submit(
      PlannerFixture::entry("b", WorkClass::Batch, {10000, 1000, 0}));
  bed.plan(Duration::seconds(31));
  // These tasks take the capacity of the first task that ends unless it is
  // held.
  bed.submit(brief, 2);
  for (const Offer &offer : ending) {
    bed.end(offer.Task, EndKind::Finished);
    bed.plan();
  }
  BOOST_TEST(bed.isPlaced(waiting));
}

BOOST_AUTO_TEST_CASE(OtherWorkLeavesAcceleratorsToWorkThatWaitsForThem) {
  PlannerFixture bed(1);
  bed.see(1, 1, WorkerSize + Resources{0, 0, 1});
  bed.submit(PlannerFixture::entry("a"), 12);
  bed.plan();
  BOOST_TEST(bed.Placed.size() == 4U);
  const RequestId request = bed.submit(
      PlannerFixture::entry("b", WorkClass::Batch, {16000, 1000, 1}));
  bed.plan();
  const std::vector<Offer> placed = bed.Placed;
  for (const Offer &offer : placed) {
    if (offer.Worker != PlannerFixture::worker(1))
      continue;
    bed.end(offer.Task, EndKind::Finished);
    bed.plan(Duration::millis(100));
  }
  BOOST_TEST(bed.isPlaced(request));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::placement
