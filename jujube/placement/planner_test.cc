// Focused tests of the planner's promises, one situation each.
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "jujube/placement/planner.h"

namespace jujube::placement {
namespace {

using catalogue::Urgency;
using catalogue::WorkClass;

constexpr Resources WorkerSize = {16000, 64000, 0};
constexpr Resources HalfWorker = {8000, 1000, 0};
constexpr Resources Unlimited = {1'000'000, 10'000'000, 100};

// A planner with two teams, and short ways to feed it.
class Bed {
public:
  explicit Bed(uint32_t workers, PolicyName policy = PolicyName::Waiting)
      : Subject(make(policy)) {
    Subject.setTeams(
        {{TeamId("a"), 1, Unlimited}, {TeamId("b"), 1, Unlimited}});
    Subject.setSlice(TeamId("a"), Unlimited);
    Subject.setSlice(TeamId("b"), Unlimited);
    for (uint32_t i = 0; i < workers; ++i)
      see(i);
  }

  void see(uint32_t n, uint64_t start = 1, Resources holds = WorkerSize,
           bool isLeaving = false) {
    Subject.workerSeen({worker(n), Incarnation{start},
                        RackId(absl::StrCat("r", n / 2)), holds, isLeaving},
                       Now);
  }

  static WorkerId worker(uint32_t n) { return WorkerId(absl::StrCat("w", n)); }

  static catalogue::Entry entry(const std::string &team,
                                WorkClass workClass = WorkClass::Batch,
                                Resources ask = HalfWorker) {
    catalogue::Entry entry;
    entry.Id =
        EntryId(absl::StrCat(team, "-", ask.MilliCpu, "-",
                             nameIn(catalogue::WorkClassNames, workClass)));
    entry.Owner = TeamId(team);
    entry.Class = workClass;
    entry.Ask = ask;
    return entry;
  }

  RequestId submit(const catalogue::Entry &entry, uint32_t tasks = 1,
                   Duration startWithin = Duration()) {
    PendingRequest pending;
    pending.Work.Request = RequestId(absl::StrCat("z.r", Submitted++));
    pending.Work.Team = entry.Owner;
    pending.Work.Entry = entry;
    pending.Work.Tasks = tasks;
    pending.Work.StartWithin = startWithin;
    pending.AcceptedAt = Now;
    for (uint32_t i = 0; i < tasks; ++i)
      pending.Tasks.push_back(i);
    Subject.enqueue(pending, Now);
    return pending.Work.Request;
  }

  // Advances the time and plans; keeps the offers in Placed.
  std::vector<Action> plan(Duration wait = Duration::millis(1)) {
    Now = Now + wait;
    std::vector<Action> actions = Subject.plan(Now);
    for (const Action &action : actions)
      if (const auto *offer = std::get_if<Offer>(&action)) {
        Subject.started(offer->Task, Now);
        Placed.push_back(*offer);
      }
    return actions;
  }

  void end(TaskId task, EndKind kind) {
    std::erase_if(Placed, [&](const Offer &o) { return o.Task == task; });
    Subject.ended(task, kind, Now);
    if (kind != EndKind::Finished)
      Subject.requeue(task, Now);
  }

  bool isPlaced(const RequestId &request) const {
    return std::ranges::any_of(Placed, [&](const Offer &offer) {
      return offer.Task.Request == request;
    });
  }

  Planner Subject;
  Instant Now;
  std::vector<Offer> Placed;

private:
  static Planner make(PolicyName policy) {
    Options options;
    options.Policy = policy;
    options.SettleTime = Duration();
    return valueOf(Planner::create(options, hooksFor(policy)));
  }

