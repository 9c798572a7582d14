// Tests that an attempt ends only on evidence of its own: messages about a
// worker that another writer sent, or that arrive late, do not end the attempts
// on it.
#include <boost/test/unit_test.hpp>

#include <string>

#include "testing/control_cell.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

constexpr uint64_t Seeds = 4;
// The period in which workers announce themselves.
constexpr Duration AnnouncePeriod = Duration::millis(1500);
// Longer than a worker may delay the answer to a lease order.
constexpr Duration LongestAnswerDelay = Duration::millis(800);
// Longer than the leases of a cell, on the slowest clock.
constexpr Duration LeasesOver = Duration::seconds(8);
// A worker's clock may be 2 % slow.
constexpr int64_t SlowestRate = 980;

void checkGuarantees(ControlCell &cell) {
  for (const std::string &violation : cell.workers().violations())
    BOOST_TEST(false, violation);
}

int startsOf(ControlCell &cell) {
  int n = 0;
  for (const auto &[task, starts] : cell.workers().starts())
    n += starts;
  return n;
}

// An announcement of a worker that does not exist, at the address of `id`.
jobs::AnnounceWorker foreignAnnouncement(ControlCell &cell,
                                         const std::string &id,
                                         const std::string &pool) {
  jobs::Announcement what;
  what.AnnouncedWorker = sampleWorker("x1");
  what.AnnouncedWorker.WorkerIncarnation = Incarnation{1000};
  what.AnnouncedWorker.Pool = jobs::PoolId(pool);
  what.AnnouncedWorker.At = cell.workers().addressOf(id);
  what.Sequence = 1;
  what.WorkerClock = cell.wire().now();
  return {what};
}

// Checks that w1 is given tasks.
void checkW1IsUsed(ControlCell &cell) {
  BOOST_REQUIRE(isOk(cell.submit("b", 6, 3000)));
  cell.wire().run(Duration::seconds(1));
  BOOST_TEST(cell.workers().runningOn("w1") == 2U);
}

// Checks that the tasks on w1 go on and that w1 is given tasks afterwards.
void checkAnnouncementChangesNothing(const std::string &pool) {
  ControlCell cell({});
  BOOST_REQUIRE(isOk(cell.submit("a", 6, 3000)));
  cell.wire().run(Duration::millis(500));
  BOOST_REQUIRE(cell.workers().runningOn("w1") == 2U);
  BOOST_TEST(isOk(cell.execute(foreignAnnouncement(cell, "w1", pool))));
  BOOST_TEST(cell.awaitState("a", "completed"));
  BOOST_TEST(startsOf(cell) == 6);
  checkW1IsUsed(cell);
  checkGuarantees(cell);
}

// A worker, and the leader that alone reaches it and is cut off from the other
// members.
struct IsolatedPair {
  ControlCell Cell;
  std::string Worker;

