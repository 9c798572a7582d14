// Tests an availability zone that is cut off from the keepers and the other
// zones, over the real tasks on a manual clock.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "testing/task_cell.h"

namespace jujube::testing {
namespace {

const std::string IsolatedZone = "temeke";
const std::string ConnectedZone = "ubungo";
// The ceiling and the part of it that each of the two zones is guaranteed.
constexpr Resources Ceiling{8000, 1 << 20, 0};
constexpr int64_t GuaranteedMilliCpu = 2000;
constexpr int64_t TaskMilliCpu = 1000;
// Keyed work is refused after this long without contact to the keepers.
constexpr Duration FreshnessBound = Duration::seconds(3);
// A withdrawn key has to stop working within this span.
constexpr Duration WithdrawalBound = Duration::seconds(5);
constexpr int Backlog = 200;
constexpr char Work[] = "run_ms=2000;team=events";

struct Cut {
  std::unique_ptr<TaskCell> Cell;
  Instant At;

  // IsolatedZone runs a backlog on more than its guaranteed part when it
  // is cut off.
  Cut() {
    TaskCellOptions options;
    options.Zones = {IsolatedZone, ConnectedZone};
    options.Ceiling = Ceiling;
    auto cell = TaskCell::start(options);
    const std::string why = isOk(cell) ? "" : errorOf(cell).text();
    BOOST_REQUIRE_MESSAGE(why.empty(), why);
    Cell = valueOf(std::move(cell));
    submitBacklog(IsolatedZone);
    BOOST_REQUIRE(Cell->wire().run(Duration::seconds(10), [this] {
      const auto &teams = Cell->log().teams();
      return teams.contains("events") &&
             teams.at("events").Now.MilliCpu > GuaranteedMilliCpu;
    }));
    Cell->cutOff(IsolatedZone);
    At = Cell->wire().now();
  }

  void submitBacklog(const std::string &zone) {
    for (int i = 0; i < Backlog; ++i)
      BOOST_REQUIRE(isOk(Cell->submit(zone, absl::StrCat(zone, ".backlog-", i),
                                      "invoices", Work, TaskCell::Kept)));
  }

  void runUntil(Duration sinceCut) {
    Cell->wire().run(At + sinceCut - Cell->wire().now());
  }

  // The zone's state, as reported by its own entry host.
  api::ZoneStatus zoneStatus(const std::string &zone) {
    const auto fleet = Cell->status(zone);
    const auto it =
        std::ranges::find(fleet.Zones, ZoneId(zone), &api::ZoneStatus::Zone);
    return it == fleet.Zones.end() ? api::ZoneStatus{} : *it;
  }

  Result<fate::FateView> submitWithKey(const std::string &key,
                                       const std::string &name) {
    return Cell->submit(IsolatedZone, absl::StrCat(IsolatedZone, ".", name),
                        "invoices", Work, key);
  }

  int64_t peakMilliCpu() const {
    return Cell->log().teams().at("events").Peak.MilliCpu;
  }
};

ErrorKind kindOf(const Result<fate::FateView> &result) {
  return isOk(result) ? ErrorKind::Internal : errorOf(result).Kind;
}

Result<api::EditReceipt> withdrawSpare(TaskCell &cell) {
  const auto reply =
      cell.execute(ConnectedZone, api::GetCatalogue{"operator-token"});
  BOOST_REQUIRE(isOk(reply));
  const auto &keys = std::get<catalogue::Contents>(valueOf(reply)).Keys;
  const auto key = std::ranges::find(
      keys, KeyId("spare"), [](const auto &row) { return row.Value.Id; });
  BOOST_REQUIRE((key != keys.end()));
  return cell.edit(ConnectedZone, catalogue::WithdrawKey{KeyId("spare")},
                   key->ChangedAt);
}

BOOST_FIXTURE_TEST_SUITE(TaskCutSuite, Cut)

BOOST_AUTO_TEST_CASE(AcceptedWorkGoesOnWithinTheGuaranteedPart) {
  submitBacklog(ConnectedZone);
  // By then the zone has given up its borrowed part.
  runUntil(Duration::seconds(35));
  const api::ZoneStatus before = zoneStatus(IsolatedZone);
  BOOST_TEST(before.Reserved.MilliCpu <= GuaranteedMilliCpu);
  runUntil(Duration::seconds(55));
  const api::ZoneStatus after = zoneStatus(IsolatedZone);
  BOOST_TEST(after.QueuedTasks < before.QueuedTasks);
  BOOST_TEST(after.Reserved.MilliCpu <= GuaranteedMilliCpu);
  // The other zone gets what was reclaimed, less what is lost to rounding of
  // the slices: the room of one task.
  BOOST_TEST(Cell->wire().run(Duration::seconds(10), [this] {
    return Cell->log().teams().at("events").Now.MilliCpu >=
           Ceiling.MilliCpu - TaskMilliCpu;
  }));
  Cell->wire().heal();
  runUntil(Duration::seconds(90));
  BOOST_TEST(peakMilliCpu() <= Ceiling.MilliCpu);
  BOOST_TEST(Cell->log().concurrentDuplicates() == 0U);
}

BOOST_AUTO_TEST_CASE(KeyedWorkIsRefusedPastTheBound) {
  BOOST_TEST(isOk(submitWithKey(TaskCell::Kept, "fresh")));
  runUntil(FreshnessBound + Duration::millis(1));
  BOOST_TEST((kindOf(submitWithKey(TaskCell::Kept, "late")) ==
              ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyStopsInTheCutOffZone) {
  const Instant withdrawnAt = Cell->wire().now();
  const auto receipt = withdrawSpare(*Cell);
  BOOST_REQUIRE(isOk(receipt));
  BOOST_TEST(valueOf(receipt).IsInForce);
  BOOST_TEST(((Cell->wire().now() - withdrawnAt) <= WithdrawalBound));
  BOOST_TEST(!isOk(submitWithKey(TaskCell::Spare, "withdrawn")));
}

BOOST_AUTO_TEST_CASE(CatalogueIsInForceOnceTheCutHeals) {
  BOOST_REQUIRE(isOk(withdrawSpare(*Cell)));
  BOOST_TEST((Cell->status(IsolatedZone).Catalogue <
              Cell->status(ConnectedZone).Catalogue));
  runUntil(Duration::minutes(1));
  Cell->wire().heal();
  const Duration inForceWithin = Duration::seconds(9);
  Cell->wire().run(inForceWithin);
  BOOST_TEST((Cell->status(IsolatedZone).Catalogue ==
              Cell->status(ConnectedZone).Catalogue));
  BOOST_TEST((kindOf(submitWithKey(TaskCell::Spare, "withdrawn")) ==
              ErrorKind::Unauthenticated));
  BOOST_TEST(isOk(submitWithKey(TaskCell::Kept, "healed")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
