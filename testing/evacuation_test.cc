// Evacuations over the real tasks of a control group on a manual clock.
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "testing/control_cell.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

const ZoneId North("north");
constexpr uint64_t Seeds = 4;

// Workers w1 and w2 are in the zone that is evacuated, w3 and w4 are not.
struct TwoZones : ControlCell {
  explicit TwoZones(uint64_t seed = 1) : ControlCell(optionsOf(seed)) {
    for (const char *id : {"w1", "w2"})
      workers().setZone(id, North);
    for (const char *id : {"w3", "w4"})
      workers().setZone(id, ZoneId("south"));
    // Two announcement periods.
    wire().run(Duration::seconds(3));
  }

  static ControlCellOptions optionsOf(uint64_t seed) {
    ControlCellOptions options;
    options.Workers = 4;
    options.Seed = seed;
    return options;
  }

  std::size_t runningInNorth() {
    return workers().runningOn("w1") + workers().runningOn("w2");
  }
  // Start orders that the workers of the zone have received.
  int startOrders() {
    return workers().startOrdersTo("w1") + workers().startOrdersTo("w2");
  }
  std::vector<ZoneId> evacuated() {
    const auto reply = execute(jobs::ReadEvacuations{});
    const auto *zones = isOk(reply)
                            ? std::get_if<jobs::EvacuatedZones>(&valueOf(reply))
                            : nullptr;
    return zones == nullptr ? std::vector<ZoneId>() : zones->Zones;
  }
  void checkNothingStartsInNorth(Duration span) {
    BOOST_TEST(!wire().run(span, [this] { return runningInNorth() > 0; }));
    for (const std::string &violation : workers().violations())
      BOOST_TEST(false, violation);
  }
};

void requireOk(const Result<jobs::Reply> &reply) {
  BOOST_REQUIRE_MESSAGE(isOk(reply),
                        (isOk(reply) ? "" : errorOf(reply).text()));
}

BOOST_AUTO_TEST_SUITE(EvacuationTest)

BOOST_AUTO_TEST_CASE(NothingStartsInAnEvacuatedZoneUntilItIsRestored) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    TwoZones cell(seed);
    requireOk(cell.execute(jobs::EvacuateZone{North}));
    BOOST_REQUIRE(isOk(cell.submit("a", 16, 1000)));
    cell.checkNothingStartsInNorth(Duration::seconds(3));
    // A resend after a lost acknowledgement.
    requireOk(cell.execute(jobs::EvacuateZone{North}));
    BOOST_TEST(cell.evacuated().size() == 1U);
    requireOk(cell.execute(jobs::RestoreZone{North}));
    requireOk(cell.execute(jobs::RestoreZone{North}));
    BOOST_TEST(cell.evacuated().empty());
    BOOST_TEST(cell.wire().run(Duration::seconds(3),
                               [&] { return cell.runningInNorth() > 0; }));
    BOOST_TEST(cell.awaitState("a", "completed"));
  }
}

BOOST_AUTO_TEST_CASE(WorkThatRunsInTheZoneGoesOn) {
  TwoZones cell;
  BOOST_REQUIRE(isOk(cell.submit("a", 8, 4000)));
  BOOST_REQUIRE(cell.wire().run(Duration::seconds(2),
                                [&] { return cell.runningInNorth() == 4; }));
  cell.wire().run(Duration::millis(500));
  requireOk(cell.execute(jobs::EvacuateZone{North}));
  BOOST_TEST(cell.runningInNorth() == 4U);
  BOOST_TEST(cell.awaitState("a", "completed"));
  int starts = 0;
  for (const auto &[task, n] : cell.workers().starts())
    starts += n;
  BOOST_TEST(starts == 8);
}

BOOST_AUTO_TEST_CASE(EvacuationOutlivesTheLeaderAndTheLossOfPower) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    TwoZones cell(seed);
    requireOk(cell.execute(jobs::EvacuateZone{North}));
    cell.kill(cell.leader());
    BOOST_REQUIRE(isOk(cell.submit("a", 12, 500)));
    cell.checkNothingStartsInNorth(Duration::seconds(3));
    for (int i = 1; i <= 3; ++i)
      if (cell.isRunning(i))
        cell.kill(i);
    cell.wire().run(Duration::seconds(1));
    for (int i = 1; i <= 3; ++i)
      cell.restart(i);
    BOOST_REQUIRE(isOk(cell.submit("b", 12, 500)));
    cell.checkNothingStartsInNorth(Duration::seconds(3));
    BOOST_TEST(cell.evacuated().size() == 1U);
    BOOST_TEST(cell.awaitState("b", "completed"));
  }
}

// The workers carry out orders that they left unanswered late. Those that were
// sent before the evacuation may still start; none may be sent again.
BOOST_AUTO_TEST_CASE(UnansweredStartsAreNotSentAgainAfterAnEvacuation) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    TwoZones cell(seed);
    for (const char *id : {"w1", "w2"})
      cell.workers().delayOrders(id, Duration::millis(1500));
    BOOST_REQUIRE(isOk(cell.submit("a", 8, 300)));
    cell.wire().run(Duration::millis(100));
    requireOk(cell.execute(jobs::EvacuateZone{North}));
    const int before = cell.startOrders();
    // Resends would leave 250 ms after one another.
    cell.wire().run(Duration::seconds(4));
    BOOST_TEST(cell.startOrders() == before);
    cell.checkNothingStartsInNorth(Duration::seconds(10));
    BOOST_TEST(cell.awaitState("a", "completed"));
  }
}

// A plan that is made while an evacuation is on its way to the log may name
// workers of the zone. What is left of a gang must not wait for them.
BOOST_AUTO_TEST_CASE(GangIsNotSplitByAnEvacuation) {
  for (uint64_t seed = 1; seed <= 4 * Seeds; ++seed) {
    TwoZones cell(seed);
    jobs::StepSpec step = sampleStep(4);
    step.IsGang = true;
    jobs::JobSpec job = sampleJob("a", {step});
    job.Payload = "300";
    const auto submitted = cell.post(job);
    cell.wire().run(Duration::millis(static_cast<int64_t>(seed)));
    const auto evacuated = cell.post(jobs::EvacuateZone{North});
    BOOST_TEST(cell.wire().run(Duration::seconds(3), [&] {
      return ControlCell::isAcknowledged(evacuated) &&
             ControlCell::isAcknowledged(submitted);
    }));
    // Less than the time for which members of a gang wait for one another.
    BOOST_TEST(cell.awaitState("a", "completed", Duration::millis(2500)));
    for (const std::string &violation : cell.workers().violations())
      BOOST_TEST(false, violation);
  }
}

// A member that is cut off must not acknowledge what it can't store.
BOOST_AUTO_TEST_CASE(MemberThatIsCutOffAcknowledgesNoEvacuation) {
  TwoZones cell;
  const int old = cell.leader();
  cell.cutOff(old);
  BOOST_TEST(!isOk(cell.execute(old, jobs::EvacuateZone{North})));
  cell.wire().heal();
  cell.wire().run(Duration::seconds(2));
  requireOk(cell.execute(jobs::EvacuateZone{North}));
  BOOST_TEST(cell.evacuated().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
