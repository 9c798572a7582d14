// Tests the path of a job from submission to its end, and its failures, over
// the real tasks on a manual clock.
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "testing/control_cell.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

constexpr uint64_t Seeds = 4;

void requireOk(const Status &status) {
  BOOST_REQUIRE_MESSAGE(isOk(status),
                        (isOk(status) ? "" : errorOf(status).text()));
}

void checkGuarantees(const ControlCell &, const PlatformWorkers &workers) {
  for (const std::string &violation : workers.violations())
    BOOST_TEST(false, violation);
}

int startsOf(const ControlCell &, PlatformWorkers &workers) {
  int n = 0;
  for (const auto &[task, starts] : workers.starts())
    n += starts;
  return n;
}

// Submits job a, and waits until the two tasks of its first step run. Those of
// the second step wait for them.
void submitTwoSteps(ControlCell &cell) {
  jobs::StepSpec second = sampleStep(2);
  second.After = {0};
  jobs::JobSpec job = sampleJob("a", {sampleStep(2), second});
  job.Payload = "1000";
  requireOk(cell.submit(job));
  cell.wire().run(Duration::millis(500));
}

BOOST_AUTO_TEST_SUITE(ControlPathTest)

BOOST_AUTO_TEST_CASE(JobRunsStepByStepAndIsShownCompleted) {
  ControlCell cell({});
  jobs::StepSpec second = sampleStep(2);
  second.After = {0};
  jobs::JobSpec job = sampleJob("a", {sampleStep(3), second});
  job.Payload = "200";
  requireOk(cell.submit(job));
  BOOST_TEST(cell.awaitState("a", "completed"));
  BOOST_TEST(startsOf(cell, cell.workers()) == 5);
  checkGuarantees(cell, cell.workers());
}

