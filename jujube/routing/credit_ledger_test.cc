#include "jujube/routing/credit_ledger.h"

#include <numeric>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "jujube/routing/fair_slots.h"

namespace jujube::routing {
namespace {

const ZoneId Zone("san-fernando");
const EntryId Entry("yard-desk");
const Term LedgerTerm{7};

Instant at(int64_t ms) { return Instant::fromMillis(ms); }

LedgerOptions options() {
  LedgerOptions options;
  options.Zone = Zone;
  options.LedgerTerm = LedgerTerm;
  options.Lease = Duration::millis(1000);
  options.MaxRequestTime = Duration::millis(2000);
  return options;
}

// A ledger that no longer waits for leases of a preceding term at instant 0.
CreditLedger settledLedger() {
  return valueOf(CreditLedger::create(options(), at(-100000)));
}

RunnerAnnouncement runner(int n, bool isLeaving = false) {
  RunnerAnnouncement announcement;
  announcement.Runner = RunnerId(absl::StrCat("r", n));
  announcement.Start = {1};
  announcement.Entry = Entry;
  announcement.Zone = Zone;
  announcement.IsLeaving = isLeaving;
  return announcement;
}

EntryReport report(const std::string &host, uint64_t sequence,
                   uint32_t queued) {
  EntryReport report;
  report.From = {HostId(host), {1}};
  report.HomeZone = Zone;
  report.Zone = Zone;
  report.Sequence = sequence;
  report.MaxPerRunner = 8;
  report.AppliedTerm = LedgerTerm;
  report.Demand = {{Entry, TeamId("crews"), 1, queued, 0}};
  return report;
}

// The next report of a holder that has applied `grant`, with this demand.
EntryReport following(const EntryReport &last, const CreditGrant &grant,
                      uint32_t queued, uint32_t inFlight) {
  EntryReport next = last;
  ++next.Sequence;
  next.AppliedGrant = grant.Serial;
  next.Runners.clear();
  for (const RunnerCredits &credits : grant.Credits)
    next.Runners.push_back({credits.Runner, credits.Credits, 0, 8});
  next.Demand = {{Entry, TeamId("crews"), 1, queued, inFlight}};
  return next;
}

uint32_t total(const CreditGrant &grant) {
  return std::accumulate(
      grant.Credits.begin(), grant.Credits.end(), 0U,
      [](uint32_t sum, const RunnerCredits &it) { return sum + it.Credits; });
}

BOOST_AUTO_TEST_SUITE(CreditLedgerSuite)

BOOST_AUTO_TEST_CASE(RejectsNonPositiveDurations) {
  LedgerOptions bad = options();
  bad.Lease = Duration();
  const auto ledger = CreditLedger::create(bad, at(0));
  BOOST_REQUIRE(!isOk(ledger));
  BOOST_TEST(!errorOf(ledger).Remedy.empty());
}

// An unconfirmed grant may still arrive, so the ledger must count its credits
// as held even if the message is lost.
BOOST_AUTO_TEST_CASE(LostGrantsKeepTheirSlots) {
  CreditLedger ledger = settledLedger();
  ledger.announce(runner(1), at(0));
  const auto lost = ledger.report(report("e1", 1, 8), at(0));
  BOOST_REQUIRE(lost.has_value());
  BOOST_TEST(total(*lost) == 8U);
  BOOST_TEST(total(*ledger.report(report("e2", 1, 8), at(10))) == 0U);
  // A report that does not confirm the grant.
  (void)ledger.report(report("e1", 2, 0), at(20));
  BOOST_TEST(total(*ledger.report(report("e2", 2, 8), at(30))) == 0U);
  BOOST_TEST(ledger.runners(at(30)).front().Committed == 8U);
}

BOOST_AUTO_TEST_CASE(ReturnedSlotsAreRegrantedOnceConfirmed) {
  CreditLedger ledger = settledLedger();
  ledger.announce(runner(1), at(0));
  EntryReport first = report("e1", 1, 8);
  CreditGrant grant = *ledger.report(first, at(0));
  (void)ledger.report(report("e2", 1, 8), at(5));
  // The holder is idle. The grant revokes all credits, but is not confirmed
  // yet.
  first = following(first, grant, 0, 0);
  grant = *ledger.report(first, at(10));
  BOOST_TEST(total(grant) == 0U);
  BOOST_TEST(total(*ledger.report(report("e2", 2, 8), at(20))) == 0U);
  (void)ledger.report(following(first, grant, 0, 0), at(30));
  BOOST_TEST(total(*ledger.report(report("e2", 3, 8), at(40))) == 8U);
}

BOOST_AUTO_TEST_CASE(DeadHolderKeepsItsSlotsForLeaseAndRequestTime) {
  CreditLedger ledger = settledLedger();
  ledger.announce(runner(1), at(0));
  (void)ledger.report(report("e1", 1, 8), at(0));
  // Lease 1000 ms and request time 2000 ms, with 1 % of drift.
  ledger.announce(runner(1), at(3000));
  ledger.tick(at(3029));
  BOOST_TEST(total(*ledger.report(report("e2", 1, 8), at(3029))) == 0U);
  ledger.tick(at(3030));
  BOOST_TEST(total(*ledger.report(report("e2", 2, 8), at(3030))) == 8U);
}

BOOST_AUTO_TEST_CASE(NewLeaderOnlyRenewsUntilOldLeasesExpire) {
  CreditLedger ledger = valueOf(CreditLedger::create(options(), at(0)));
  ledger.announce(runner(1), at(2900));
  EntryReport holding = report("e1", 1, 8);
  holding.AppliedTerm = Term{6};
  holding.Runners = {{RunnerId("r1"), 3, 1, 8}};
  const CreditGrant renewal = *ledger.report(holding, at(10));
  BOOST_TEST(renewal.IsRenewal);
  BOOST_TEST(total(renewal) == 3U);
  BOOST_TEST(ledger.isRenewalOnly(at(3029)));
  holding = following(holding, renewal, 8, 0);
  holding.AppliedTerm = LedgerTerm;
  const CreditGrant grant = *ledger.report(holding, at(3030));
  BOOST_TEST(!grant.IsRenewal);
  BOOST_TEST(total(grant) == 8U);
}

BOOST_AUTO_TEST_CASE(NewLeaderStartsEarlyOnceAllEntryHostsReported) {
  LedgerOptions known = options();
  known.EntryHosts = {HostId("e1"), HostId("e2")};
  CreditLedger ledger = valueOf(CreditLedger::create(known, at(0)));
  EntryReport first = report("e1", 1, 8);
  EntryReport second = report("e2", 1, 8);
  first.Uptime = Duration::seconds(60);
  // The host has restarted recently: requests of its previous incarnation may
  // be in progress.
  second.Uptime = Duration::millis(500);
  (void)ledger.report(first, at(10));
  (void)ledger.report(second, at(10));
  BOOST_TEST(ledger.isRenewalOnly(at(20)));
  second.Uptime = Duration::seconds(60);
  ++second.Sequence;
  (void)ledger.report(second, at(20));
  BOOST_TEST(!ledger.isRenewalOnly(at(20)));
}

BOOST_AUTO_TEST_CASE(LeavingAndSilentRunnersGetNoCredits) {
  CreditLedger ledger = settledLedger();
  ledger.announce(runner(1), at(0));
  ledger.announce(runner(2), at(0));
  ledger.announce(runner(1, true), at(10));
  // A delayed heartbeat of the same incarnation does not revoke the leave.
  ledger.announce(runner(1), at(20));
  const CreditGrant grant = *ledger.report(report("e1", 1, 16), at(30));
  BOOST_REQUIRE(grant.Credits.size() == 1U);
  BOOST_TEST(grant.Credits.front().Runner.str() == "r2");
  BOOST_TEST(total(*ledger.report(report("e1", 2, 16), at(3100))) == 0U);
}

// Entry hosts of other zones get only the slots that are left, unless their own
// zone has no runner of the entry.
BOOST_AUTO_TEST_CASE(HomeZoneIsServedFirst) {
  EntryReport foreign = report("e9", 1, 8);
  foreign.HomeZone = ZoneId("princes-town");
  CreditLedger ledger = settledLedger();
  ledger.announce(runner(1), at(0));
  const CreditGrant home = *ledger.report(report("e1", 1, 6), at(0));
  BOOST_TEST(total(home) >= 6U);
  BOOST_TEST(total(*ledger.report(foreign, at(1))) <= 2U);
  EntryReport stranded = foreign;
  ++stranded.Sequence;
  stranded.Demand.front().HasNoHomeRunner = true;
  (void)ledger.report(stranded, at(2));
  // The stranded demand now has equal priority, so that the home holder gets
  // about half of the slots.
  BOOST_TEST(total(*ledger.report(following(report("e1", 1, 6), home, 6, 0),
                                  at(3))) <= 4U);
}

BOOST_AUTO_TEST_CASE(StaleAndForeignReportsAreNotAnswered) {
  CreditLedger ledger = settledLedger();
  BOOST_TEST(ledger.report(report("e1", 5, 1), at(0)).has_value());
  BOOST_TEST(!ledger.report(report("e1", 5, 1), at(1)).has_value());
  BOOST_TEST(!ledger.report(report("e1", 4, 1), at(1)).has_value());
  EntryReport foreign = report("e1", 6, 1);
  foreign.Zone = ZoneId("princes-town");
  BOOST_TEST(!ledger.report(foreign, at(1)).has_value());
  EntryReport newer = report("e1", 7, 1);
  newer.AppliedTerm = Term{8};
  BOOST_TEST(!ledger.report(newer, at(1)).has_value());
}

// While other holders have more requests queued than the ledger has slots to
// grant, a holder's grants list the entry as contended and include no reserve.
BOOST_AUTO_TEST_CASE(GrantsListContendedEntries) {
  CreditLedger ledger = settledLedger();
  ledger.announce(runner(1), at(0));
  const EntryReport first = report("e1", 1, 6);
  const CreditGrant all = *ledger.report(first, at(0));
  BOOST_TEST(total(all) == 7U);
  BOOST_TEST(all.Contended.empty());
  const EntryReport busy = following(first, all, 0, 6);
  (void)ledger.report(busy, at(1));
  const EntryReport waiting = report("e2", 1, 2);
  BOOST_TEST(ledger.report(waiting, at(2))->Contended.empty());
  const CreditGrant less = *ledger.report(following(busy, all, 0, 6), at(3));
  BOOST_TEST((less.Contended == std::vector<EntryId>{Entry}));
  BOOST_TEST(total(less) == 6U);
  (void)ledger.report(report("e2", 2, 0), at(4));
  const EntryReport last = following(following(busy, all, 0, 6), less, 0, 6);
  BOOST_TEST(ledger.report(last, at(5))->Contended.empty());
}

// The small team gets all that it demands, the others share the rest 2 to 1,
// and each team's slots are divided among the entry hosts by demand.
BOOST_AUTO_TEST_CASE(SlotsAreDividedByShareThenByDemand) {
  const Holder a{HostId("a"), {1}};
  const Holder b{HostId("b"), {1}};
  const std::vector<HolderDemand> demands{{a, TeamId("small"), 1, 4},
                                          {a, TeamId("large"), 2, 100},
                                          {a, TeamId("medium"), 1, 25},
                                          {b, TeamId("medium"), 1, 75}};
  const auto shares = maxMinShares(demands, 64);
  BOOST_TEST(shares.at(TeamId("small")) == 4.0);
  BOOST_TEST(shares.at(TeamId("large")) == 40.0);
  BOOST_TEST(shares.at(TeamId("medium")) == 20.0);
  BOOST_TEST(fairSlots(demands, a, 64, true) == 49U);
  BOOST_TEST(fairSlots(demands, b, 64, true) == 15U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::routing
