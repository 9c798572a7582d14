#include "jujube/jobs/job_state_machine.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "testing/job_samples.h"

namespace jujube::jobs {
namespace {

using testing::sampleBook;
using testing::sampleJob;
using testing::sampleStep;
using testing::sampleWorker;
using testing::taskOf;

void start(JobStateMachine &book, const TaskKey &task, uint32_t attempt,
           const std::string &worker = "w1") {
  book.apply(AttemptStarted{task, attempt, WorkerId(worker)});
}
void end(JobStateMachine &book, const TaskKey &task, uint32_t attempt,
         EndKind how, const std::string &checkpoint = {}) {
  book.apply(AttemptEnded{task, attempt, how, checkpoint});
}
JobState stateOf(const JobStateMachine &book, const std::string &job) {
  return book.find(JobId(job))->State;
}

BOOST_AUTO_TEST_SUITE(JobStateMachineTest)

// Guards against a start that a leader planned before it knew of an evacuation.
BOOST_AUTO_TEST_CASE(NothingStartsInAnEvacuatedZone) {
  Worker worker = sampleWorker("w1");
  worker.Zone = ZoneId("north");
  JobStateMachine book =
      sampleBook({worker}, {sampleJob("a", {sampleStep(2)})});
  start(book, taskOf("a", 0), 1);
  book.apply(ZoneEvacuated{ZoneId("north")});
  const JobSnapshot saved = book.capture();
  for (JobStateMachine held : {book, JobStateMachine::restore(saved)}) {
    BOOST_TEST(held.isEvacuated(*held.findWorker(WorkerId("w1"))));
    BOOST_TEST(held.isLive(taskOf("a", 0), 1));
    start(held, taskOf("a", 1), 1);
    BOOST_TEST(!held.isLive(taskOf("a", 1), 1));
    held.apply(ZoneRestored{ZoneId("south")});
    start(held, taskOf("a", 1), 1);
    BOOST_TEST(!held.isLive(taskOf("a", 1), 1));
    held.apply(ZoneRestored{ZoneId("north")});
    start(held, taskOf("a", 1), 1);
    BOOST_TEST(held.isLive(taskOf("a", 1), 1));
  }
}

BOOST_AUTO_TEST_CASE(ResentJobIsTheSameJob) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  start(book, taskOf("a", 0), 1);
  book.apply(JobAccepted{sampleJob("a", {sampleStep(5)}), Instant()});
  BOOST_TEST(book.jobs().size() == 1U);
  BOOST_TEST((stateOf(book, "a") == JobState::Running));
  BOOST_TEST(book.find(JobId("a"))->Spec.Steps.front().Tasks == 1U);
}

// Guards against a job that its first failed attempt ends because its queue is
// not in the configuration at that moment (review/5).
BOOST_AUTO_TEST_CASE(AttemptsAllowedAreThoseOfTheAcceptance) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  start(book, taskOf("a", 0), 1);
  Configuration without = testing::sampleConfiguration(2);
  without.Queues.clear();
  book.apply(ConfigurationPut{without});
  end(book, taskOf("a", 0), 1, EndKind::Failed);
  BOOST_TEST((stateOf(book, "a") == JobState::Running));
  BOOST_TEST(book.waiting().contains({JobId("a"), 0, 0}));
  const JobSnapshot saved = book.capture();
  for (JobStateMachine held : {book, JobStateMachine::restore(saved)}) {
    held.apply(ConfigurationPut{testing::sampleConfiguration(3)});
    BOOST_TEST(!held.waiting().empty());
    start(held, taskOf("a", 0), 2);
    held.apply(ConfigurationPut{[&] {
      Configuration later = without;
      later.Version = 4;
      return later;
    }()});
    end(held, taskOf("a", 0), 2, EndKind::Failed);
    BOOST_TEST((stateOf(held, "a") == JobState::Failed));
  }
}

// Guards against a change of the configuration that fails a job by a limit
// which it was not accepted with.
BOOST_AUTO_TEST_CASE(LowerLimitOfALaterConfigurationDoesNotEndAnAcceptedJob) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  Configuration later = testing::sampleConfiguration(2);
  later.Queues[0].MaxAttempts = 1;
  book.apply(ConfigurationPut{later});
  start(book, taskOf("a", 0), 1);
  end(book, taskOf("a", 0), 1, EndKind::Failed);
  BOOST_TEST((stateOf(book, "a") == JobState::Running));
  start(book, taskOf("a", 0), 2);
  end(book, taskOf("a", 0), 2, EndKind::Failed);
  BOOST_TEST((stateOf(book, "a") == JobState::Failed));
}