BOOST_AUTO_TEST_CASE(SubmissionsOverAMessageInOneTurnAreReplicated) {
  ControlCell cell({});
  std::vector<jobs::JobSpec> large;
  for (int i = 0; i < 40; ++i) {
    large.push_back(sampleJob(absl::StrCat("a", i), {sampleStep(1)}));
    large.back().Payload = std::string(200'000, ' ') + "100";
  }
  BOOST_TEST(cell.submitAll(large));
  BOOST_TEST(cell.awaitState("a39", "completed"));
}

BOOST_AUTO_TEST_CASE(MetricsTellWhatHappenedToJobs) {
  ControlCell cell({});
  requireOk(cell.submit("a", 8, 300));
  BOOST_TEST(cell.awaitState("a", "completed"));
  BOOST_TEST(cell.stateOf("unknown") == "gone");
  const metrics::Snapshot all = cell.metricsOf(cell.leader());
  const auto counter = [&all](const std::string &name) {
    const auto it =
        std::ranges::find(all.Counters, name, &metrics::CounterValue::Name);
    return it == all.Counters.end() ? 0 : it->Value;
  };
  const auto gauge = [&all](const std::string &name) {
    const auto it =
        std::ranges::find(all.Gauges, name, &metrics::GaugeValue::Name);
    return it == all.Gauges.end() ? -1 : it->Value;
  };
  BOOST_TEST(counter("jobs_accepted") == 1U);
  BOOST_TEST(counter("jobs_ended") == 1U);
  BOOST_TEST(counter("attempts_ended") == 8U);
  BOOST_TEST(counter("commands_refused") > 0U);
  BOOST_TEST(gauge("is_leader") == 1);
  BOOST_TEST(gauge("workers") == 3);
  BOOST_TEST(gauge("attempts_live") == 0);
  BOOST_TEST(gauge("configuration_version") >= 1);
  // Six tasks fit at a time: two wait for capacity.
  const auto waits = std::ranges::find(all.Histograms, "job_wait_ms",
                                       &metrics::HistogramValue::Name);
  BOOST_REQUIRE((waits != all.Histograms.end()));
  BOOST_TEST(waits->For.Cause == "room");
  BOOST_TEST(waits->Max > 100);
}

BOOST_AUTO_TEST_CASE(TaskThatFillsYieldsToOneThatServes) {
  ControlCellOptions options;
  options.Workers = 1;
  ControlCell cell(options);
  jobs::StepSpec serving = sampleStep(1);
  serving.IsLongRunning = true;
  serving.ResponseTarget = Duration::millis(120);
  serving.MaxUnavailable = 0;
  jobs::JobSpec desk = sampleJob("a", {serving});
  desk.Payload = "60000";
  jobs::StepSpec filler = sampleStep(1);
  filler.IsFiller = true;
  jobs::JobSpec invoices = sampleJob("b", {filler});
  invoices.Payload = "30000";
  requireOk(cell.submit(desk));
  requireOk(cell.submit(invoices));
  cell.wire().run(Duration::seconds(4));
  // Both tasks at full speed have a tail latency of 160 ms; half of that is
  // acceptable again.
  BOOST_TEST(cell.workers().shareOf("a.0.0.0") == 100);
  const int share = cell.workers().shareOf("b.0.0.0");
  BOOST_TEST(share > 0);
  BOOST_TEST(share <= 50);
  BOOST_TEST(cell.stateOf("a") == "running");
  checkGuarantees(cell, cell.workers());
}

BOOST_AUTO_TEST_CASE(LongRunningTaskIsRestartedAfterAnyEnd) {
  ControlCell cell({});
  jobs::StepSpec lasting = sampleStep(1);
  lasting.IsLongRunning = true;
  lasting.MaxUnavailable = 1;
  jobs::JobSpec job = sampleJob("a", {lasting});
  job.Payload = "fail";
  requireOk(cell.submit(job));
  cell.wire().run(Duration::seconds(3));
  BOOST_TEST(startsOf(cell, cell.workers()) > 3);
  BOOST_TEST(cell.stateOf("a") == "running");
  (void)cell.execute(
      jobs::CancelJob{{"a.example", "/plans/", "key-a"}, jobs::JobId("a")});
  BOOST_TEST(cell.awaitState("a", "cancelled"));
}

// Load: one of three workers fails every task that starts on it, and a task has
// two attempts.
BOOST_AUTO_TEST_CASE(JobsOutliveAWorkerThatFailsEverything) {
  ControlCell cell({});
  cell.workers().setFailing("w1");
  constexpr int Jobs = 30;
  for (int i = 0; i < Jobs; ++i) {
    requireOk(cell.submit(absl::StrCat("a", i), 1, 300));
    cell.wire().run(Duration::millis(100));
  }
  for (int i = 0; i < Jobs; ++i)
    BOOST_TEST(cell.awaitState(absl::StrCat("a", i), "completed"));
  // The failing worker gets only occasional attempts.
  BOOST_TEST(startsOf(cell, cell.workers()) < Jobs + Jobs / 3);
  checkGuarantees(cell, cell.workers());
}

BOOST_AUTO_TEST_CASE(JobThatAlwaysFailsIsFailedAfterItsAttempts) {
  ControlCell cell({});
  jobs::JobSpec job = sampleJob("a", {sampleStep(1)});
  job.Payload = "fail";
  requireOk(cell.submit(job));
  BOOST_TEST(cell.awaitState("a", "failed"));
  BOOST_TEST(startsOf(cell, cell.workers()) == 2);
}

BOOST_AUTO_TEST_CASE(WorkGoesOnWhenTheLeaderIsLost) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    ControlCellOptions options;
    options.Seed = seed;
    ControlCell cell(options);
    requireOk(cell.submit("a", 6, 1500));
    cell.wire().run(Duration::millis(500));
    cell.kill(cell.leader());
    BOOST_TEST(cell.awaitState("a", "completed"));
    BOOST_TEST(startsOf(cell, cell.workers()) == 6);
    checkGuarantees(cell, cell.workers());
  }
}

