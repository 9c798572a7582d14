// Planner guarantees, one situation per test.
#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "testing/planner_fixture.h"

namespace jujube::placement {
namespace {

using catalogue::Urgency;
using catalogue::WorkClass;

BOOST_AUTO_TEST_SUITE(PlannerSuite)

BOOST_AUTO_TEST_CASE(UnsetHookIsRefused) {
  PlacementHooks hooks = hooksFor(PolicyName::Waiting);
  hooks.Score = nullptr;
  const auto planner = Planner::create({}, hooks);
  BOOST_REQUIRE(!isOk(planner));
  BOOST_CHECK(errorOf(planner).Kind == ErrorKind::InvalidArgument);
}

BOOST_AUTO_TEST_CASE(ImpossibleRequestErrorNamesTheLargestCapacity) {
  PlannerFixture bed(2);
  bed.submit(PlannerFixture::entry("a", WorkClass::Batch, {17000, 1, 0}));
  bed.submit(PlannerFixture::entry("a", WorkClass::Gang), 5);
  bed.submit(PlannerFixture::entry("a", WorkClass::Gang), 4);
  const auto rejections = only<RejectRequest>(bed.plan());
  BOOST_REQUIRE(rejections.size() == 2U);
  BOOST_CHECK(rejections[0].Why.Kind == ErrorKind::ImpossibleRequest);
  BOOST_TEST(rejections[0].Why.Message.find("17000 millicpu") !=
             std::string::npos);
  BOOST_TEST(rejections[0].Why.Message.find("16000 millicpu") !=
             std::string::npos);
  BOOST_TEST(rejections[1].Why.Message.find("together hold 4") !=
             std::string::npos);
  BOOST_TEST(bed.Placed.size() == 4U);
}

BOOST_AUTO_TEST_CASE(RequestAboveTheCeilingIsRejectedAtOnce) {
  PlannerFixture bed(2);
  bed.TestedPlanner.setTeams({{TeamId("a"), 1, {4000, 64000, 0}}});
  bed.submit(PlannerFixture::entry("a"));
  const auto rejections = only<RejectRequest>(bed.plan());
  BOOST_REQUIRE(rejections.size() == 1U);
  BOOST_TEST(rejections[0].Why.Message.find("ceiling of team 'a'") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(UnstartedWorkIsRejectedAtItsDeadline) {
  PlannerFixture bed(1);
  bed.submit(PlannerFixture::entry("a"), 2);
  bed.plan();
  bed.submit(PlannerFixture::entry("a"), 1, Duration::seconds(2));
  BOOST_TEST(only<RejectRequest>(bed.plan()).empty());
  const auto rejections = only<RejectRequest>(bed.plan(Duration::seconds(2)));
  BOOST_REQUIRE(rejections.size() == 1U);
  BOOST_CHECK(rejections[0].Why.Kind == ErrorKind::DeadlineExceeded);
}

BOOST_AUTO_TEST_CASE(UrgentWorkTakesTheRoomOfRepeatableWork) {
  PlannerFixture bed(1);
  catalogue::Entry once = PlannerFixture::entry("a");
  once.IsIdempotent = false;
  const RequestId kept = bed.submit(once);
  const RequestId stopped = bed.submit(PlannerFixture::entry("b"));
  bed.plan();
  catalogue::Entry urgent =
      PlannerFixture::entry("a", WorkClass::Batch, {4000, 1000, 0});
  urgent.Priority = Urgency::Urgent;
  const RequestId request = bed.submit(urgent);
  const auto stops = only<StopTask>(bed.plan());
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_CHECK(stops[0].Task.Request == stopped);
  BOOST_CHECK(stops[0].Why == StopReason::Urgent);
  BOOST_TEST(only<StopTask>(bed.plan()).empty());
  bed.end(stops[0].Task, EndKind::Stopped);
  bed.plan();
  BOOST_TEST(bed.isPlaced(request));
  BOOST_TEST(bed.isPlaced(kept));
  BOOST_TEST(!bed.isPlaced(stopped));
}

BOOST_AUTO_TEST_CASE(UrgentWorkTakesItsTeamsSlice) {
  PlannerFixture bed(4);
  bed.TestedPlanner.setSlice(TeamId("a"), {16000, 64000, 0});
  bed.submit(PlannerFixture::entry("a"), 3);
  bed.plan();
  catalogue::Entry urgent =
      PlannerFixture::entry("a", WorkClass::Batch, {4000, 1000, 0});
  urgent.Priority = Urgency::Urgent;
  const RequestId request = bed.submit(urgent);
  const auto stops = only<StopTask>(bed.plan());
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(only<StopTask>(bed.plan(Duration::millis(100))).empty());
  bed.end(stops[0].Task, EndKind::Stopped);
  bed.plan();
  BOOST_TEST(bed.isPlaced(request));
  BOOST_TEST(bed.TestedPlanner.used(TeamId("a")).MilliCpu == 12000);
}

// Small tasks end one at a time while more small tasks wait for their capacity.
BOOST_AUTO_TEST_CASE(AgedGangStartsUnderAStreamOfSmallWork) {
  PlannerFixture bed(4);
  bed.submit(PlannerFixture::entry("a"), 8);
  bed.plan();
  const RequestId gang =
      bed.submit(PlannerFixture::entry("b", WorkClass::Gang, WorkerSize), 4);
  std::size_t rounds = 0;
  for (; rounds < 200 && !bed.isPlaced(gang); ++rounds) {
    bed.submit(PlannerFixture::entry("a"), 1);
    bed.end(bed.Placed.front().Task, EndKind::Finished);
    bed.plan(Duration::seconds(2));
    if (bed.Placed.empty())
      bed.plan(Duration::seconds(2));
  }
  BOOST_TEST(bed.isPlaced(gang));
  BOOST_TEST(rounds <= 30U);
}

BOOST_AUTO_TEST_CASE(BackfillContinuesBesideAReservation) {
  PlannerFixture bed(2);
  bed.submit(PlannerFixture::entry("a", WorkClass::Batch, {12000, 1000, 0}), 1);
  bed.plan();
  const RequestId big =
      bed.submit(PlannerFixture::entry("b", WorkClass::Gang, WorkerSize), 2);
  bed.plan(Duration::seconds(40));
  BOOST_TEST(bed.TestedPlanner.counters().Reservations == 1U);
  const RequestId small =
      bed.submit(PlannerFixture::entry("a", WorkClass::Batch, {4000, 1000, 0}));
  bed.plan();
  BOOST_TEST(!bed.isPlaced(small));
  bed.see(5);
  bed.plan();
  BOOST_TEST(bed.isPlaced(small));
  bed.end(bed.Placed.front().Task, EndKind::Finished);
  bed.plan();
  BOOST_TEST(bed.isPlaced(big));
}

BOOST_AUTO_TEST_CASE(FairSharesAreReachedByCheckpointsAndThenKept) {
  PlannerFixture bed(10, PolicyName::Packing);
  catalogue::Entry greedy =
      PlannerFixture::entry("a", WorkClass::Batch, {2000, 1000, 0});
  greedy.CanCheckpoint = true;
  bed.submit(greedy, 200);
  bed.plan();
  BOOST_TEST(bed.Placed.size() == 80U);
  catalogue::Entry other = greedy;
  other.Id = EntryId("other");
  other.Owner = TeamId("b");
  bed.submit(other, 200);
  bed.plan(Duration::seconds(20));
  std::size_t checkpoints = 0;
  for (int i = 0; i < 400; ++i) {
    const auto stops = only<CheckpointTask>(bed.plan(Duration::millis(300)));
    checkpoints += stops.size();
    for (const CheckpointTask &stop : stops)
      bed.end(stop.Task, EndKind::Stopped);
  }
  const int64_t half = WorkerSize.MilliCpu * 10 / 2;
  BOOST_TEST(bed.TestedPlanner.used(TeamId("b")).MilliCpu >= half * 9 / 10);
  BOOST_TEST(bed.TestedPlanner.used(TeamId("a")).MilliCpu >= half);
  // Hysteresis keeps preempted capacity with the other team, so tasks are not
  // stopped again and again.
  BOOST_TEST(checkpoints <= 44U);
}

BOOST_AUTO_TEST_CASE(RepeatedCancelsAreIdempotentAndPlacementContinues) {
  PlannerFixture bed(2);
  bed.submit(PlannerFixture::entry("a"), 4);
  bed.plan();
  std::vector<RequestId> wave(2000);
  std::ranges::generate(wave,
                        [&] { return bed.submit(PlannerFixture::entry("a")); });
  const RequestId other = bed.submit(PlannerFixture::entry("b"));
  for (int round = 0; round < 2; ++round)
    for (const RequestId &id : wave)
      bed.TestedPlanner.cancel(id);
  BOOST_TEST(bed.TestedPlanner.status().QueuedTasks == 1U);
  BOOST_TEST(only<StopTask>(bed.plan()).empty());
  bed.end(bed.Placed.front().Task, EndKind::Finished);
  bed.plan();
  BOOST_TEST(bed.isPlaced(other));
  bed.TestedPlanner.cancel(other);
  bed.TestedPlanner.cancel(other);
  BOOST_TEST(only<StopTask>(bed.plan()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(SmallerSliceStopsTheSurplus) {
  PlannerFixture bed(4);
  bed.submit(PlannerFixture::entry("a"), 8);
  bed.plan();
  bed.TestedPlanner.setSlice(TeamId("a"), {24000, 64000, 0});
  const auto stops = only<StopTask>(bed.plan());
  BOOST_TEST(stops.size() == 5U);
  BOOST_TEST(std::ranges::all_of(stops, [](const StopTask &stop) {
    return stop.Why == StopReason::OverSlice;
  }));
  for (const StopTask &stop : stops)
    bed.end(stop.Task, EndKind::Stopped);
  BOOST_TEST(only<Offer>(bed.plan()).empty());
  BOOST_TEST(bed.TestedPlanner.wanted(TeamId("a")).MilliCpu == 64000);
  BOOST_TEST(bed.TestedPlanner.used(TeamId("a")).MilliCpu == 24000);
}

BOOST_AUTO_TEST_CASE(MeasuredUseWidensReservationsAndThrottlesTheRest) {
  PlannerFixture bed(1);
  catalogue::Entry entry =
      PlannerFixture::entry("a", WorkClass::Batch, {4000, 8000, 0});
  entry.CanThrottle = true;
  bed.submit(entry, 2);
  bed.plan();
  for (int i = 0; i < 10; ++i)
    bed.TestedPlanner.recordUsage(bed.Placed[0].Task, {1000, 12000, 0});
  const auto changes = only<ThrottleTask>(bed.plan());
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].Grant.MemoryMb == 12000);
  bed.submit(entry);
  bed.plan();
  // The next start reserves the learned size: more memory, less processor time.
  BOOST_REQUIRE(bed.Placed.size() == 3U);
  BOOST_TEST(bed.Placed[2].Reserved.MemoryMb == 13800);
  BOOST_TEST(bed.Placed[2].Reserved.MilliCpu == 1150);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::placement
