// Tests what becomes of a submission that arrives after its caller has
// cancelled the job, over the real tasks on a manual clock.
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "testing/control_cell.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

constexpr Duration LongAfter = Duration::seconds(5);

std::string outcomeOf(const Result<jobs::Reply> &reply) {
  return isOk(reply) ? std::string("ok")
                     : std::string(nameIn(ErrorKindNames, errorOf(reply).Kind));
}

std::string cancel(ControlCell &cell, const std::string &id,
                   const std::string &key = "key-a") {
  return outcomeOf(cell.execute(
      jobs::CancelJob{{"a.example", "/plans/", key}, jobs::JobId(id)}));
}

std::string submit(ControlCell &cell, const std::string &id,
                   const std::string &key = "key-a") {
  return outcomeOf(cell.execute(jobs::SubmitJob{
      {"a.example", "/plans/", key}, sampleJob(id, {sampleStep(1)})}));
}

BOOST_AUTO_TEST_SUITE(WithdrawalPathTest)

// Guards against a job that runs although its cancellation was acknowledged,
// since its submission was delivered late by a host that was frozen
// (review/11).
BOOST_AUTO_TEST_CASE(SubmissionThatArrivesAfterItsCancellationIsRefused) {
  ControlCell cell({});
  BOOST_TEST(cancel(cell, "a") == "gone");
  BOOST_TEST(submit(cell, "a") == "gone");
  cell.wire().run(LongAfter);
  BOOST_TEST(cell.stateOf("a") == "gone");
  BOOST_TEST(cell.workers().starts().empty());
  BOOST_TEST(submit(cell, "b") == "ok");
  BOOST_TEST(cell.awaitState("b", "completed"));
}

// Guards against the same after another member has become leader.
BOOST_AUTO_TEST_CASE(CancellationOutlivesTheLossOfTheLeader) {
  ControlCell cell({});
  BOOST_TEST(cancel(cell, "a") == "gone");
  cell.kill(cell.leader());
  cell.wire().run(LongAfter);
  BOOST_TEST(submit(cell, "a") == "gone");
  cell.wire().run(LongAfter);
  BOOST_TEST(cell.workers().starts().empty());
}

// Guards against the same after all members have lost power.
BOOST_AUTO_TEST_CASE(CancellationOutlivesTheLossOfPowerOfAllMembers) {
  ControlCell cell({});
  BOOST_TEST(cancel(cell, "a") == "gone");
  for (int i = 1; i <= 3; ++i)
    cell.kill(i);
  cell.wire().run(Duration::seconds(1));
  for (int i = 1; i <= 3; ++i)
    cell.restart(i);
  cell.wire().run(LongAfter);
  BOOST_TEST(submit(cell, "a") == "gone");
  cell.wire().run(LongAfter);
  BOOST_TEST(cell.workers().starts().empty());
}

// Guards against the same while the cancellation is being stored.
BOOST_AUTO_TEST_CASE(SubmissionInTheTurnOfItsCancellationIsRefused) {
  ControlCell cell({});
  const auto submission = cell.post(sampleJob("a", {sampleStep(1)}));
  const auto cancellation = cell.post(
      jobs::CancelJob{{"a.example", "/plans/", "key-a"}, jobs::JobId("a")});
  cell.wire().run(LongAfter);
  BOOST_TEST(cell.stateOf("a") == "gone");
  BOOST_TEST(cell.workers().starts().empty());
  BOOST_TEST(!ControlCell::isAcknowledged(submission));
  BOOST_TEST(!ControlCell::isAcknowledged(cancellation));
}

// Guards against a team that prevents another one from using an id.
BOOST_AUTO_TEST_CASE(CancellationOfAnotherTeamHasNoEffect) {
  ControlCell cell({});
  jobs::Configuration config = sampleConfiguration(2);
  config.Teams.push_back({TeamId("other"), {"key-b"}, 10, {}});
  BOOST_REQUIRE(isOk(cell.execute(jobs::PutConfiguration{config})));
  BOOST_TEST(cancel(cell, "a", "key-b") == "gone");
  BOOST_TEST(submit(cell, "a") == "ok");
  BOOST_TEST(cell.awaitState("a", "completed"));
}

// Guards against a leader whose memory and disk are filled by a team that
// cancels ids which nobody submits.
BOOST_AUTO_TEST_CASE(CancellationsBeyondTheBoundAreRefusedAndStoreNothing) {
  ControlCell cell({});
  std::vector<ControlCell::AnswerSlot> answers;
  answers.reserve(jobs::Withdrawals::MaxPerTeam);
  for (std::size_t i = 0; i < jobs::Withdrawals::MaxPerTeam; ++i) {
    answers.push_back(
        cell.post(jobs::CancelJob{{"a.example", "/plans/", "key-a"},
                                  jobs::JobId(absl::StrCat("unknown-", i))}));
    if (i % 100 == 0)
      cell.wire().run(Duration::millis(100));
  }
  cell.wire().run(Duration::seconds(2));
  BOOST_TEST(cancel(cell, "a") == "overloaded");
  // Those that are recorded are still acknowledged, and known jobs cancelled.
  BOOST_TEST(cancel(cell, "unknown-0") == "gone");
  BOOST_TEST(submit(cell, "b") == "ok");
  BOOST_TEST(cancel(cell, "b") == "ok");
  // The withdrawals are forgotten after the retention period.
  cell.wire().run(Duration::seconds(160));
  BOOST_TEST(cancel(cell, "a") == "gone");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
