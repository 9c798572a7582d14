#include <boost/test/unit_test.hpp>

#include "jujube/limits/lease_table.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/limits/zone_slices.h"

namespace jujube::limits {
namespace {

const TeamId Team("events");
const ZoneId ZoneA("ubungo");
const ZoneId ZoneB("temeke");
constexpr Resources Ceiling{100'000, 100'000, 0};
constexpr SlicePolicy Policy;

SliceReport reportOf(const ZoneId &zone, uint64_t sequence, const Slice &held,
                     const Resources &wanted) {
  return {zone, Term{1}, sequence, held.Version, {{held, wanted}}};
}

SliceLedger ledgerOfTwo() {
  SliceLedger ledger;
  ledger.apply(AddZone{ZoneA});
  ledger.apply(AddZone{ZoneB});
  ledger.apply(SetCeiling{Team, Ceiling});
  return ledger;
}

// The leader of a zone after it received the reply to its first report.
struct Leader {
  SliceHoldings Holdings;
  ZoneSlices Slices;

  Leader(const SliceLedger &ledger, Instant sentAt, Instant receivedAt)
      : Slices(ZoneA, Term{1}, Policy, Instant(), Holdings) {
    const SliceReply reply = ledger.replyTo(Slices.report({}, sentAt));
    const auto update = Slices.receive(reply, receivedAt);
    BOOST_REQUIRE(update.has_value());
    Holdings.apply(*update);
    Slices.onCommitted(Holdings);
  }
};

BOOST_AUTO_TEST_SUITE(LimitsSuite)

BOOST_AUTO_TEST_CASE(LeaseCountsFromWhenTheReportWasSent) {
  SliceLedger ledger = ledgerOfTwo();
  ledger.apply(ApplyReport{reportOf(ZoneA, 1, {Team, {}, {}, {}}, Ceiling)});
  const Instant sentAt = Instant::fromMillis(1000);
  const Leader leader(ledger, sentAt, sentAt + Duration::seconds(9));
  const Instant end = sentAt + Policy.BorrowLease;
  BOOST_TEST((leader.Slices.leaseEnd() == end));
  const Instant stopsAt = end - Policy.StopMargin;
  const Resources guaranteed = leader.Holdings.find(Team)->Guaranteed;
  BOOST_TEST(
      (leader.Slices.limitForStart(Team, stopsAt - Duration::millis(1)) ==
       leader.Holdings.find(Team)->total()));
  BOOST_TEST((leader.Slices.limitForStart(Team, stopsAt) == guaranteed));
  BOOST_TEST((leader.Slices.limitForRunning(Team, stopsAt) == guaranteed));
}

BOOST_AUTO_TEST_CASE(NewLeaderHasNoBorrowedPartUntilItIsRenewed) {
  SliceLedger ledger = ledgerOfTwo();
  ledger.apply(ApplyReport{reportOf(ZoneA, 1, {Team, {}, {}, {}}, Ceiling)});
  const Leader first(ledger, Instant(), Instant());
  const Instant takeover = Instant::fromMillis(2000);
  const ZoneSlices second(ZoneA, Term{2}, Policy, takeover, first.Holdings);
  BOOST_TEST((second.limitForStart(Team, takeover) ==
              first.Holdings.find(Team)->Guaranteed));
  BOOST_TEST(!second.isReadyToRenew(takeover));
  BOOST_TEST(second.isReadyToRenew(takeover + Policy.TakeoverGrace));
}

BOOST_AUTO_TEST_CASE(ReturnOfAnOlderGrantIsIgnored) {
  SliceLedger ledger = ledgerOfTwo();
  const Slice seen = ledger.replyTo({ZoneA, Term{1}, 1, {}, {}}).Slices.at(0);
  ledger.apply(ApplyReport{reportOf(ZoneA, 1, seen, Ceiling)});
  const Resources before = ledger.held(Team);
  BOOST_TEST((Resources{99'000, 99'000, 0}.fitsIn(before)));
  const Slice returned{Team, seen.Version, {}, {}};
  ledger.apply(ApplyReport{reportOf(ZoneA, 2, returned, Ceiling)});
  BOOST_TEST((ledger.held(Team) == before));
}

BOOST_AUTO_TEST_CASE(LateReclaimKeepsLaterLoans) {
  SliceLedger ledger = ledgerOfTwo();
  const auto wantAll = [&](uint64_t sequence) {
    ledger.apply(
        ApplyReport{reportOf(ZoneA, sequence, {Team, {}, {}, {}}, Ceiling)});
  };
  wantAll(1);
  const ReclaimBorrowed reclaim{ZoneA, ledger.latest()};
  ledger.apply(reclaim);
  BOOST_TEST(!ledger.holdsBorrowed(ZoneA));
  wantAll(2);
  ledger.apply(reclaim);
  BOOST_TEST(ledger.holdsBorrowed(ZoneA));
}

BOOST_AUTO_TEST_CASE(ReportThatChangesNothingIsNotLogged) {
  SliceLedger ledger = ledgerOfTwo();
  const Slice seen = ledger.replyTo({ZoneA, Term{1}, 1, {}, {}}).Slices.at(0);
  BOOST_TEST(!ledger.commandFor(reportOf(ZoneA, 1, seen, {})).has_value());
  const SliceReport news = reportOf(ZoneA, 2, seen, Ceiling);
  const auto command = ledger.commandFor(news);
  BOOST_REQUIRE(command.has_value());
  ledger.apply(*command);
  BOOST_TEST(!ledger.commandFor(news).has_value());
  BOOST_TEST((ledger.commandFor({ZoneId("msasani"), {}, 1, {}, {}}) ==
              std::optional<SliceCommand>(AddZone{ZoneId("msasani")})));
}

BOOST_AUTO_TEST_CASE(LedgerSurvivesItsSnapshot) {
  SliceLedger ledger = ledgerOfTwo();
  ledger.apply(ApplyReport{reportOf(ZoneB, 1, {Team, {}, {}, {}}, Ceiling)});
  LedgerState state = ledger.state();
  const auto restored = SliceLedger::fromState(state);
  BOOST_REQUIRE(isOk(restored));
  BOOST_TEST((valueOf(restored).state() == state));
  state.Zones.pop_back();
  BOOST_TEST(
      (errorOf(SliceLedger::fromState(state)).Kind == ErrorKind::CorruptData));
}

BOOST_AUTO_TEST_CASE(LeaseTableWaitsForTheWholeLease) {
  const Duration lease = Duration::seconds(10);
  const Duration drift = Duration::seconds(1);
  LeaseTable<ZoneId> leases(lease, drift, Instant());
  const Instant end = Instant() + lease + drift;
  BOOST_TEST(!leases.hasEnded(ZoneA, end - Duration::millis(1)));
  BOOST_TEST(leases.hasEnded(ZoneA, end));
  BOOST_TEST(!leases.renew(ZoneA, end));
  leases.reset(ZoneA, end);
  BOOST_TEST(leases.renew(ZoneA, end + Duration::seconds(5)));
  BOOST_TEST(leases.ended(end + lease + drift).empty());
  BOOST_TEST(leases.ended(end + Duration::seconds(16)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::limits
