// Planner under faults: failing workers and entries, leaving workers, and a
// change of leader.
#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "testing/planner_fixture.h"

namespace jujube::placement {
namespace {

using catalogue::WorkClass;

BOOST_AUTO_TEST_SUITE(PlannerFaultsSuite)

BOOST_AUTO_TEST_CASE(FailingWorkerIsQuarantinedAndComesBackOnProbation) {
  PlannerFixture bed(4);
  const auto isOn = [&](uint32_t n) {
    return
        [n](const Offer &o) { return o.Worker == PlannerFixture::worker(n); };
  };
  for (int i = 0; i < 100; ++i) {
    bed.submit(PlannerFixture::entry(i % 2 ? "a" : "b"), 8);
    bed.plan(Duration::millis(100));
    for (const Offer &offer : std::vector<Offer>(bed.Placed))
      bed.end(offer.Task, isOn(2)(offer) ? EndKind::Failed : EndKind::Finished);
  }
  BOOST_REQUIRE(bed.TestedPlanner.quarantinedWorkers().size() == 1U);
  BOOST_CHECK(bed.TestedPlanner.quarantinedWorkers()[0] ==
              PlannerFixture::worker(2));
  bed.submit(PlannerFixture::entry("a"), 8);
  bed.plan(Duration::minutes(31));
  BOOST_TEST(std::ranges::count_if(bed.Placed, isOn(2)) <= 1);
  BOOST_TEST(bed.TestedPlanner.quarantinedWorkers().empty());
}

BOOST_AUTO_TEST_CASE(FailingEntryBacksOffAndBlamesNoWorker) {
  PlannerFixture bed(8);
  bed.submit(PlannerFixture::entry("a"), 4);
  std::size_t attempts = 0;
  for (int i = 0; i < 600; ++i) {
    attempts += only<Offer>(bed.plan(Duration::millis(100))).size();
    for (const Offer &offer : std::vector<Offer>(bed.Placed))
      bed.end(offer.Task, EndKind::Failed);
  }
  BOOST_TEST(bed.TestedPlanner.quarantinedWorkers().empty());
  // In one minute, the backoff doubles from half a second on.
  BOOST_TEST(attempts <= 4U * 9U);
}

// All tasks start on one worker because they pack well there.
BOOST_AUTO_TEST_CASE(SeveralFailuresOfOneEntryCountOnceAgainstTheirWorker) {
  PlannerFixture bed(8);
  bed.submit(PlannerFixture::entry("a", WorkClass::Batch, {1000, 1000, 0}), 5);
  bed.plan();
  BOOST_REQUIRE(std::ranges::all_of(bed.Placed, [&](const Offer &offer) {
    return offer.Worker == bed.Placed.front().Worker;
  }));
  for (const Offer &offer : std::vector<Offer>(bed.Placed))
    bed.end(offer.Task, EndKind::Failed);
  BOOST_TEST(bed.TestedPlanner.quarantinedWorkers().empty());
}

// Stopping a gang stops all its tasks, and the whole gang counts towards the
// surplus.
BOOST_AUTO_TEST_CASE(SmallerSliceStopsNoMoreThanItsSurplus) {
  PlannerFixture bed(4);
  bed.submit(PlannerFixture::entry("a", WorkClass::Service, {1000, 1000, 0}),
             4);
  catalogue::Entry gang =
      PlannerFixture::entry("a", WorkClass::Gang, {4000, 1000, 0});
  gang.CanCheckpoint = true;
  bed.submit(gang, 6);
  bed.submit(PlannerFixture::entry("a", WorkClass::Batch, {2000, 1000, 0}), 2);
  bed.plan();
  BOOST_REQUIRE(bed.Placed.size() == 12U);
  bed.TestedPlanner.setSlice(TeamId("a"), {10000, 64000, 0});
  const auto actions = bed.plan();
  BOOST_TEST(only<CheckpointTask>(actions).size() == 6U);
  BOOST_TEST(only<StopTask>(actions).empty());
}

BOOST_AUTO_TEST_CASE(SmallerSliceStopsServicesAfterOtherRepeatableWork) {
  PlannerFixture bed(2);
  bed.submit(PlannerFixture::entry("a"), 2);
  bed.plan();
  const RequestId service =
      bed.submit(PlannerFixture::entry("a", WorkClass::Service, HalfWorker), 2);
  bed.plan(Duration::seconds(1));
  bed.TestedPlanner.setSlice(TeamId("a"), {16000, 64000, 0});
  const auto stops = only<StopTask>(bed.plan());
  BOOST_REQUIRE(stops.size() == 2U);
  BOOST_CHECK(std::ranges::none_of(stops, [&](const StopTask &stop) {
    return stop.Task.Request == service;
  }));
}

BOOST_AUTO_TEST_CASE(LostServiceTakesTheRoomOfRepeatableWork) {
  PlannerFixture bed(2);
  const RequestId service =
      bed.submit(PlannerFixture::entry("a", WorkClass::Service, HalfWorker));
  bed.plan();
  const Offer lost = bed.Placed.front();
  bed.submit(PlannerFixture::entry("b"), 9);
  bed.plan();
  bed.TestedPlanner.markWorkerLost(lost.Worker, bed.Now);
  bed.end(lost.Task, EndKind::Lost);
  const auto stops = only<StopTask>(bed.plan());
  BOOST_REQUIRE(stops.size() == 1U);
  bed.end(stops[0].Task, EndKind::Stopped);
  bed.plan();
  BOOST_TEST(bed.isPlaced(service));
}

BOOST_AUTO_TEST_CASE(NewIncarnationOfAWorkerClearsItsQuarantine) {
  PlannerFixture bed(4);
  for (int i = 0; i < 4; ++i) {
    bed.submit(PlannerFixture::entry("a"), 8);
    bed.plan();
    for (const Offer &offer : std::vector<Offer>(bed.Placed))
      bed.end(offer.Task, offer.Worker == PlannerFixture::worker(0)
                              ? EndKind::Failed
                              : EndKind::Finished);
  }
  BOOST_REQUIRE(bed.TestedPlanner.quarantinedWorkers().size() == 1U);
  bed.see(0, 2);
  BOOST_TEST(bed.TestedPlanner.quarantinedWorkers().empty());
  // An announcement of the previous incarnation is ignored.
  bed.see(0, 1, {1, 1, 0});
  BOOST_TEST(bed.TestedPlanner.status().Held.MilliCpu ==
             4 * WorkerSize.MilliCpu);
}

BOOST_AUTO_TEST_CASE(LeavingWorkerStopsServicesAndGetsNoWork) {
  PlannerFixture bed(2);
  bed.submit(PlannerFixture::entry("a", WorkClass::Service), 2);
  bed.plan();
  BOOST_REQUIRE(bed.Placed.size() == 2U);
  BOOST_TEST(bed.Placed[0].Worker.str() != bed.Placed[1].Worker.str());
  bed.see(0, 1, WorkerSize, true);
  const auto stops = only<StopTask>(bed.plan());
  BOOST_REQUIRE(stops.size() == 1U);
  bed.end(stops[0].Task, EndKind::Stopped);
  bed.plan();
  BOOST_TEST(bed.Placed.size() == 2U);
  BOOST_TEST(std::ranges::all_of(bed.Placed, [](const Offer &offer) {
    return offer.Worker == PlannerFixture::worker(1);
  }));
}

BOOST_AUTO_TEST_CASE(RestoredAttemptsHoldTheirRoom) {
  PlannerFixture bed(1);
  fate::Submission work;
  work.Request = RequestId("z.old");
  work.Team = TeamId("a");
  work.Entry = PlannerFixture::entry("a");
  const TaskId task = {work.Request, 0};
  bed.TestedPlanner.restore(
      work, Instant(),
      {task, PlannerFixture::worker(0), HalfWorker, Instant()});
  bed.TestedPlanner.enqueue({work, Instant(), {0}}, bed.Now);
  bed.submit(PlannerFixture::entry("b"), 2);
  BOOST_TEST(only<Offer>(bed.plan()).size() == 1U);
  bed.end(task, EndKind::Lost);
  BOOST_TEST(only<Offer>(bed.plan()).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::placement