BOOST_AUTO_TEST_CASE(LeaderThatLeavesPassesLeadershipOn) {
  ControlCell cell({});
  const int old = cell.leader();
  cell.notifyLeaving(old);
  // Less than the lease of a lost leader.
  BOOST_TEST(cell.wire().run(Duration::millis(300), [&] {
    return cell.leader() != 0 && cell.leader() != old;
  }));
}

BOOST_AUTO_TEST_CASE(AcceptedJobOutlivesTheLossOfPowerOfAllMembers) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    ControlCellOptions options;
    options.Seed = seed;
    ControlCell cell(options);
    requireOk(cell.submit("a", 2, 500));
    for (int i = 1; i <= 3; ++i)
      cell.kill(i);
    cell.wire().run(Duration::seconds(1));
    for (int i = 1; i <= 3; ++i)
      cell.restart(i);
    BOOST_TEST(cell.awaitState("a", "completed"));
    checkGuarantees(cell, cell.workers());
  }
}

BOOST_AUTO_TEST_CASE(LostDiskAndThenAnotherLoseNothing) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    ControlCellOptions options;
    options.Seed = seed;
    ControlCell cell(options);
    requireOk(cell.submit("a", 1, 100));
    cell.restart(cell.leader(), true);
    cell.wire().run(Duration::seconds(4));
    const int other = cell.leader();
    BOOST_REQUIRE(other != 0);
    cell.restart(other, true);
    BOOST_TEST(cell.awaitState("a", "completed"));
    const auto config = cell.execute(jobs::ReadConfiguration{});
    BOOST_TEST(isOk(config));
    checkGuarantees(cell, cell.workers());
  }
}

BOOST_AUTO_TEST_CASE(ReplacedMemberAtAnotherAddressTakesItsPlace) {
  ControlCellOptions options;
  options.Members = 4; // The fourth is a standby, not a seed.
  ControlCell cell(options);
  requireOk(cell.submit("a", 1, 100));
  const int gone = cell.leader();
  cell.kill(gone);
  cell.wire().run(Duration::seconds(6));
  // The group now tolerates the loss of another member.
  const int second = cell.leader();
  BOOST_REQUIRE(second != 0);
  cell.kill(second);
  BOOST_TEST(cell.awaitState("a", "completed"));
}

BOOST_AUTO_TEST_CASE(PausedLeaderThatWakesDoesNoHarm) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    ControlCellOptions options;
    options.Seed = seed;
    ControlCell cell(options);
    requireOk(cell.submit("a", 12, 700));
    cell.wire().run(Duration::millis(300));
    const int old = cell.leader();
    const Address at{absl::StrCat("10.0.0.", old), 7420};
    cell.wire().pause(at);
    cell.wire().run(Duration::seconds(3));
    cell.wire().resume(at);
    BOOST_TEST(cell.awaitState("a", "completed"));
    BOOST_TEST(startsOf(cell, cell.workers()) == 12);
    checkGuarantees(cell, cell.workers());
  }
}

BOOST_AUTO_TEST_CASE(MemberThatIsCutOffAcknowledgesAndShowsNothing) {
  ControlCell cell({});
  requireOk(cell.submit("a", 1, 100));
  const int old = cell.leader();
  cell.cutOff(old);
  cell.wire().run(Duration::seconds(2));
  const auto read =
      cell.execute(old, jobs::ReadConfiguration{}, Duration::millis(900));
  BOOST_TEST(!isOk(read));
  const auto put =
      cell.execute(old, jobs::PutConfiguration{sampleConfiguration(2)},
                   Duration::millis(900));
  BOOST_TEST(!isOk(put));
  cell.wire().heal();
  BOOST_TEST(cell.awaitState("a", "completed"));
}

