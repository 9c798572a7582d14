// Tests that accepted jobs stay within reach of their callers while the
// configuration changes, over the real tasks on a manual clock.
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "testing/control_cell.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

const jobs::Caller CallerA{"a.example", "/plans/", "key-a"};
const jobs::Caller CallerB{"a.example", "/plans/", "key-b"};

jobs::Configuration configOf(uint64_t version, std::vector<jobs::Team> teams) {
  jobs::Configuration config = sampleConfiguration(version);
  config.Teams = std::move(teams);
  return config;
}

void store(ControlCell &cell, const jobs::Configuration &config) {
  BOOST_REQUIRE(isOk(cell.execute(jobs::PutConfiguration{config})));
}

jobs::JobSpec longJob(const std::string &id) {
  jobs::JobSpec job = sampleJob(id, {sampleStep(1)});
  job.Payload = "20000";
  return job;
}

// The job's state as the caller sees it, or the name of the error.
std::string stateFor(ControlCell &cell, const jobs::Caller &caller,
                     const std::string &id) {
  const auto reply = cell.execute(jobs::ReadJob{caller, jobs::JobId(id)});
  if (!isOk(reply))
    return std::string(nameIn(ErrorKindNames, errorOf(reply).Kind));
  return std::string(
      nameIn(jobs::JobStateNames,
             std::get<jobs::JobStatusReply>(valueOf(reply)).State));
}

BOOST_AUTO_TEST_SUITE(JobOwnershipPathTest)

// Guards against an accepted job that is answered as gone, and that nobody can
// cancel, once its team is merged into another one (review/12).
BOOST_AUTO_TEST_CASE(JobOfATeamThatIsMergedIsFoundByItsKey) {
  ControlCell cell({});
  store(cell, configOf(2, {{SampleTeam, {"key-a"}, 10, {}},
                           {TeamId("other"), {"key-b"}, 10, {}}}));
  BOOST_REQUIRE(isOk(cell.execute(jobs::SubmitJob{CallerB, longJob("a")})));
  cell.wire().run(Duration::millis(500));
  BOOST_TEST(stateFor(cell, CallerA, "a") == "gone");
  store(cell, configOf(3, {{SampleTeam, {"key-a", "key-b"}, 10, {}}}));
  BOOST_TEST(stateFor(cell, CallerB, "a") == "running");
  BOOST_TEST(stateFor(cell, CallerA, "a") == "running");
  cell.kill(cell.leader());
  BOOST_TEST(stateFor(cell, CallerB, "a") == "running");
  BOOST_TEST(isOk(cell.execute(jobs::CancelJob{CallerB, jobs::JobId("a")})));
  BOOST_TEST(stateFor(cell, CallerB, "a") == "cancelled");
}

// Guards against an accepted job that is answered as gone where it was handed
// in, once that path is served again by a queue of another name (review/13).
BOOST_AUTO_TEST_CASE(JobIsFoundOnceItsPathIsServedAgain) {
  ControlCell cell({});
  BOOST_REQUIRE(isOk(cell.execute(jobs::SubmitJob{CallerA, longJob("a")})));
  cell.wire().run(Duration::millis(500));
  jobs::Configuration config = sampleConfiguration(2);
  config.Queues[0].PathPrefix = "/x/";
  store(cell, config);
  BOOST_TEST(stateFor(cell, CallerA, "a") == "not_found");
  const jobs::Caller moved{"a.example", "/x/", "key-a"};
  BOOST_TEST(stateFor(cell, moved, "a") == "running");
  config.Version = 3;
  config.Queues.push_back(sampleConfiguration().Queues[0]);
  config.Queues.back().Id = jobs::QueueId("old");
  store(cell, config);
  BOOST_TEST(stateFor(cell, CallerA, "a") == "running");
  BOOST_TEST(stateFor(cell, moved, "a") == "running");
  cell.kill(cell.leader());
  BOOST_TEST(stateFor(cell, CallerA, "a") == "running");
}

// Guards against the same for a path that another queue takes over, since its
// prefix is longer.
BOOST_AUTO_TEST_CASE(JobIsFoundWhenALongerPrefixIsServed) {
  ControlCell cell({});
  const jobs::Caller deep{"a.example", "/plans/deep/", "key-a"};
  BOOST_REQUIRE(isOk(cell.execute(jobs::SubmitJob{deep, longJob("a")})));
  cell.wire().run(Duration::millis(500));
  jobs::Configuration config = sampleConfiguration(2);
  config.Queues.push_back(config.Queues[0]);
  config.Queues.back().Id = jobs::QueueId("deep");
  config.Queues.back().PathPrefix = "/plans/deep/";
  store(cell, config);
  BOOST_TEST(stateFor(cell, deep, "a") == "running");
}

// Guards against jobs that are accepted and answered as gone afterwards, since
// a version that renames their team precedes them in the log (review/14).
BOOST_AUTO_TEST_CASE(JobsSubmittedWhileTheirTeamIsRenamedAreFound) {
  ControlCell cell({});
  std::vector<std::string> accepted;
  for (uint64_t version = 2; version <= 5; ++version) {
    const TeamId team(absl::StrCat("team-", version));
    const auto stored = cell.post(
        jobs::PutConfiguration{configOf(version, {{team, {"key-a"}, 10, {}}})});
    std::vector<ControlCell::AnswerSlot> answers;
    answers.reserve(4);
    for (int i = 0; i < 4; ++i)
      answers.push_back(cell.post(
          sampleJob(absl::StrCat("v", version, "-", i), {sampleStep(1)})));
    cell.wire().run(Duration::millis(500));
    BOOST_TEST(ControlCell::isAcknowledged(stored));
    for (int i = 0; i < 4; ++i)
      if (ControlCell::isAcknowledged(answers[i]))
        accepted.push_back(absl::StrCat("v", version, "-", i));
  }
  BOOST_TEST(accepted.size() == 16U);
  cell.wire().run(Duration::seconds(5));
  for (const std::string &id : accepted)
    BOOST_TEST(stateFor(cell, CallerA, id) == "completed");
}

// Guards against a job that never starts, since two versions precede it in the
// log, of which the first removes its queue.
BOOST_AUTO_TEST_CASE(JobSubmittedWhileItsQueueIsRemovedGoesOn) {
  ControlCell cell({});
  jobs::Configuration without = sampleConfiguration(2);
  without.Queues[0].Id = jobs::QueueId("other");
  without.Queues[0].PathPrefix = "/other/";
  jobs::Configuration later = without;
  later.Version = 3;
  later.Queues[0].Priority = 1;
  (void)cell.post(jobs::PutConfiguration{without});
  (void)cell.post(jobs::PutConfiguration{later});
  const auto submission = cell.post(sampleJob("a", {sampleStep(1)}));
  cell.wire().run(Duration::seconds(5));
  BOOST_TEST(ControlCell::isAcknowledged(submission));
  BOOST_TEST(cell.workers().starts().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