// Guards against a job that never ends because its queue was taken out between
// its admission and its storage: the limit is read once the queue is back.
BOOST_AUTO_TEST_CASE(JobStoredWithoutItsQueueTakesTheLimitOnceTheQueueIsBack) {
  JobStateMachine book;
  book.apply(WorkerChanged{sampleWorker("w1")});
  book.apply(JobAccepted{sampleJob("a", {sampleStep(1)}), Instant()});
  book.apply(ConfigurationPut{testing::sampleConfiguration()});
  for (uint32_t attempt = 1; attempt <= 2; ++attempt) {
    BOOST_TEST((stateOf(book, "a") != JobState::Failed));
    start(book, taskOf("a", 0), attempt);
    end(book, taskOf("a", 0), attempt, EndKind::Failed);
  }
  BOOST_TEST((stateOf(book, "a") == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(StepsWaitForEarlierSteps) {
  StepSpec second = sampleStep(1);
  second.After = {0};
  JobStateMachine book = sampleBook({sampleWorker("w1")},
                                    {sampleJob("a", {sampleStep(2), second})});
  const auto isReady = [&] {
    return JobStateMachine::isReady(*book.find(JobId("a")), 0, 1);
  };
  start(book, taskOf("a", 0), 1);
  end(book, taskOf("a", 0), 1, EndKind::Done);
  BOOST_TEST(!isReady());
  start(book, taskOf("a", 1), 1);
  end(book, taskOf("a", 1), 1, EndKind::Done);
  BOOST_TEST(isReady());
  BOOST_TEST((stateOf(book, "a") == JobState::Running));
  start(book, taskOf("a", 0, 1), 1);
  end(book, taskOf("a", 0, 1), 1, EndKind::Done);
  BOOST_TEST((stateOf(book, "a") == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(TaskThatIsDoneOrRunningDoesNotStartAgain) {
  JobStateMachine book = sampleBook({sampleWorker("w1"), sampleWorker("w2")},
                                    {sampleJob("a", {sampleStep(2)})});
  start(book, taskOf("a", 0), 1);
  start(book, taskOf("a", 0), 2, "w2");
  BOOST_TEST(book.isLive(taskOf("a", 0), 1));
  end(book, taskOf("a", 0), 1, EndKind::Done);
  start(book, taskOf("a", 0), 2, "w2");
  BOOST_TEST(!book.isLive(taskOf("a", 0), 2));
  BOOST_TEST(book.loads().empty());
}

BOOST_AUTO_TEST_CASE(AttemptNumbersRise) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  start(book, taskOf("a", 0), 3);
  end(book, taskOf("a", 0), 3, EndKind::Lost);
  start(book, taskOf("a", 0), 3);
  BOOST_TEST(!book.isLive(taskOf("a", 0), 3));
  start(book, taskOf("a", 0), 4);
  BOOST_TEST(book.isLive(taskOf("a", 0), 4));
}

BOOST_AUTO_TEST_CASE(OnlyFailedEndsCountAsAttempts) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  uint32_t attempt = 0;
  for (const EndKind how :
       {EndKind::Lost, EndKind::Stopped, EndKind::LeaseExpired, EndKind::Failed,
        EndKind::Lost}) {
    start(book, taskOf("a", 0), ++attempt);
    end(book, taskOf("a", 0), attempt, how);
    BOOST_TEST((stateOf(book, "a") == JobState::Running));
  }
  start(book, taskOf("a", 0), ++attempt);
  end(book, taskOf("a", 0), attempt, EndKind::Failed);
  BOOST_TEST((stateOf(book, "a") == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(RepeatedEndCountsOnce) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  start(book, taskOf("a", 0), 1);
  end(book, taskOf("a", 0), 1, EndKind::Failed);
  end(book, taskOf("a", 0), 1, EndKind::Failed);
  BOOST_TEST((stateOf(book, "a") == JobState::Running));
  BOOST_TEST(book.findTask(taskOf("a", 0))->Failures == 1U);
}

BOOST_AUTO_TEST_CASE(
    OneDoneMemberCompletesTheGangAndLiveMembersKeepTheirResources) {
  StepSpec gang = sampleStep(2);
  gang.IsGang = true;
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {gang})});
  start(book, taskOf("a", 0), 1);
  start(book, taskOf("a", 1), 1);
  end(book, taskOf("a", 0), 1, EndKind::Done);
  BOOST_TEST((stateOf(book, "a") == JobState::Completed));
  BOOST_TEST(book.loadOf(WorkerId("w1")).Used.MilliCpu == 1000);
  end(book, taskOf("a", 1), 1, EndKind::Done);
  BOOST_TEST(book.loads().empty());
}

BOOST_AUTO_TEST_CASE(GangFailsOnceForEachAttempt) {
  StepSpec gang = sampleStep(2);
  gang.IsGang = true;
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {gang})});
  for (const uint32_t attempt : {1U, 2U}) {
    BOOST_TEST((stateOf(book, "a") != JobState::Failed));
    start(book, taskOf("a", 0), attempt);
    start(book, taskOf("a", 1), attempt);
    end(book, taskOf("a", 0), attempt, EndKind::Failed);
    end(book, taskOf("a", 1), attempt, EndKind::Failed);
  }
  BOOST_TEST((stateOf(book, "a") == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(CancelledJobUsesResourcesUntilItsAttemptsHaveEnded) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(2)})});
  start(book, taskOf("a", 0), 1);
  book.apply(JobCancelled{JobId("a")});
  start(book, taskOf("a", 1), 1);
  BOOST_TEST(book.usedBy(testing::SampleTeam).MilliCpu == 1000);
  book.apply(JobsForgotten{{JobId("a")}});
  BOOST_TEST(book.find(JobId("a")) != nullptr);
  end(book, taskOf("a", 0), 1, EndKind::Stopped);
  BOOST_TEST(book.usedBy(testing::SampleTeam).MilliCpu == 0);
  BOOST_TEST((stateOf(book, "a") == JobState::Cancelled));
}

