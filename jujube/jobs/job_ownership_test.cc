// Who owns an accepted job, and where it is reached, across changes of the
// configuration.
#include <boost/test/unit_test.hpp>

#include "jujube/jobs/job_state_machine.h"
#include "testing/job_samples.h"

namespace jujube::jobs {
namespace {

using testing::sampleBook;
using testing::sampleConfiguration;
using testing::sampleJob;
using testing::sampleStep;
using testing::sampleWorker;
using testing::taskOf;

const TeamId A("a");
const TeamId B("b");

Configuration configOf(uint64_t version, std::vector<Team> teams) {
  Configuration config = sampleConfiguration(version);
  config.Teams = std::move(teams);
  return config;
}

Team teamOf(const TeamId &id, std::vector<std::string> keys) {
  return {id, std::move(keys), 10, {}};
}

JobSubmitted submission(const std::string &id, const TeamId &team,
                        const std::string &key) {
  JobSpec spec = sampleJob(id, {sampleStep(2)});
  spec.Team = team;
  return {{spec, Instant::fromMillis(1000)},
          {"a.example", "/plans/", key},
          placeOf(sampleConfiguration().Queues[0])};
}

// Team a has key k1, team b has k2 and k3. Each has a job with a running task:
// job 1 was submitted with k1, job 2 with k2.
JobStateMachine bookOfTwoTeams() {
  JobStateMachine book = sampleBook({sampleWorker("w1")}, {});
  book.apply(ConfigurationPut{
      configOf(2, {teamOf(A, {"k1"}), teamOf(B, {"k2", "k3"})})});
  book.apply(submission("1", A, "k1"));
  book.apply(submission("2", B, "k2"));
  for (const char *job : {"1", "2"})
    book.apply(AttemptStartedAt{{taskOf(job, 0), 1, WorkerId("w1")},
                                Instant::fromMillis(1000)});
  return book;
}

const Job &jobOf(const JobStateMachine &book, const char *id) {
  return *book.find(JobId(id));
}

Queue queueAt(const std::string &id, const std::string &prefix) {
  Queue queue = sampleConfiguration().Queues[0];
  queue.Id = QueueId(id);
  queue.PathPrefix = prefix;
  return queue;
}

// Stores the next version of the configuration, with these queues.
void storeQueues(JobStateMachine &book, std::vector<Queue> queues) {
  Configuration config = book.configuration();
  ++config.Version;
  config.Queues = std::move(queues);
  book.apply(ConfigurationPut{config});
}

QueuePlace placeAt(const std::string &prefix) { return {"a.example", prefix}; }

// True if a caller who sends this path reaches the job.
bool isFoundAt(const JobStateMachine &book, const std::string &path,
               const char *job = "1") {
  const Queue *queue = findQueue(book.configuration(), "a.example", path);
  return queue != nullptr &&
         isReachedBy(jobOf(book, job), {"a.example", path, "k1"},
                     placeOf(*queue));
}

// The state itself, and that of a member that starts from its snapshot.
std::vector<JobStateMachine> withRestored(const JobStateMachine &book) {
  return {book, JobStateMachine::restore(book.capture())};
}

BOOST_AUTO_TEST_SUITE(JobOwnershipTest)

// Guards against jobs that no key reaches any more once their team is merged
// into another one (review/12).
BOOST_AUTO_TEST_CASE(JobsOfATeamThatIsMergedBelongToTheOther) {
  JobStateMachine book = bookOfTwoTeams();
  book.apply(ConfigurationPut{configOf(3, {teamOf(A, {"k1", "k2", "k3"})})});
  for (const JobStateMachine &held : withRestored(book)) {
    BOOST_TEST((jobOf(held, "2").Spec.Team == A));
    BOOST_TEST(isOwnedBy(jobOf(held, "2"), {A, "k2"}));
    BOOST_TEST(held.usedBy(A).MilliCpu == 2000);
    BOOST_TEST(held.usedByTeams().size() == 1U);
  }
  // The merged team is counted from then on.
  book.apply(AttemptEnded{taskOf("2", 0), 1, EndKind::Done, {}});
  BOOST_TEST(book.usedBy(A).MilliCpu == 1000);
}

// Guards against the same when the teams are divided again, also if the key of
// the submission has been withdrawn meanwhile.
BOOST_AUTO_TEST_CASE(JobsFollowTheirKeysWhenATeamIsDivided) {
  for (const bool isKeyWithdrawn : {false, true}) {
    JobStateMachine book = bookOfTwoTeams();
    const std::vector<std::string> keys =
        isKeyWithdrawn ? std::vector<std::string>{"k3"}
                       : std::vector<std::string>{"k2", "k3"};
    book.apply(
        ConfigurationPut{configOf(3, {teamOf(A, {"k1"}), teamOf(B, keys)})});
    std::vector<std::string> all = {"k1"};
    all.insert(all.end(), keys.begin(), keys.end());
    book.apply(ConfigurationPut{configOf(4, {teamOf(A, all)})});
    for (JobStateMachine &held : withRestored(book)) {
      held.apply(ConfigurationPut{
          configOf(5, {teamOf(A, {"k1"}), teamOf(TeamId("c"), keys)})});
      BOOST_TEST((jobOf(held, "2").Spec.Team == TeamId("c")));
      BOOST_TEST(isOwnedBy(jobOf(held, "2"), {TeamId("c"), "k3"}));
      BOOST_TEST(!isOwnedBy(jobOf(held, "2"), {A, "k1"}));
      BOOST_TEST(isOwnedBy(jobOf(held, "1"), {A, "k1"}));
      BOOST_TEST(held.usedBy(A).MilliCpu == 1000);
      BOOST_TEST(held.usedBy(TeamId("c")).MilliCpu == 1000);
    }
  }
}

// Guards against jobs that change hands when two teams exchange their ids.
BOOST_AUTO_TEST_CASE(JobsOfTeamsThatExchangeTheirIdsKeepTheirKeys) {
  JobStateMachine book = bookOfTwoTeams();
  book.apply(JobCancelled{JobId("2")});
  book.apply(AttemptEnded{taskOf("2", 0), 1, EndKind::Stopped, {}});
  book.apply(ConfigurationPut{
      configOf(3, {teamOf(A, {"k2", "k3"}), teamOf(B, {"k1"})})});
  for (const JobStateMachine &held : withRestored(book)) {
    BOOST_TEST(isOwnedBy(jobOf(held, "1"), {B, "k1"}));
    BOOST_TEST(!isOwnedBy(jobOf(held, "1"), {A, "k2"}));
    // An ended job as well.
    BOOST_TEST(isOwnedBy(jobOf(held, "2"), {A, "k3"}));
    BOOST_TEST(held.usedBy(B).MilliCpu == 1000);
    BOOST_TEST(held.usedBy(A).MilliCpu == 0);
  }
}

// Guards against jobs that are gone for good after a version that leaves their
// team out.
BOOST_AUTO_TEST_CASE(JobsOfATeamThatReturnsBelongToItsKeys) {
  JobStateMachine book = bookOfTwoTeams();
  book.apply(ConfigurationPut{configOf(3, {teamOf(A, {"k1"})})});
  for (JobStateMachine &held : withRestored(book)) {
    held.apply(ConfigurationPut{configOf(4, {teamOf(A, {"k1"})})});
    held.apply(ConfigurationPut{
        configOf(5, {teamOf(A, {"k1"}), teamOf(TeamId("c"), {"k3"})})});
    BOOST_TEST(isOwnedBy(jobOf(held, "2"), {TeamId("c"), "k3"}));
    BOOST_TEST(held.usedBy(TeamId("c")).MilliCpu == 1000);
    BOOST_TEST(held.capture().RetiredTeams.empty());
  }
}

// Guards against past use that stays with an id which another team has now.
BOOST_AUTO_TEST_CASE(PastUseFollowsTheKeys) {
  JobStateMachine book = bookOfTwoTeams();
  book.apply(AttemptEndedAt{{taskOf("1", 0), 1, EndKind::Done, {}},
                            Instant::fromMillis(3000)});
  BOOST_TEST(book.usage().pastUse(A).MilliCpu == 2'000'000);
  book.apply(ConfigurationPut{
      configOf(3, {teamOf(A, {"k2", "k3"}), teamOf(B, {"k1"})})});
  BOOST_TEST(book.usage().pastUse(B).MilliCpu == 2'000'000);
  // Job 2 goes on, for team a now.
  book.apply(AttemptEndedAt{{taskOf("2", 0), 1, EndKind::Done, {}},
                            Instant::fromMillis(4000)});
  BOOST_TEST(book.usage().pastUse(A).MilliCpu == 3'000'000);
}

// Guards against jobs that are answered as gone at the path where they were
// handed in, once that path is served again (review/13).
BOOST_AUTO_TEST_CASE(JobReturnsToThePathWhereItWasHandedIn) {
  JobStateMachine book = bookOfTwoTeams();
  storeQueues(book, {queueAt("plans", "/x/")});
  BOOST_TEST(isFoundAt(book, "/x/"));
  for (JobStateMachine &held : withRestored(book)) {
    storeQueues(held, {queueAt("plans", "/x/"), queueAt("old", "/plans/")});
    BOOST_TEST(isFoundAt(held, "/plans/"));
    // Callers who were told of the other path find it, too.
    BOOST_TEST(isFoundAt(held, "/x/"));
    BOOST_TEST((jobOf(held, "1").Place == placeAt("/plans/")));
    storeQueues(held, {queueAt("plans", "/y/")});
    BOOST_TEST(isFoundAt(held, "/y/"));
    BOOST_TEST((jobOf(held, "1").Place == placeAt("/y/")));
    storeQueues(held, {queueAt("old", "/plans/")});
    BOOST_TEST(isFoundAt(held, "/plans/"));
    BOOST_TEST((jobOf(held, "1").Place == placeAt("/plans/")));
  }
}

// Guards against jobs that wait at one path and are counted at another.
BOOST_AUTO_TEST_CASE(PendingJobsCountAtThePathWhereTheyWereHandedIn) {
  JobStateMachine book = bookOfTwoTeams();
  book.apply(submission("3", A, "k1"));
  storeQueues(book, {queueAt("plans", "/x/")});
  BOOST_TEST(book.pending(QueueId("plans")) == 1U);
  storeQueues(book, {queueAt("plans", "/x/"), queueAt("old", "/plans/")});
  for (const JobStateMachine &held : withRestored(book)) {
    BOOST_TEST(held.pending(QueueId("old")) == 1U);
    BOOST_TEST(held.pending(QueueId("plans")) == 0U);
  }
}

// Guards against a task on a worker of a pool that its queue was never sent to.
BOOST_AUTO_TEST_CASE(JobStaysWithItsPoolIfItsPathIsServedByAnother) {
  JobStateMachine book = bookOfTwoTeams();
  storeQueues(book, {queueAt("plans", "/x/")});
  Queue other = queueAt("old", "/plans/");
  other.Pool = PoolId("other");
  storeQueues(book, {queueAt("plans", "/x/"), other});
  for (const JobStateMachine &held : withRestored(book)) {
    BOOST_TEST((held.queueOf(jobOf(held, "1"))->Pool == testing::SamplePool));
    BOOST_TEST(isFoundAt(held, "/plans/"));
  }
}

// Guards against a job that is answered as gone because its caller's path
// selects a queue with a longer prefix now, or one with a shorter prefix.
BOOST_AUTO_TEST_CASE(JobIsFoundWhenItsPathSelectsAnotherQueue) {
  JobStateMachine book = bookOfTwoTeams();
  JobSubmitted deep = submission("3", A, "k1");
  deep.By.Path = "/plans/deep/";
  book.apply(deep);
  storeQueues(book,
              {queueAt("plans", "/plans/"), queueAt("deep", "/plans/deep/")});
  for (const JobStateMachine &held : withRestored(book)) {
    BOOST_TEST(isFoundAt(held, "/plans/deep/", "3"));
    BOOST_TEST(!isFoundAt(held, "/plans/deep/", "1"));
  }
  JobSubmitted later = submission("4", A, "k1");
  later.By.Path = "/plans/deep/";
  later.Place = placeAt("/plans/deep/");
  book.apply(later);
  storeQueues(book, {queueAt("plans", "/plans/")});
  for (const JobStateMachine &held : withRestored(book))
    for (const char *job : {"3", "4"})
      BOOST_TEST(isFoundAt(held, "/plans/deep/", job));
}

// Guards against a job whose queue moved between its admission and its storage.
BOOST_AUTO_TEST_CASE(JobStoredAfterItsQueueHasMovedFollowsIt) {
  JobStateMachine book = bookOfTwoTeams();
  storeQueues(book, {queueAt("plans", "/x/")});
  book.apply(submission("3", A, "k1"));
  for (const JobStateMachine &held : withRestored(book)) {
    BOOST_TEST(isFoundAt(held, "/x/", "3"));
    BOOST_TEST(held.pending(QueueId("plans")) == 1U);
  }
}

// Guards against a job that nobody finds, and that no maximum counts, because
// its team got another id between its admission and its storage (review/14).
BOOST_AUTO_TEST_CASE(JobStoredAfterItsTeamWasRenamedBelongsToTheTeam) {
  for (const bool isKeyWithdrawn : {false, true}) {
    JobStateMachine book = bookOfTwoTeams();
    const std::vector<std::string> keys =
        isKeyWithdrawn ? std::vector<std::string>{"k3"}
                       : std::vector<std::string>{"k2", "k3"};
    book.apply(ConfigurationPut{
        configOf(3, {teamOf(A, {"k1"}), teamOf(TeamId("c"), keys)})});
    for (JobStateMachine &held : withRestored(book)) {
      held.apply(submission("3", B, "k2"));
      BOOST_TEST(isOwnedBy(jobOf(held, "3"), {TeamId("c"), "k3"}));
      held.apply(AttemptStarted{taskOf("3", 0), 1, WorkerId("w1")});
      BOOST_TEST(held.usedBy(TeamId("c")).MilliCpu == 2000);
      BOOST_TEST(held.usedBy(B).MilliCpu == 0);
      // The same for a cancellation.
      held.apply(JobWithdrawn{JobId("4"), {B, "k2"}});
      BOOST_TEST(held.withdrawals().contains(JobId("4"), {TeamId("c"), "k3"}));
    }
  }
}

// Guards against a job that never starts because two versions were stored
// between its admission and its storage, of which the first removed its queue.
BOOST_AUTO_TEST_CASE(JobStoredAfterItsQueueWasRemovedTwoVersionsAgoGoesOn) {
  JobStateMachine book = bookOfTwoTeams();
  storeQueues(book, {queueAt("other", "/other/")});
  book.apply(JobCancelled{JobId("1")});
  book.apply(JobCancelled{JobId("2")});
  storeQueues(book, {queueAt("other", "/other/")});
  storeQueues(book, {queueAt("other", "/other/")});
  JobSubmitted late = submission("3", A, "k1");
  late.Terms = sampleConfiguration().Queues[0];
  book.apply(late);
  for (const JobStateMachine &held : withRestored(book)) {
    BOOST_TEST(held.queueOf(jobOf(held, "3")) != nullptr);
    BOOST_TEST(held.waiting().contains({JobId("3"), 0, 0}));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::jobs