  uint32_t Submitted = 0;
};

template <typename T> std::vector<T> only(const std::vector<Action> &actions) {
  std::vector<T> found;
  for (const Action &action : actions)
    if (const T *match = std::get_if<T>(&action))
      found.push_back(*match);
  return found;
}

BOOST_AUTO_TEST_SUITE(PlannerSuite)

BOOST_AUTO_TEST_CASE(UnsetHookIsRefused) {
  PlacementHooks hooks = hooksFor(PolicyName::Waiting);
  hooks.Score = nullptr;
  const auto planner = Planner::create({}, hooks);
  BOOST_REQUIRE(!isOk(planner));
  BOOST_CHECK(errorOf(planner).Kind == ErrorKind::InvalidArgument);
}

BOOST_AUTO_TEST_CASE(ImpossibleRequestIsToldWhatTheLargestHolds) {
  Bed bed(2);
  bed.submit(Bed::entry("a", WorkClass::Batch, {17000, 1, 0}));
  bed.submit(Bed::entry("a", WorkClass::Gang), 5);
  bed.submit(Bed::entry("a", WorkClass::Gang), 4);
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
  Bed bed(2);
  bed.Subject.setTeams({{TeamId("a"), 1, {4000, 64000, 0}}});
  bed.submit(Bed::entry("a"));
  const auto rejections = only<RejectRequest>(bed.plan());
  BOOST_REQUIRE(rejections.size() == 1U);
  BOOST_TEST(rejections[0].Why.Message.find("ceiling of team 'a'") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(UnstartedWorkIsShedAtItsDeadline) {
  Bed bed(1);
  bed.submit(Bed::entry("a"), 2);
  bed.plan();
  bed.submit(Bed::entry("a"), 1, Duration::seconds(2));
  BOOST_TEST(only<RejectRequest>(bed.plan()).empty());
  const auto rejections = only<RejectRequest>(bed.plan(Duration::seconds(2)));
  BOOST_REQUIRE(rejections.size() == 1U);
  BOOST_CHECK(rejections[0].Why.Kind == ErrorKind::DeadlineExceeded);
}

BOOST_AUTO_TEST_CASE(UrgentWorkTakesTheRoomOfRepeatableWork) {
  Bed bed(1);
  catalogue::Entry once = Bed::entry("a");
  once.IsIdempotent = false;
  const RequestId kept = bed.submit(once);
  const RequestId stopped = bed.submit(Bed::entry("b"));
  bed.plan();
  catalogue::Entry urgent = Bed::entry("a", WorkClass::Batch, {4000, 1000, 0});
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

// Small tasks end one at a time and others wait for their room.
BOOST_AUTO_TEST_CASE(AgedGangStartsUnderAStreamOfSmallWork) {
  Bed bed(4);
  bed.submit(Bed::entry("a"), 8);
  bed.plan();
  const RequestId gang =
      bed.submit(Bed::entry("b", WorkClass::Gang, WorkerSize), 4);
  std::size_t rounds = 0;
  for (; rounds < 200 && !bed.isPlaced(gang); ++rounds) {
    bed.submit(Bed::entry("a"), 1);
    bed.end(bed.Placed.front().Task, EndKind::Finished);
    bed.plan(Duration::seconds(2));
    if (bed.Placed.empty())
      bed.plan(Duration::seconds(2));
  }
  BOOST_TEST(bed.isPlaced(gang));
  BOOST_TEST(rounds <= 30U);
}

BOOST_AUTO_TEST_CASE(BackfillGoesOnBesideAReservation) {
  Bed bed(2);
  bed.submit(Bed::entry("a", WorkClass::Batch, {12000, 1000, 0}), 1);
  bed.plan();
  const RequestId big =
      bed.submit(Bed::entry("b", WorkClass::Gang, WorkerSize), 2);
  bed.plan(Duration::seconds(40));
  BOOST_TEST(bed.Subject.counters().Reservations == 1U);
  const RequestId small =
      bed.submit(Bed::entry("a", WorkClass::Batch, {4000, 1000, 0}));
  bed.plan();
  BOOST_TEST(!bed.isPlaced(small));
  bed.see(5);
  bed.plan();
  BOOST_TEST(bed.isPlaced(small));
  bed.end(bed.Placed.front().Task, EndKind::Finished);
  bed.plan();
  BOOST_TEST(bed.isPlaced(big));
}

BOOST_AUTO_TEST_CASE(SharesAreReachedByCheckpointsAndThenKept) {
  Bed bed(10, PolicyName::Packing);
  catalogue::Entry greedy = Bed::entry("a", WorkClass::Batch, {2000, 1000, 0});
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
  BOOST_TEST(bed.Subject.used(TeamId("b")).MilliCpu >= half * 9 / 10);
  BOOST_TEST(bed.Subject.used(TeamId("a")).MilliCpu >= half);
  // Hysteresis: each stopped task has moved room for good.
  BOOST_TEST(checkpoints <= 44U);
}

BOOST_AUTO_TEST_CASE(FailingWorkerIsQuarantinedAndComesBackOnProbation) {
  Bed bed(4);
  const auto isOn = [&](uint32_t n) {
    return [n](const Offer &o) { return o.Worker == Bed::worker(n); };
  };
  for (int i = 0; i < 100; ++i) {
    bed.submit(Bed::entry(i % 2 ? "a" : "b"), 8);
    bed.plan(Duration::millis(100));
    for (const Offer &offer : std::vector<Offer>(bed.Placed))
      bed.end(offer.Task, isOn(2)(offer) ? EndKind::Failed : EndKind::Finished);
  }
  BOOST_REQUIRE(bed.Subject.quarantined().size() == 1U);
  BOOST_CHECK(bed.Subject.quarantined()[0] == Bed::worker(2));
  bed.submit(Bed::entry("a"), 8);
  bed.plan(Duration::minutes(31));
  BOOST_TEST(std::ranges::count_if(bed.Placed, isOn(2)) <= 1);
  BOOST_TEST(bed.Subject.quarantined().empty());
}

BOOST_AUTO_TEST_CASE(FailingEntryBacksOffAndBlamesNoWorker) {
  Bed bed(8);
  bed.submit(Bed::entry("a"), 4);
  std::size_t attempts = 0;
  for (int i = 0; i < 600; ++i) {
    attempts += only<Offer>(bed.plan(Duration::millis(100))).size();
    for (const Offer &offer : std::vector<Offer>(bed.Placed))
      bed.end(offer.Task, EndKind::Failed);
  }
  BOOST_TEST(bed.Subject.quarantined().empty());
  // A minute of doubling waits from half a second on.
  BOOST_TEST(attempts <= 4U * 9U);
}

BOOST_AUTO_TEST_CASE(NewIncarnationOfAWorkerIsTrustedAgain) {
  Bed bed(4);
  for (int i = 0; i < 4; ++i) {
    bed.submit(Bed::entry("a"), 8);
    bed.plan();
    for (const Offer &offer : std::vector<Offer>(bed.Placed))
      bed.end(offer.Task, offer.Worker == Bed::worker(0) ? EndKind::Failed
                                                         : EndKind::Finished);
  }
  BOOST_REQUIRE(bed.Subject.quarantined().size() == 1U);
  bed.see(0, 2);
  BOOST_TEST(bed.Subject.quarantined().empty());
  // An announcement of the predecessor changes nothing.
  bed.see(0, 1, {1, 1, 0});
  BOOST_TEST(bed.Subject.status().Held.MilliCpu == 4 * WorkerSize.MilliCpu);
}

BOOST_AUTO_TEST_CASE(WaveOfCancelsIsIdempotentAndPlacementGoesOn) {
  Bed bed(2);
  bed.submit(Bed::entry("a"), 4);
  bed.plan();
  std::vector<RequestId> wave(2000);
  std::ranges::generate(wave, [&] { return bed.submit(Bed::entry("a")); });
  const RequestId other = bed.submit(Bed::entry("b"));
  for (int round = 0; round < 2; ++round)
    for (const RequestId &id : wave)
      bed.Subject.cancel(id);
  BOOST_TEST(bed.Subject.status().QueuedTasks == 1U);
  BOOST_TEST(only<StopTask>(bed.plan()).empty());
  bed.end(bed.Placed.front().Task, EndKind::Finished);
  bed.plan();
  BOOST_TEST(bed.isPlaced(other));
  bed.Subject.cancel(other);
  bed.Subject.cancel(other);
  BOOST_TEST(only<StopTask>(bed.plan()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(SmallerSliceStopsTheSurplus) {
  Bed bed(4);
  bed.submit(Bed::entry("a"), 8);
  bed.plan();
  bed.Subject.setSlice(TeamId("a"), {24000, 64000, 0});
  const auto stops = only<StopTask>(bed.plan());
  BOOST_TEST(stops.size() == 5U);
  BOOST_TEST(std::ranges::all_of(stops, [](const StopTask &stop) {
    return stop.Why == StopReason::OverSlice;
  }));
  for (const StopTask &stop : stops)
    bed.end(stop.Task, EndKind::Stopped);
  BOOST_TEST(only<Offer>(bed.plan()).empty());
  BOOST_TEST(bed.Subject.wanted(TeamId("a")).MilliCpu == 64000);
  BOOST_TEST(bed.Subject.used(TeamId("a")).MilliCpu == 24000);
}

BOOST_AUTO_TEST_CASE(LeavingWorkerIsClearedOfServicesAndGetsNoWork) {
  Bed bed(2);
  bed.submit(Bed::entry("a", WorkClass::Service), 2);
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
    return offer.Worker == Bed::worker(1);
  }));
}

BOOST_AUTO_TEST_CASE(MeasuredUseWidensReservationsAndThrottlesTheRest) {
  Bed bed(1);
  catalogue::Entry entry = Bed::entry("a", WorkClass::Batch, {4000, 8000, 0});
  entry.CanThrottle = true;
  bed.submit(entry, 2);
  bed.plan();
  for (int i = 0; i < 10; ++i)
    bed.Subject.usage(bed.Placed[0].Task, {1000, 12000, 0});
  const auto changes = only<ThrottleTask>(bed.plan());
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].Grant.MemoryMb == 12000);
  bed.submit(entry);
  bed.plan();
  // The next start reserves what was learned: more memory, less processor.
  BOOST_REQUIRE(bed.Placed.size() == 3U);
  BOOST_TEST(bed.Placed[2].Reserved.MemoryMb == 13800);
  BOOST_TEST(bed.Placed[2].Reserved.MilliCpu == 1150);
}

BOOST_AUTO_TEST_CASE(RestoredAttemptsHoldTheirRoom) {
  Bed bed(1);
  fate::Submission work;
  work.Request = RequestId("z.old");
  work.Team = TeamId("a");
  work.Entry = Bed::entry("a");
  const TaskId task = {work.Request, 0};
  bed.Subject.restore(work, Instant(),
                      {task, Bed::worker(0), HalfWorker, Instant()});
  bed.Subject.enqueue({work, Instant(), {0}}, bed.Now);
  bed.submit(Bed::entry("b"), 2);
  BOOST_TEST(only<Offer>(bed.plan()).size() == 1U);
  bed.end(task, EndKind::Lost);
  BOOST_TEST(only<Offer>(bed.plan()).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::placement