// Guards against a job that runs although it was cancelled, since its
// submission and its cancellation were stored at the same time (review/11).
BOOST_AUTO_TEST_CASE(WithdrawnJobDoesNotRunInEitherOrder) {
  const JobWithdrawn withdrawn{JobId("a"), {testing::SampleTeam, "key-a"}};
  const JobWithdrawn byOther{JobId("a"), {TeamId("other"), "key-b"}};
  JobStateMachine later =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  later.apply(byOther);
  BOOST_TEST((stateOf(later, "a") == JobState::Queued));
  later.apply(withdrawn);
  BOOST_TEST((stateOf(later, "a") == JobState::Cancelled));
  BOOST_TEST(later.waiting().empty());
  JobStateMachine book = sampleBook({sampleWorker("w1")}, {});
  book.apply(byOther);
  book.apply(withdrawn);
  const JobSnapshot saved = book.capture();
  for (JobStateMachine earlier : {book, JobStateMachine::restore(saved)}) {
    earlier.apply(JobAccepted{sampleJob("a", {sampleStep(1)}), Instant()});
    BOOST_TEST(earlier.find(JobId("a")) == nullptr);
    BOOST_TEST(earlier.waiting().empty());
    // After the retention period the id may be used.
    earlier.apply(JobsForgotten{{JobId("a")}});
    earlier.apply(JobAccepted{sampleJob("a", {sampleStep(1)}), Instant()});
    BOOST_TEST(earlier.find(JobId("a")) != nullptr);
  }
}

// Guards against a withdrawal that is ignored once its team has another name.
BOOST_AUTO_TEST_CASE(WithdrawalFollowsATeamThatIsRenamed) {
  JobStateMachine book = sampleBook({sampleWorker("w1")}, {});
  book.apply(JobWithdrawn{JobId("a"), {testing::SampleTeam, "key-a"}});
  Configuration config = testing::sampleConfiguration(2);
  config.Teams[0].Id = TeamId("renamed");
  book.apply(ConfigurationPut{config});
  JobSpec job = sampleJob("a", {sampleStep(1)});
  job.Team = TeamId("renamed");
  book.apply(JobAccepted{job, Instant()});
  BOOST_TEST(book.find(JobId("a")) == nullptr);
}

BOOST_AUTO_TEST_CASE(EndedJobStaysAsItEnded) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  start(book, taskOf("a", 0), 1);
  end(book, taskOf("a", 0), 1, EndKind::Done);
  book.apply(JobCancelled{JobId("a")});
  BOOST_TEST((stateOf(book, "a") == JobState::Completed));
}

