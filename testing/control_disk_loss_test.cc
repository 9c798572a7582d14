// All hosts of a control group lose power at the same time, and some lose their
// disks: acknowledged jobs must survive.
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/control_cell.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

constexpr int Size = 6;
constexpr int Seeds = 3;
constexpr int Jobs = 5;
// Equals the sites' recoveryS.
constexpr Duration RecoveryBound = Duration::seconds(15);
// Equals the sites' catchUpS.
constexpr Duration CatchUpBound = Duration::seconds(6);

ControlCellOptions sixMembers(uint64_t seed) {
  ControlCellOptions options;
  options.Members = Size;
  options.Voters = 5;
  options.Seed = seed;
  return options;
}

std::string nameOf(int job) { return absl::StrCat("job", job); }

void submitJobs(ControlCell &cell) {
  for (int i = 0; i < Jobs; ++i)
    BOOST_REQUIRE(isOk(cell.submit(nameOf(i), 2, 60'000)));
}

void losePower(ControlCell &cell) {
  for (int member = 1; member <= Size; ++member)
    if (cell.isRunning(member))
      cell.kill(member);
}

// Starts all members that do not run; those of `wiped` with an empty disk.
void powerOn(ControlCell &cell, const std::set<int> &wiped) {
  for (int member = 1; member <= Size; ++member)
    if (!cell.isRunning(member))
      cell.restart(member, wiped.contains(member));
}

// Checks that every acknowledged job is visible again in time.
void checkAcknowledgedJobs(ControlCell &cell) {
  const Instant end = cell.wire().now() + RecoveryBound;
  BOOST_REQUIRE(
      cell.wire().run(RecoveryBound, [&] { return cell.leader() != 0; }));
  for (int i = 0; i < Jobs; ++i) {
    const std::string state = cell.stateOf(nameOf(i));
    BOOST_TEST((state == "queued" || state == "running"),
               nameOf(i) << " is " << state);
  }
  BOOST_TEST((cell.wire().now() <= end));
}

BOOST_AUTO_TEST_SUITE(ControlDiskLossTest)

BOOST_AUTO_TEST_CASE(AcknowledgedJobsOutliveTwoDisksAndAllPower) {
  const std::vector<std::set<int>> losses = {{1, 2}, {2, 3}, {1, 6}, {4, 5}};
  for (std::size_t i = 0; i < losses.size(); ++i) {
    ControlCell cell(sixMembers(i + 1));
    cell.wire().run(Duration::seconds(5));
    submitJobs(cell);
    losePower(cell);
    powerOn(cell, losses[i]);
    checkAcknowledgedJobs(cell);
  }
}

BOOST_AUTO_TEST_CASE(WipedSeedsFoundNoGroupOfTheirOwn) {
  ControlCell cell(sixMembers(1));
  cell.wire().run(Duration::seconds(5));
  submitJobs(cell);
  losePower(cell);
  cell.restart(1, true);
  cell.restart(2, true);
  BOOST_TEST(!cell.wire().run(Duration::seconds(10),
                              [&] { return cell.leader() != 0; }));
  // With one former voter, the wiped hosts are a majority of the seeds and of
  // the running hosts; they must not vote as their previous incarnations.
  cell.restart(3);
  BOOST_TEST(!cell.wire().run(Duration::seconds(10),
                              [&] { return cell.leader() != 0; }));
  powerOn(cell, {});
  checkAcknowledgedJobs(cell);
}

BOOST_AUTO_TEST_CASE(AcknowledgedJobsOutliveAllPowerWhileAVoterIsReplaced) {
  // Times close to the timeout after which a silent voter is replaced.
  for (int ms = 2300; ms <= 3200; ms += 100) {
    ControlCell cell(sixMembers(static_cast<uint64_t>(ms)));
    cell.wire().run(Duration::seconds(5));
    cell.kill(cell.leader() == 2 ? 3 : 2);
    cell.wire().run(Duration::millis(ms));
    submitJobs(cell);
    losePower(cell);
    powerOn(cell, {});
    checkAcknowledgedJobs(cell);
  }
}

BOOST_AUTO_TEST_CASE(AcknowledgedJobsOutliveADiskWhileAVoterIsReplaced) {
  for (int ms = 2300; ms <= 3200; ms += 100) {
    ControlCell cell(sixMembers(static_cast<uint64_t>(ms)));
    cell.wire().run(Duration::seconds(5));
    const int lost = cell.leader() == 2 ? 3 : 2;
    cell.kill(lost);
    cell.wire().run(Duration::millis(ms));
    submitJobs(cell);
    losePower(cell);
    powerOn(cell, {lost, ms % 200 == 0 ? 1 : 4});
    checkAcknowledgedJobs(cell);
  }
}

BOOST_AUTO_TEST_CASE(WipedSeedIsAdmittedThoughNoSeedLeads) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ControlCell cell(sixMembers(seed));
    cell.wire().run(Duration::seconds(5));
    while (cell.leader() <= Seeds) {
      const int held = cell.leader();
      cell.kill(held);
      BOOST_REQUIRE(
          cell.wire().run(RecoveryBound, [&] { return cell.leader() != 0; }));
      cell.restart(held);
      cell.wire().run(Duration::seconds(1));
    }
    const int leader = cell.leader();
    BOOST_REQUIRE(leader > Seeds);
    submitJobs(cell);
    cell.restart(1, true);
    cell.wire().run(CatchUpBound);
    losePower(cell);
    powerOn(cell, {2, leader});
    checkAcknowledgedJobs(cell);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
