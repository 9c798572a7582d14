// Tests failures of real processes on loopback. Each test waits until its
// condition holds.
#include <signal.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"
#include "testing/cell.h"

namespace jujube::testing {
namespace {

const std::string Zone = "san-fernando";

template <typename T> void requireOk(const Result<T> &result) {
  const std::string why = isOk(result) ? "" : errorOf(result).text();
  BOOST_REQUIRE_MESSAGE(why.empty(), why);
}

std::unique_ptr<Cell> startCell(CellOptions options = {}) {
  auto cell = Cell::start(std::move(options));
  requireOk(cell);
  return valueOf(std::move(cell));
}

std::string requestId(const std::string &name, int n) {
  return absl::StrCat(Zone, ".", name, "-", n);
}

// The state's name, or the error.
std::string stateOf(const Result<fate::FateView> &fate) {
  return isOk(fate)
             ? std::string(nameIn(fate::FateStateNames, valueOf(fate).State))
             : errorOf(fate).text();
}

// Returns a numeric field of a stand-in's stats.
std::string statOf(Cell &cell, const std::string &standIn,
                   const std::string &name) {
  const auto stats = cell.stats(standIn);
  if (!isOk(stats))
    return "";
  const std::size_t at = valueOf(stats).find("\"" + name + "\":");
  if (at == std::string::npos)
    return "";
  const std::size_t from = at + name.size() + 3;
  return valueOf(stats).substr(from,
                               valueOf(stats).find_first_of(",}", from) - from);
}

// Voters of the zone's group that its leader hears from.
uint32_t votersOf(Cell &cell) {
  const auto fleet = cell.status();
  return isOk(fleet) ? valueOf(fleet).Zones.front().Voters : 0;
}

BOOST_AUTO_TEST_SUITE(CellSuite)

BOOST_AUTO_TEST_CASE(KilledLeaderUnderLoadLosesNoRequestAndRunsNoneTwice) {
  auto cell = startCell();
  constexpr int Requests = 60;
  for (int i = 0; i < Requests; ++i) {
    if (i == Requests / 2) {
      const std::string leader = cell->leaderOf(Zone);
      BOOST_REQUIRE(!leader.empty());
      cell->signal(leader, SIGKILL);
    }
    const bool isOnce = i % 3 == 0;
    const auto fate =
        cell->submit(requestId("load", i), isOnce ? "refunds" : "invoices",
                     isOnce ? "run_ms=50;once=1" : "run_ms=50");
    requireOk(fate);
  }
  for (int i = 0; i < Requests; ++i)
    BOOST_TEST_REQUIRE(
        stateOf(cell->fate(requestId("load", i), Duration::seconds(30))) ==
        "finished");
  BOOST_TEST(statOf(*cell, "workers-" + Zone, "concurrent_duplicates") == "0");
}

BOOST_AUTO_TEST_CASE(PausedLeaderDoesNoHarmWhenItReturns) {
  auto cell = startCell();
  const std::string leader = cell->leaderOf(Zone);
  cell->signal(leader, SIGSTOP);
  BOOST_TEST(eventually([&] {
    const std::string now = cell->leaderOf(Zone);
    return !now.empty() && now != leader;
  }));
  for (int i = 0; i < 10; ++i)
    BOOST_TEST_REQUIRE(isOk(
        cell->submit(requestId("paused", i), "refunds", "run_ms=20;once=1")));
  cell->signal(leader, SIGCONT);
  for (int i = 10; i < 20; ++i)
    BOOST_TEST_REQUIRE(isOk(
        cell->submit(requestId("paused", i), "refunds", "run_ms=20;once=1")));
  for (int i = 0; i < 20; ++i)
    BOOST_TEST_REQUIRE(
        stateOf(cell->fate(requestId("paused", i), Duration::seconds(30))) ==
        "finished");
  BOOST_TEST(statOf(*cell, "workers-" + Zone, "concurrent_duplicates") == "0");
}

BOOST_AUTO_TEST_CASE(SecondMemberLostRightAfterARepairLosesNothing) {
  auto cell = startCell();
  BOOST_REQUIRE(
      isOk(cell->submit(requestId("kept", 1), "invoices", "run_ms=50")));
  BOOST_REQUIRE(isOk(cell->fate(requestId("kept", 1), Duration::seconds(10))));
  const std::string first = cell->leaderOf(Zone);
  cell->signal(first, SIGKILL);
  BOOST_REQUIRE(eventually([&] {
    const std::string now = cell->leaderOf(Zone);
    return !now.empty() && now != first;
  }));
  BOOST_REQUIRE(eventually([&] { return votersOf(*cell) == 2U; }));
  cell->restart(first);
  // The repair is complete once the replacement has caught up and is a voter.
  BOOST_REQUIRE(eventually([&] { return votersOf(*cell) == 3U; }));
  const std::string second = cell->leaderOf(Zone);
  cell->signal(second, SIGKILL);
  cell->restart(second);
  BOOST_TEST(eventually(
      [&] { return stateOf(cell->fate(requestId("kept", 1))) == "finished"; }));
  BOOST_TEST(eventually([&] {
    return isOk(cell->submit(requestId("kept", 2), "invoices", "run_ms=50"));
  }));
}

BOOST_AUTO_TEST_CASE(KeeperThatMissedManyChangesServesTheLatest) {
  CellOptions options;
  options.WorkersPerZone = 0;
  auto cell = startCell(options);
  cell->signal("keeper-3", SIGKILL);
  // Together with the existing team, the catalogue then holds the maximum
  // number of teams.
  constexpr int Changes = 999;
  constexpr int Threads = 8;
  const auto putTeam = [](int i) {
    const catalogue::Team team{TeamId(absl::StrCat("team-", i)), 1,
                               Resources{1000, 1000, 0}};
    return catalogue::Edit{EditId(absl::StrCat("many-", i)), Revision{},
                           catalogue::PutTeam{team}, "test"};
  };
  std::atomic<int> accepted = 0;
  std::vector<std::thread> operators;
  operators.reserve(8);
  for (int t = 0; t < Threads; ++t)
    operators.emplace_back([&, t] {
      // Stops at the first refused edit.
      for (int i = t; i < Changes && isOk(cell->edit(putTeam(i))); i += Threads)
        ++accepted;
    });
  std::ranges::for_each(operators, [](std::thread &t) { t.join(); });
  BOOST_TEST_REQUIRE(accepted.load() == Changes);
  BOOST_TEST(!isOk(cell->edit(putTeam(Changes))));
  cell->restart("keeper-3");
  // With another keeper lost, the group needs the returned keeper for a quorum.
  cell->signal("keeper-1", SIGKILL);
  catalogue::Edit last{EditId("last"), Revision{},
                       catalogue::PutEntry{{.Id = EntryId("late"),
                                            .Owner = TeamId("events"),
                                            .Demand = Resources{1000, 1, 0}}},
                       "test"};
  BOOST_TEST(eventually([&] { return isOk(cell->edit(last)); }));
  const auto contents = cell->catalogue("entry-" + Zone + "-1");
  BOOST_REQUIRE(isOk(contents));
  BOOST_TEST(valueOf(contents).Teams.size() ==
             static_cast<std::size_t>(Changes + 1));
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyIsRefusedOnceTheWithdrawalIsAnswered) {
  auto cell = startCell();
  BOOST_REQUIRE(
      isOk(cell->submit(requestId("key", 1), "invoices", "run_ms=1")));
  const auto contents = cell->catalogue("entry-" + Zone + "-1");
  BOOST_REQUIRE(isOk(contents));
  const auto receipt =
      cell->edit({EditId("withdraw"), valueOf(contents).Keys.front().ChangedAt,
                  catalogue::WithdrawKey{KeyId("events-1")}, "test"});
  requireOk(receipt);
  BOOST_TEST(valueOf(receipt).IsInForce);
  for (int host = 1; host <= 3; ++host) {
    const auto refused = cell->call(requestId("key", 10 + host), "x",
                                    absl::StrCat("entry-", Zone, "-", host));
    BOOST_REQUIRE(!isOk(refused));
    BOOST_TEST(nameIn(ErrorKindNames, errorOf(refused).Kind) ==
                   nameIn(ErrorKindNames, ErrorKind::Unauthenticated),
               errorOf(refused).text());
  }
}

BOOST_AUTO_TEST_CASE(OneOfTwoRacingOperatorsWins) {
  CellOptions options;
  options.WorkersPerZone = 0;
  auto cell = startCell(options);
  const auto contents = cell->catalogue("entry-" + Zone + "-1");
  BOOST_REQUIRE(isOk(contents));
  const Revision base = valueOf(contents).Teams.front().ChangedAt;
  std::vector<Result<api::EditReceipt>> answers(2, Error{});
  std::vector<std::thread> operators;
  operators.reserve(8);
  for (int i = 0; i < 2; ++i)
    operators.emplace_back([&, i] {
      const catalogue::Team team{TeamId("events"), static_cast<uint32_t>(i + 2),
                                 Resources{64000, 65536, 0}};
      answers[i] = cell->edit({EditId(absl::StrCat("race-", i)), base,
                               catalogue::PutTeam{team}, "test"},
                              absl::StrCat("entry-", Zone, "-", i + 1));
    });
  std::ranges::for_each(operators, [](std::thread &t) { t.join(); });
  BOOST_TEST(std::ranges::count_if(answers, isOk<api::EditReceipt>) == 1);
  const auto &loser = isOk(answers[0]) ? answers[1] : answers[0];
  BOOST_TEST((errorOf(loser).Kind == ErrorKind::RevisionConflict));
}

BOOST_AUTO_TEST_CASE(OrderlyEndOfAnEntryHostCutsNoLiveRequest) {
  CellOptions options;
  options.RunnersPerZone = 2;
  options.RunnerMeanMs = 200;
  auto cell = startCell(options);
  const std::string host = "entry-" + Zone + "-1";
  BOOST_REQUIRE(eventually([&] {
    return isOk(cell->call(requestId("warm", 1), "answer=x", host));
  }));
  constexpr int Callers = 12;
  std::vector<Result<api::LiveAnswer>> answers(Callers, Error{});
  std::atomic<int> begun = 0;
  std::vector<std::thread> callers;
  callers.reserve(Callers);
  for (int i = 0; i < Callers; ++i)
    callers.emplace_back([&, i] {
      ++begun;
      answers[i] =
          cell->call(requestId("live", i), absl::StrCat("answer=a", i), host);
    });
  BOOST_REQUIRE(eventually([&] { return begun == Callers; }));
  BOOST_TEST(cell->stop(host) == 0);
  std::ranges::for_each(callers, [](std::thread &t) { t.join(); });
  for (int i = 0; i < Callers; ++i) {
    BOOST_TEST_CONTEXT("caller " << i) {
      requireOk(answers[i]);
      BOOST_TEST(valueOf(answers[i]).Body == absl::StrCat("a", i));
    }
  }
}

BOOST_AUTO_TEST_CASE(ZoneWithoutKeepersGoesOnWithWhatItMay) {
  auto cell = startCell();
  BOOST_REQUIRE(
      isOk(cell->submit(requestId("before", 1), "invoices", "run_ms=8000")));
  for (int i = 1; i <= 3; ++i)
    cell->signal(absl::StrCat("keeper-", i), SIGKILL);
  // Beyond the bound, work with a key is refused with the reason; accepted work
  // continues.
  BOOST_TEST(eventually([&] {
    const auto refused =
        cell->submit(requestId("after", 1), "invoices", "run_ms=1");
    return !isOk(refused) && errorOf(refused).Kind == ErrorKind::Unavailable;
  }));
  for (int i = 1; i <= 3; ++i)
    cell->restart(absl::StrCat("keeper-", i));
  BOOST_TEST(eventually([&] {
    return stateOf(cell->fate(requestId("before", 1), Duration::seconds(5))) ==
           "finished";
  }));
  BOOST_TEST(statOf(*cell, "workers-" + Zone, "concurrent_duplicates") == "0");
  BOOST_TEST(statOf(*cell, "workers-" + Zone, "lease_stops") == "0");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