BOOST_AUTO_TEST_CASE(LostWorkerEndsItsAttemptsAndKeepsTheirCheckpoints) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)})});
  start(book, taskOf("a", 0), 1);
  end(book, taskOf("a", 0), 1, EndKind::Stopped, "saved");
  start(book, taskOf("a", 0), 2);
  book.apply(WorkerGone{WorkerId("w1"), Incarnation{1}});
  BOOST_TEST(!book.isLive(taskOf("a", 0), 2));
  BOOST_TEST(book.findTask(taskOf("a", 0))->Checkpoint == "saved");
  BOOST_TEST(book.findWorker(WorkerId("w1")) == nullptr);
}

BOOST_AUTO_TEST_CASE(EarlierIncarnationOfAWorkerIsIgnored) {
  Worker later = sampleWorker("w1");
  later.WorkerIncarnation = Incarnation{5};
  JobStateMachine book = sampleBook({later}, {});
  book.apply(WorkerChanged{sampleWorker("w1")});
  BOOST_TEST(book.findWorker(WorkerId("w1"))->WorkerIncarnation.Value == 5U);
  book.apply(WorkerGone{WorkerId("w1"), Incarnation{1}});
  BOOST_TEST(book.findWorker(WorkerId("w1")) != nullptr);
}

BOOST_AUTO_TEST_CASE(LateAnnouncementDoesNotEndADrain) {
  Worker draining = sampleWorker("w1");
  draining.IsDraining = true;
  JobStateMachine book = sampleBook({draining}, {});
  book.apply(WorkerChanged{sampleWorker("w1")});
  BOOST_TEST(book.findWorker(WorkerId("w1"))->IsDraining);
  Worker restarted = sampleWorker("w1");
  restarted.WorkerIncarnation = Incarnation{2};
  book.apply(WorkerChanged{restarted});
  BOOST_TEST(!book.findWorker(WorkerId("w1"))->IsDraining);
}

// An announcement that was delayed on its way must not bring back a worker that
// has left, also not after a restart from a snapshot.
BOOST_AUTO_TEST_CASE(LateAnnouncementDoesNotBringBackADepartedWorker) {
  Worker draining = sampleWorker("w1");
  draining.IsDraining = true;
  JobStateMachine before = sampleBook({draining}, {});
  before.apply(WorkerGone{draining.Id, draining.WorkerIncarnation});
  JobStateMachine book = JobStateMachine::restore(before.capture());
  BOOST_TEST(book.hasDeparted(draining.Id, draining.WorkerIncarnation));
  book.apply(WorkerChanged{sampleWorker("w1")});
  BOOST_TEST((book.findWorker(draining.Id) == nullptr));
  Worker restarted = sampleWorker("w1");
  restarted.WorkerIncarnation = Incarnation{2};
  book.apply(WorkerChanged{restarted});
  BOOST_REQUIRE((book.findWorker(draining.Id) != nullptr));
  BOOST_TEST(!book.findWorker(draining.Id)->IsDraining);
}

// A worker that was silent for so long that it was removed may come back.
BOOST_AUTO_TEST_CASE(SilentWorkerThatWasRemovedMayComeBack) {
  JobStateMachine book = sampleBook({sampleWorker("w1")}, {});
  book.apply(WorkerGone{WorkerId("w1"), Incarnation{1}});
  book.apply(WorkerChanged{sampleWorker("w1")});
  BOOST_TEST((book.findWorker(WorkerId("w1")) != nullptr));
}

BOOST_AUTO_TEST_CASE(HighestConfigurationIsInForce) {
  JobStateMachine book = sampleBook({}, {});
  book.apply(ConfigurationPut{testing::sampleConfiguration(9)});
  Configuration older = testing::sampleConfiguration(8);
  older.Queues.clear();
  book.apply(ConfigurationPut{older});
  Configuration same = testing::sampleConfiguration(9);
  same.Document = "other content";
  book.apply(ConfigurationPut{same});
  BOOST_TEST(book.configuration().Version == 9U);
  BOOST_TEST(book.configuration().Queues.size() == 1U);
  BOOST_TEST(book.configuration().Document.empty());
}

BOOST_AUTO_TEST_CASE(PendingCountsJobsOfWhichNoTaskHasStarted) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1)}),
                                        sampleJob("b", {sampleStep(1)})});
  BOOST_TEST(book.pending(testing::SampleQueue) == 2U);
  start(book, taskOf("a", 0), 1);
  BOOST_TEST(book.pending(testing::SampleQueue) == 1U);
  book.apply(JobCancelled{JobId("b")});
  BOOST_TEST(book.pending(testing::SampleQueue) == 0U);
}

