// Random versions of the configuration beside submissions: whoever sends what
// the submission had sent reaches the job.
#include <boost/test/unit_test.hpp>
#include <random>

#include "jujube/jobs/job_state_machine.h"
#include "testing/job_samples.h"

namespace jujube::jobs {
namespace {

constexpr uint32_t Seeds = 200;
constexpr int Steps = 40;
const std::vector<std::string> Keys = {"k1", "k2", "k3", "k4"};
const std::vector<std::string> Prefixes = {"/a/", "/a/b/", "/c/"};
const std::vector<std::string> Names = {"n1", "n2", "n3"};

class Run {
public:
  explicit Run(uint32_t seed) : Random(seed) {
    Book.apply(WorkerChanged{testing::sampleWorker("w1", 1'000'000)});
    storeVersion();
  }

  void step() {
    switch (pick(6)) {
    case 0:
    case 1:
      storeVersion();
      break;
    case 2:
      cancelOne();
      break;
    default:
      submit();
      break;
    }
    if (pick(8) == 0)
      Book = JobStateMachine::restore(Book.capture());
  }

  void check() const {
    const Configuration &config = Book.configuration();
    std::map<TeamId, Resources> used;
    for (const auto &[id, job] : Book.jobs()) {
      used[job.Spec.Team] +=
          Resources{1000, 100, 0} * static_cast<int64_t>(job.LiveTasks);
      const Caller &by = Sent.at(id);
      const Team *team = teamOfKey(config, by.Key);
      const Queue *queue = findQueue(config, by.HostName, by.Path);
      if (team == nullptr || queue == nullptr)
        continue;
      BOOST_TEST(isOwnedBy(job, {team->Id, by.Key}));
      BOOST_TEST((job.Spec.Team == team->Id || job.From.Key != by.Key));
      BOOST_TEST(isReachedBy(job, by, placeOf(*queue)));
      BOOST_TEST((isEnded(job.State) || Book.queueOf(job) != nullptr));
    }
    std::erase_if(used,
                  [](const auto &it) { return it.second == Resources(); });
    BOOST_TEST((used == Book.usedByTeams()));
  }

private:
  std::size_t pick(std::size_t n) { return Random() % n; }

  void storeVersion() {
    Configuration config = testing::sampleConfiguration(++Version);
    config.Teams.clear();
    config.Queues.clear();
    std::map<std::string, Team> teams;
    for (const std::string &key : Keys)
      if (pick(4) != 0) {
        const std::string &name = Names[pick(Names.size())];
        teams[name].Id = TeamId(name);
        teams[name].Weight = 10;
        teams[name].Keys.push_back(key);
      }
    for (auto &[name, team] : teams)
      config.Teams.push_back(std::move(team));
    std::vector<std::string> ids = Names;
    std::ranges::shuffle(ids, Random);
    for (std::size_t i = 0; i < Prefixes.size(); ++i)
      if (pick(3) != 0) {
        Queue queue = testing::sampleConfiguration().Queues[0];
        queue.Id = QueueId(ids[i]);
        queue.PathPrefix = Prefixes[i];
        config.Queues.push_back(queue);
      }
    Book.apply(ConfigurationPut{config});
  }

  // Submits a job that the present configuration or, as a leader may not have
  // applied that one yet, an earlier one allows.
  void submit() {
    const Caller by{"a.example", Prefixes[pick(Prefixes.size())],
                    Keys[pick(Keys.size())]};
    const Queue *queue = findQueue(Book.configuration(), by.HostName, by.Path);
    const Team *team = teamOfKey(Book.configuration(), by.Key);
    if (queue == nullptr || team == nullptr)
      return;
    JobSpec spec = testing::sampleJob("j" + std::to_string(Sent.size()),
                                      {testing::sampleStep(2)});
    spec.Team = team->Id;
    spec.Queue = queue->Id;
    JobSubmitted event{
        {spec, Instant::fromMillis(1000)}, by, placeOf(*queue), *queue};
    Sent.emplace(spec.Id, by);
    for (std::size_t n = pick(3); n > 0; --n)
      storeVersion();
    Book.apply(event);
    Book.apply(AttemptStarted{{spec.Id, 0, 0, 0}, 1, WorkerId("w1")});
  }

  void cancelOne() {
    if (Book.openJobs().empty())
      return;
    Book.apply(JobCancelled{*Book.openJobs().begin()});
  }

  std::mt19937 Random;
  uint64_t Version = 0;
  JobStateMachine Book;
  // What the callers sent, by job.
  std::map<JobId, Caller> Sent;
};

BOOST_AUTO_TEST_SUITE(JobOwnershipRandomTest)

// Guards against jobs that are out of reach of their callers after any series
// of versions that rename, merge, divide, move and remove teams and queues.
BOOST_AUTO_TEST_CASE(CallersReachTheirJobsAfterAnySeriesOfVersions) {
  for (uint32_t seed = 1; seed <= Seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Run run(seed);
      for (int i = 0; i < Steps; ++i) {
        run.step();
        run.check();
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::jobs