  // Runs a task on the worker, whose clock has this rate, for `before`.
  IsolatedPair(uint64_t seed, int64_t clockRate, Duration before)
      : Cell([seed] {
          ControlCellOptions options;
          options.Seed = seed;
          return options;
        }()) {
    for (const std::string id : {"w1", "w2", "w3"})
      Cell.workers().setClockRate(id, clockRate);
    Cell.wire().run(Duration::seconds(3));
    BOOST_REQUIRE(isOk(Cell.submit("a", 1, 120'000)));
    Cell.wire().run(before);
    for (const std::string id : {"w1", "w2", "w3"})
      if (Cell.workers().runningOn(id) > 0)
        Worker = id;
    BOOST_REQUIRE(!Worker.empty());
  }

  void isolate() {
    const int leader = Cell.leader();
    for (int member = 1; member <= 3; ++member)
      if (member != leader)
        Cell.cutWorker(member, Worker);
    Cell.cutOff(leader);
  }

  // Checks that the task is started elsewhere, and not while it still runs.
  void checkTaskMovesOnce() {
    Cell.wire().run(LeasesOver + Duration::seconds(4));
    BOOST_TEST(startsOf(Cell) == 2);
    Cell.wire().heal();
    Cell.healWorkers();
    Cell.wire().run(Duration::seconds(3));
    BOOST_TEST(startsOf(Cell) == 2);
    BOOST_TEST(Cell.workers().running() == 1U);
    checkGuarantees(Cell);
  }
};

// Workers may grant twice the lease that the leader asks for, and have room for
// the tasks of one that is lost.
ControlCellOptions withLongLeases() {
  ControlCellOptions options;
  options.TasksPerWorker = 6;
  options.MaxLease = Duration::seconds(10);
  return options;
}

BOOST_AUTO_TEST_SUITE(RunEvidenceTest)

// Guards against a heartbeat of another environment that ends the runs on the
// worker whose address it names (review/1).
BOOST_AUTO_TEST_CASE(AnnouncementForAnUnknownPoolEndsNoRun) {
  checkAnnouncementChangesNothing("another-pool");
}

// Guards against the same for an announcement that names a known pool.
BOOST_AUTO_TEST_CASE(AnnouncementWithTheAddressOfASoundWorkerEndsNoRun) {
  checkAnnouncementChangesNothing("desk");
}

// Guards against an announcement that moves a running worker to an address at
// which another worker answers.
BOOST_AUTO_TEST_CASE(AnnouncementThatMovesAWorkerEndsNoRun) {
  for (Duration offset; offset < AnnouncePeriod;
       offset = offset + Duration::millis(100)) {
    ControlCell cell({});
    BOOST_REQUIRE(isOk(cell.submit("a", 4, 3000)));
    cell.wire().run(Duration::millis(300) + offset);
    BOOST_REQUIRE(cell.workers().runningOn("w1") > 0U);
    // Runs, but has not announced itself.
    cell.workers().add("w4", {});
    jobs::Announcement what = cell.workers().announcement("w1");
    what.AnnouncedWorker.At = cell.workers().addressOf("w4");
    BOOST_TEST(isOk(cell.execute(jobs::AnnounceWorker{what})));
    BOOST_TEST(cell.awaitState("a", "completed"));
    BOOST_TEST(startsOf(cell) == 4);
    checkGuarantees(cell);
  }
}

// Guards against waiting for leases although another worker has answered at the
// address, which proves that the first one has ended.
BOOST_AUTO_TEST_CASE(WorkerAtTheAddressOfALostOneTakesItsPlace) {
  ControlCell cell({});
  BOOST_REQUIRE(isOk(cell.submit("a", 6, 1000)));
  cell.wire().run(Duration::millis(300));
  cell.workers().replace("w1", "x1");
  BOOST_TEST(cell.awaitState("a", "completed", Duration::seconds(4)));
  checkW1IsUsed(cell);
  checkGuarantees(cell);
}

// Guards against a withdrawal of an earlier life that is carried out late and
// ends the runs of the next life (review/2).
BOOST_AUTO_TEST_CASE(LateWithdrawalOfAnEarlierLifeEndsNoRun) {
  for (Duration offset; offset < LongestAnswerDelay;
       offset = offset + Duration::millis(100)) {
    ControlCell cell({});
    cell.workers().setDraining("w1");
    cell.wire().run(Duration::seconds(2));
    BOOST_TEST(isOk(cell.execute(jobs::WithdrawWorker{WorkerId("w1")})));
    cell.workers().restart("w1");
    cell.wire().run(Duration::seconds(2));
    BOOST_REQUIRE(isOk(cell.submit("a", 6, 3000)));
    cell.wire().run(Duration::millis(300) + offset);
    BOOST_REQUIRE(cell.workers().runningOn("w1") == 2U);
    BOOST_TEST(isOk(cell.execute(jobs::WithdrawWorker{WorkerId("w1")})));
    BOOST_TEST(cell.awaitState("a", "completed"));
    BOOST_TEST(startsOf(cell) == 6);
    // The life that runs has not said that it leaves.
    checkW1IsUsed(cell);
    checkGuarantees(cell);
  }
}

// Guards against a withdrawal that is taken for the end of the runs of a worker
// that is only cut off.
BOOST_AUTO_TEST_CASE(WithdrawnWorkerThatIsCutOffKeepsItsRunsUntilLeasesEnd) {
  ControlCell cell({});
  BOOST_REQUIRE(isOk(cell.submit("a", 4, 60'000)));
  cell.wire().run(Duration::millis(500));
  BOOST_REQUIRE(cell.workers().runningOn("w1") > 0U);
  cell.workers().setDraining("w1");
  cell.wire().run(Duration::seconds(2));
  cell.workers().setSilent("w1", true);
  BOOST_TEST(isOk(cell.execute(jobs::WithdrawWorker{WorkerId("w1")})));
  cell.wire().run(LeasesOver * 2);
  BOOST_TEST(startsOf(cell) > 4);
  checkGuarantees(cell);
}

// Guards against a leader that grants leases after it has lost its quorum: its
// successor does not wait for them.
BOOST_AUTO_TEST_CASE(LeaderWithoutAQuorumGrantsNoLeases) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed)
    for (Duration offset; offset < LongestAnswerDelay;
         offset = offset + Duration::millis(100)) {
      IsolatedPair pair(seed, SlowestRate, Duration::millis(500) + offset);
      pair.isolate();
      pair.checkTaskMovesOnce();
    }
}

// Guards against leases that grow with the age of a clock sample: a successor
// waits for leases of the configured length only.
BOOST_AUTO_TEST_CASE(LeasesFromAnOldClockSampleEndBeforeASuccessorActs) {
  for (Duration offset; offset < LongestAnswerDelay;
       offset = offset + Duration::millis(100)) {
    IsolatedPair pair(1, SlowestRate, Duration::millis(500));
    // On a slow clock, samples that took longer are not newer than the first.
    pair.Cell.workers().setAnswerAge(pair.Worker, Duration::millis(100));
    pair.Cell.wire().run(Duration::seconds(60) + offset);
    pair.isolate();
    pair.checkTaskMovesOnce();
  }
}

// Guards against tasks that run twice because their worker restarts under its
// id, takes starts that were meant for its earlier life, and is cut off: such
// an order grants a lease that is counted on another clock.
BOOST_AUTO_TEST_CASE(RestartedWorkerThatIsCutOffRunsNothingTwice) {
  for (const bool isLeaderLost : {false, true})
    for (Duration offset; offset < AnnouncePeriod * 2;
         offset = offset + Duration::millis(300)) {
      ControlCell cell(withLongLeases());
      cell.workers().setClockRate("w1", SlowestRate);
      cell.workers().crash("w1");
      BOOST_REQUIRE(isOk(cell.submit("a", 6, 60'000)));
      cell.wire().run(Duration::millis(600));
      cell.workers().restart("w1");
      cell.wire().run(offset);
      BOOST_REQUIRE(cell.workers().runningOn("w1") > 0U);
      if (isLeaderLost)
        cell.kill(cell.leader());
      cell.workers().setSilent("w1", true);
      cell.wire().run(LeasesOver * 2);
      cell.workers().setSilent("w1", false);
      cell.wire().run(Duration::seconds(3));
      checkGuarantees(cell);
    }
}

// Guards against orders that a worker carries out late, after it has restarted:
// they lengthen the leases of what its next life runs.
BOOST_AUTO_TEST_CASE(LateOrdersOfAnEarlierLifeGrantNoLeases) {
  for (Duration delay = Duration::seconds(3); delay < Duration::seconds(6);
       delay = delay + Duration::millis(300)) {
    ControlCell cell(withLongLeases());
    cell.workers().delayOrders("w1", delay);
    BOOST_REQUIRE(isOk(cell.submit("a", 6, 1000)));
    cell.wire().run(Duration::millis(1200));
    cell.workers().delayOrders("w1", Duration());
    cell.workers().restart("w1");
    cell.wire().run(delay - Duration::millis(1500));
    BOOST_REQUIRE(isOk(cell.submit("b", 6, 60'000)));
    cell.wire().run(Duration::millis(500));
    BOOST_REQUIRE(cell.workers().runningOn("w1") > 0U);
    cell.workers().setSilent("w1", true);
    cell.wire().run(LeasesOver * 2);
    checkGuarantees(cell);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