BOOST_AUTO_TEST_CASE(RestoredBookIsTheSame) {
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(3)}),
                                        sampleJob("b", {sampleStep(1)})});
  start(book, taskOf("a", 0), 1);
  start(book, taskOf("b", 0), 1);
  end(book, taskOf("b", 0), 1, EndKind::Done);
  const JobStateMachine copy = JobStateMachine::restore(book.capture());
  BOOST_TEST((copy.jobs() == book.jobs()));
  BOOST_TEST((copy.openJobs() == book.openJobs()));
  BOOST_TEST((copy.workers() == book.workers()));
  BOOST_TEST(
      (copy.loadOf(WorkerId("w1")).Used == book.loadOf(WorkerId("w1")).Used));
  BOOST_TEST(
      (copy.usedBy(testing::SampleTeam) == book.usedBy(testing::SampleTeam)));
}

std::set<StepKey> waitingKeys(const JobStateMachine &book) {
  std::set<StepKey> keys;
  for (const WaitingStep &step : book.waiting().ordered())
    keys.insert(step.Key);
  return keys;
}

BOOST_AUTO_TEST_CASE(WaitingStepsFollowStartsEndsAndConfigurations) {
  StepSpec second = sampleStep(1);
  second.After = {0};
  JobStateMachine book =
      sampleBook({sampleWorker("w1")}, {sampleJob("a", {sampleStep(1), second}),
                                        sampleJob("b", {sampleStep(1)})});
  const StepKey first{JobId("a"), 0, 0};
  const StepKey later{JobId("a"), 0, 1};
  const StepKey other{JobId("b"), 0, 0};
  BOOST_TEST((waitingKeys(book) == std::set{first, other}));
  book.apply(AttemptStarted{taskOf("a", 0), 1, WorkerId("w1")});
  BOOST_TEST((waitingKeys(book) == std::set{other}));
  book.apply(AttemptEnded{taskOf("a", 0), 1, EndKind::Lost, {}});
  BOOST_TEST((waitingKeys(book) == std::set{first, other}));
  book.apply(AttemptStarted{taskOf("a", 0), 2, WorkerId("w1")});
  book.apply(AttemptEnded{taskOf("a", 0), 2, EndKind::Done, {}});
  BOOST_TEST((waitingKeys(book) == std::set{later, other}));
  BOOST_TEST((waitingKeys(JobStateMachine::restore(book.capture())) ==
              std::set{later, other}));
  Configuration config = testing::sampleConfiguration(2);
  config.Queues[0].Priority = 3;
  book.apply(ConfigurationPut{config});
  BOOST_TEST(book.waiting().ordered().begin()->Priority == 3);
  book.apply(JobCancelled{JobId("b")});
  BOOST_TEST((waitingKeys(book) == std::set{later}));
  config.Version = 3;
  config.Queues.clear();
  book.apply(ConfigurationPut{config});
  BOOST_TEST((waitingKeys(book) == std::set{later}));
  BOOST_TEST(book.waiting().ordered().begin()->Priority == 3);
}

// A job a, handed in at the place of the sample queue, whose first step is done
// and whose second waits.
JobStateMachine bookWithHalfAJob() {
  StepSpec second = sampleStep(1);
  second.After = {0};
  JobStateMachine book = sampleBook({sampleWorker("w1")}, {});
  book.apply(JobAcceptedAt{{sampleJob("a", {sampleStep(1), second}), Instant()},
                           placeOf(testing::sampleConfiguration().Queues[0])});
  start(book, taskOf("a", 0), 1);
  end(book, taskOf("a", 0), 1, EndKind::Done);
  return book;
}

// Guards against an accepted job that neither goes on nor is found once its
// queue has another name (review/7).
BOOST_AUTO_TEST_CASE(JobStaysWithThePlaceWhereItWasHandedIn) {
  JobStateMachine book = bookWithHalfAJob();
  Configuration config = testing::sampleConfiguration(2);
  config.Queues[0].Id = QueueId("other");
  config.Queues[0].Priority = 3;
  book.apply(ConfigurationPut{config});
  for (const JobStateMachine &held :
       {book, JobStateMachine::restore(book.capture())}) {
    const Job &job = *held.find(JobId("a"));
    BOOST_TEST((job.Place == placeOf(config.Queues[0])));
    BOOST_REQUIRE(held.queueOf(job) != nullptr);
    BOOST_TEST((held.queueOf(job)->Id == QueueId("other")));
    BOOST_TEST((waitingKeys(held) == std::set{StepKey{JobId("a"), 0, 1}}));
    BOOST_TEST(held.waiting().ordered().begin()->Priority == 3);
  }
}

