// Loads of several teams over the planner and the job state, without a network:
// what the callers of each team get.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/dispatch/dispatcher.h"
#include "jujube/shares/share_table.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

const TeamId Hot("hot");
const TeamId Calm("calm");
constexpr int64_t Workers = 10;
constexpr int64_t CoresPerWorker = 8;

// A cluster that starts what the planner plans, and ends it when it is due.
class Cluster {
public:
  explicit Cluster(bool usesShares) : UsesShares(usesShares) {
    jobs::Configuration config = sampleConfiguration();
    config.Teams = {{Hot, {"key-hot"}, 10, {}}, {Calm, {"key-calm"}, 10, {}}};
    // Objectives that every job can meet for as long as the test lasts.
    config.Queues[0].LatencyTarget = Duration::minutes(24L * 60);
    Book.apply(jobs::ConfigurationPut{config});
    for (int i = 0; i < Workers; ++i)
      Book.apply(jobs::WorkerChanged{
          sampleWorker(absl::StrCat("w", i), CoresPerWorker * 1000)});
  }

  // Hands in a job of one task of one core that runs for this time.
  void submit(const TeamId &team, Duration span) {
    jobs::JobSpec spec =
        sampleJob(absl::StrCat("j", ++Submitted), {sampleStep(1)});
    spec.Team = team;
    spec.Steps[0].Estimate = span;
    Book.apply(jobs::JobAccepted{spec, Now});
  }

  // Ends what is due, then plans and starts.
  void advance(Duration span) {
    Now = Now + span;
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      const jobs::TaskKey task = Ends.begin()->second;
      Book.apply(jobs::AttemptEndedAt{{task, 1, jobs::EndKind::Done, ""}, Now});
      Ends.erase(Ends.begin());
    }
    std::vector<dispatch::WorkerView> views;
    Resources capacity;
    for (const auto &[id, worker] : Book.workers()) {
      views.push_back({&worker});
      capacity += worker.Capacity;
    }
    std::vector<shares::Contender> contenders;
    for (const TeamId &team : {Hot, Calm})
      contenders.push_back(
          {team, 10, Book.usedBy(team), Book.usage().pastUse(team)});
    const shares::ShareTable table(contenders, capacity);
    dispatch::DispatchHooks hooks = dispatch::defaultHooks();
    if (UsesShares)
      hooks.IsWithinShare = [&table](const jobs::WaitingStep &step) {
        return !step.IsBeyondRate && table.isWithinShare(step.Team);
      };
    const dispatch::DispatchPlan plan =
        planStarts({Book, views, None, Now, Now}, hooks);
    for (const dispatch::PlannedStart &planned : plan.Starts) {
      const jobs::Job &job = *Book.find(planned.Start.Task.Job);
      Waits[job.Spec.Team].push_back(Now - job.AcceptedAt);
      Ends.emplace(Now + job.Spec.Steps[0].Estimate, planned.Start.Task);
      Book.apply(jobs::AttemptStartedAt{planned.Start, Now});
    }
  }

  Duration meanWait(const TeamId &team) {
    Duration sum;
    for (const Duration &it : Waits[team])
      sum = sum + it;
    return Duration::millis(sum.millis() /
                            std::max<int64_t>(Waits[team].size(), 1));
  }
  std::size_t started(const TeamId &team) { return Waits[team].size(); }
  void forgetWaits() { Waits.clear(); }
  int64_t coresOf(const TeamId &team) const {
    return Book.usedBy(team).MilliCpu / 1000;
  }

private:
  bool UsesShares;
  jobs::JobStateMachine Book;
  dispatch::Approvals None;
  Instant Now = Instant::fromMillis(1'000'000'000);
  int Submitted = 0;
  std::multimap<Instant, jobs::TaskKey> Ends;
  std::map<TeamId, std::vector<Duration>> Waits;
};

// Load: two teams with their usual work, and then one sends seven times as much
// for a minute. Returns what the other team waits on the mean in that minute.
Duration calmWaitBesideABurst(bool usesShares) {
  Cluster cluster(usesShares);
  constexpr Duration Step = Duration::millis(100);
  constexpr int UsualSteps = 300;
  for (int i = 0; i < UsualSteps + 600; ++i) {
    const bool isBurst = i >= UsualSteps;
    if (i == UsualSteps)
      cluster.forgetWaits();
    // Each team's usual load is 3 jobs a second of 10 s, 30 of 80 cores.
    if (i % 10 < 3) {
      cluster.submit(Calm, Duration::seconds(10));
      for (int k = 0; k < (isBurst ? 7 : 1); ++k)
        cluster.submit(Hot, Duration::seconds(10));
    }
    cluster.advance(Step);
  }
  return cluster.meanWait(Calm);
}

BOOST_AUTO_TEST_SUITE(ShareLoadTest)

BOOST_AUTO_TEST_CASE(OthersDoNotNoticeATeamThatSendsSevenTimesItsUsual) {
  const Duration with = calmWaitBesideABurst(true);
  const Duration without = calmWaitBesideABurst(false);
  BOOST_TEST_MESSAGE("mean wait of the other team with shares "
                     << with.millis() << " ms, without " << without.millis()
                     << " ms");
  BOOST_TEST(with.millis() < 1000);
  BOOST_TEST(without.millis() > 5 * with.millis());
}

// Load: hours of a trace. One team has had the cluster to itself for six hours;
// then both have more work than fits.
BOOST_AUTO_TEST_CASE(TeamThatHasUsedMuchForHoursGivesWay) {
  constexpr Duration Run = Duration::minutes(2);
  constexpr Duration Step = Duration::seconds(5);
  const auto fillFor = [&](Cluster &cluster, Duration span, bool hasCalm) {
    for (Duration t; t < span; t = t + Step) {
      for (int i = 0; i < 4; ++i) {
        cluster.submit(Hot, Run);
        if (hasCalm)
          cluster.submit(Calm, Run);
      }
      cluster.advance(Step);
    }
  };
  Cluster cluster(true);
  fillFor(cluster, Duration::minutes(6L * 60), false);
  cluster.forgetWaits();
  // A team over its share still gets what nobody else wants.
  BOOST_TEST(cluster.coresOf(Hot) == Workers * CoresPerWorker);
  fillFor(cluster, Duration::minutes(30), true);
  const int64_t calm = cluster.coresOf(Calm);
  const int64_t hot = cluster.coresOf(Hot);
  BOOST_TEST_MESSAGE("half an hour later: "
                     << calm << " cores of the team that "
                     << "used nothing, " << hot << " of the other");
  BOOST_TEST(calm > hot);
  // It is not shut out.
  BOOST_TEST(hot >= Workers * CoresPerWorker / 5);
  // Six hours later what was used before has no more weight.
  fillFor(cluster, Duration::minutes(6L * 60), true);
  const int64_t later = cluster.coresOf(Hot);
  BOOST_TEST(later >= Workers * CoresPerWorker * 35 / 100);
  BOOST_TEST(later <= Workers * CoresPerWorker * 65 / 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