BOOST_AUTO_TEST_CASE(SilentWorkersTasksStartElsewhereOnceItsLeasesAreOver) {
  ControlCell cell({});
  requireOk(cell.submit("a", 6, 60'000));
  cell.wire().run(Duration::millis(500));
  BOOST_REQUIRE(cell.workers().running() == 6U);
  cell.workers().setSilent("w1", true);
  cell.wire().run(Duration::seconds(4));
  BOOST_TEST(startsOf(cell, cell.workers()) == 6);
  cell.wire().run(Duration::seconds(10));
  cell.workers().setSilent("w1", false);
  cell.wire().run(Duration::seconds(5));
  BOOST_TEST(cell.workers().running() == 6U);
  checkGuarantees(cell, cell.workers());
}

BOOST_AUTO_TEST_CASE(OrdersThatAreCarriedOutLateRunNothingTwice) {
  for (uint64_t seed = 1; seed <= Seeds; ++seed) {
    ControlCellOptions options;
    options.Seed = seed;
    ControlCell cell(options);
    cell.workers().delayOrders("w1", Duration::seconds(3));
    requireOk(cell.submit("a", 6, 300));
    cell.wire().run(Duration::seconds(5));
    cell.workers().delayOrders("w1", Duration());
    BOOST_TEST(cell.awaitState("a", "completed"));
    checkGuarantees(cell, cell.workers());
  }
}

BOOST_AUTO_TEST_CASE(RebornWorkerIsGivenItsTasksAgain) {
  ControlCell cell({});
  requireOk(cell.submit("a", 6, 2000));
  cell.wire().run(Duration::millis(500));
  cell.workers().restart("w1");
  BOOST_TEST(cell.awaitState("a", "completed", Duration::seconds(12)));
  checkGuarantees(cell, cell.workers());
}

BOOST_AUTO_TEST_CASE(CancelledJobIsStoppedAndStaysCancelled) {
  ControlCell cell({});
  requireOk(cell.submit("a", 10, 60'000));
  cell.wire().run(Duration::millis(500));
  const auto reply = cell.execute(
      jobs::CancelJob{{"a.example", "/plans/", "key-a"}, jobs::JobId("a")});
  BOOST_TEST(isOk(reply));
  cell.wire().run(Duration::seconds(3));
  BOOST_TEST(cell.workers().running() == 0U);
  BOOST_TEST(cell.stateOf("a") == "cancelled");
  requireOk(cell.submit("a", 10, 60'000));
  cell.wire().run(Duration::seconds(1));
  BOOST_TEST(cell.workers().running() == 0U);
}

BOOST_AUTO_TEST_CASE(DrainingWorkerGetsNothingNew) {
  ControlCell cell({});
  cell.workers().setDraining("w1");
  cell.workers().setDraining("w2");
  cell.wire().run(Duration::seconds(2));
  requireOk(cell.submit("a", 6, 60'000));
  cell.wire().run(Duration::seconds(1));
  BOOST_TEST(cell.workers().running() == 2U);
}

BOOST_AUTO_TEST_CASE(WorkerThatStillAnswersIsNotGone) {
  ControlCell cell({});
  requireOk(cell.submit("a", 6, 3000));
  cell.wire().run(Duration::millis(500));
  BOOST_TEST(isOk(cell.execute(jobs::WithdrawWorker{WorkerId("w1")})));
  BOOST_TEST(cell.awaitState("a", "completed"));
  BOOST_TEST(startsOf(cell, cell.workers()) == 6);
  checkGuarantees(cell, cell.workers());
}

BOOST_AUTO_TEST_CASE(KeysQueuesAndJobsAreCheckedByTheLeader) {
  ControlCell cell({});
  const auto kindOf = [&cell](const jobs::Command &command) {
    const auto reply = cell.execute(command);
    return isOk(reply)
               ? std::string("ok")
               : std::string(nameIn(ErrorKindNames, errorOf(reply).Kind));
  };
  const jobs::JobSpec job = sampleJob("a", {sampleStep(1)});
  BOOST_TEST(kindOf(jobs::SubmitJob{{"a.example", "/plans/", "other"}, job}) ==
             "unauthenticated");
  BOOST_TEST(kindOf(jobs::SubmitJob{{"b.example", "/plans/", "key-a"}, job}) ==
             "not_found");
  BOOST_TEST(cell.stateOf("a") == "gone");
  jobs::Configuration next = sampleConfiguration(2);
  next.Teams[0].Keys = {"key-b"};
  BOOST_TEST(kindOf(jobs::PutConfiguration{next}) == "ok");
  BOOST_TEST(kindOf(jobs::SubmitJob{{"a.example", "/plans/", "key-a"}, job}) ==
             "unauthenticated");
}

// Guards against accepted jobs that are answered as gone, and do not go on,
// once the operator has given their queue or their team another name
// (review/7).
BOOST_AUTO_TEST_CASE(AcceptedJobGoesOnWhenItsQueueAndTeamAreRenamed) {
  ControlCell cell({});
  submitTwoSteps(cell);
  jobs::Configuration next = sampleConfiguration(2);
  next.Queues[0].Id = jobs::QueueId("other");
  next.Teams[0].Id = TeamId("other");
  BOOST_REQUIRE(isOk(cell.execute(jobs::PutConfiguration{next})));
  BOOST_TEST(cell.stateOf("a") == "running");
  BOOST_TEST(cell.awaitState("a", "completed"));
  BOOST_TEST(startsOf(cell, cell.workers()) == 4);
  checkGuarantees(cell, cell.workers());
}

// Guards against accepted jobs that stand still while their queue is out of the
// configuration.
BOOST_AUTO_TEST_CASE(AcceptedJobGoesOnWhenItsQueueIsRemoved) {
  ControlCell cell({});
  submitTwoSteps(cell);
  jobs::Configuration next = sampleConfiguration(2);
  next.Queues.clear();
  BOOST_REQUIRE(isOk(cell.execute(jobs::PutConfiguration{next})));
  cell.wire().run(Duration::seconds(4));
  BOOST_TEST(startsOf(cell, cell.workers()) == 4);
  BOOST_TEST(cell.stateOf("a") == "not_found");
  checkGuarantees(cell, cell.workers());
}

// Guards against a job that its caller no longer finds because its queue takes
// calls without a key since, or no longer does.
BOOST_AUTO_TEST_CASE(JobIsFoundWhenItsQueueOpensOrCloses) {
  for (const bool isOpenFirst : {false, true}) {
    ControlCell cell({});
    jobs::Configuration config = sampleConfiguration(2);
    config.Queues[0].IsOpen = isOpenFirst;
    BOOST_REQUIRE(isOk(cell.execute(jobs::PutConfiguration{config})));
    const auto callerIn = [](bool isOpen) {
      return jobs::Caller{"a.example", "/plans/", isOpen ? "" : "key-a"};
    };
    BOOST_REQUIRE(isOk(cell.execute(jobs::SubmitJob{
        callerIn(isOpenFirst), sampleJob("a", {sampleStep(1)})})));
    config.Version = 3;
    config.Queues[0].IsOpen = !isOpenFirst;
    BOOST_REQUIRE(isOk(cell.execute(jobs::PutConfiguration{config})));
    BOOST_TEST(isOk(
        cell.execute(jobs::ReadJob{callerIn(!isOpenFirst), jobs::JobId("a")})));
  }
}

BOOST_AUTO_TEST_CASE(OlderAndInvalidConfigurationsChangeNothing) {
  ControlCell cell({});
  jobs::Configuration newer = sampleConfiguration(5);
  newer.Document = "newer";
  BOOST_TEST(isOk(cell.execute(jobs::PutConfiguration{newer})));
  BOOST_TEST(
      isOk(cell.execute(jobs::PutConfiguration{sampleConfiguration(4)})));
  jobs::Configuration invalid = sampleConfiguration(6);
  invalid.Queues[0].Timeout = Duration();
  const auto refused = cell.execute(jobs::PutConfiguration{invalid});
  BOOST_REQUIRE(!isOk(refused));
  BOOST_TEST((errorOf(refused).Kind == ErrorKind::InvalidArgument));
  const auto read = cell.execute(jobs::ReadConfiguration{});
  BOOST_REQUIRE(isOk(read));
  BOOST_TEST(std::get<jobs::ConfigurationReply>(valueOf(read)).Document ==
             "newer");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