// Guards against the same for two queues that swap their names.
BOOST_AUTO_TEST_CASE(JobsOfQueuesThatSwapNamesKeepTheirPlaces) {
  JobStateMachine book = bookWithHalfAJob();
  Configuration config = testing::sampleConfiguration(2);
  config.Queues.push_back(config.Queues[0]);
  config.Queues[1].Id = QueueId("other");
  config.Queues[1].PathPrefix = "/other/";
  book.apply(ConfigurationPut{config});
  config.Version = 3;
  std::swap(config.Queues[0].Id, config.Queues[1].Id);
  book.apply(ConfigurationPut{config});
  const Job &job = *book.find(JobId("a"));
  BOOST_TEST(job.Place.PathPrefix == "/plans/");
  BOOST_TEST((book.queueOf(job)->Id == QueueId("other")));
}

// Guards against an accepted job that waits for as long as its queue is out of
// the configuration.
BOOST_AUTO_TEST_CASE(JobGoesOnWithTheTermsOfARemovedQueue) {
  JobStateMachine book = bookWithHalfAJob();
  Configuration without = testing::sampleConfiguration(2);
  without.Queues.clear();
  book.apply(ConfigurationPut{without});
  without.Version = 3;
  book.apply(ConfigurationPut{without});
  for (const JobStateMachine &held :
       {book, JobStateMachine::restore(book.capture())}) {
    const Queue *queue = held.queueOf(*held.find(JobId("a")));
    BOOST_REQUIRE(queue != nullptr);
    BOOST_TEST((*queue == testing::sampleConfiguration().Queues[0]));
    BOOST_TEST((waitingKeys(held) == std::set{StepKey{JobId("a"), 0, 1}}));
  }
  // The terms are kept for as long as a job needs them.
  book.apply(JobCancelled{JobId("a")});
  without.Version = 4;
  book.apply(ConfigurationPut{without});
  BOOST_TEST(book.capture().Retired.empty());
}

// Guards against a job that was checked against one configuration and stored
// after the next, which no longer has its queue.
BOOST_AUTO_TEST_CASE(JobStoredAfterItsQueueWasRenamedOrRemovedGoesOn) {
  for (const bool isRemoved : {false, true}) {
    JobStateMachine book = sampleBook({sampleWorker("w1")}, {});
    Configuration config = testing::sampleConfiguration(2);
    config.Queues[0].Id = QueueId("other");
    if (isRemoved)
      config.Queues.clear();
    book.apply(ConfigurationPut{config});
    book.apply(
        JobAcceptedAt{{sampleJob("a", {sampleStep(1)}), Instant()},
                      placeOf(testing::sampleConfiguration().Queues[0])});
    BOOST_TEST((waitingKeys(book) == std::set{StepKey{JobId("a"), 0, 0}}));
    BOOST_TEST(book.find(JobId("a"))->MaxAttempts == 2U);
  }
}

BOOST_AUTO_TEST_CASE(JobFollowsAQueueThatMoves) {
  JobStateMachine book = sampleBook(
      {}, {sampleJob("a", {sampleStep(1)}), sampleJob("b", {sampleStep(1)})});
  Configuration config = testing::sampleConfiguration(2);
  config.Queues[0].PathPrefix = "/moved/";
  book.apply(ConfigurationPut{config});
  BOOST_TEST(book.find(JobId("a"))->Place.PathPrefix == "/moved/");
  BOOST_TEST(book.pending(testing::SampleQueue) == 2U);
}

// Guards against a job that its caller no longer finds, and that its team's
// maximum no longer counts, once the team has another name.
BOOST_AUTO_TEST_CASE(JobFollowsATeamThatIsRenamed) {
  JobStateMachine book = bookWithHalfAJob();
  start(book, taskOf("a", 0, 1), 1);
  Configuration config = testing::sampleConfiguration(2);
  config.Teams[0].Id = TeamId("other");
  config.Teams[0].Keys = {"key-b", "key-a"};
  book.apply(ConfigurationPut{config});
  BOOST_TEST((book.find(JobId("a"))->Spec.Team == TeamId("other")));
  BOOST_TEST(book.usedBy(TeamId("other")).MilliCpu == 1000);
  BOOST_TEST(book.usedBy(testing::SampleTeam).MilliCpu == 0);
  end(book, taskOf("a", 0, 1), 1, EndKind::Done);
  BOOST_TEST(book.usedBy(TeamId("other")).MilliCpu == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::jobs
