// Measures placement decisions on one core: a zone of W workers that is nearly
// full of running tasks, in which tasks end and others take their place.
#include <sys/resource.h>

#include <ctime>

#include <algorithm>
#include <iostream>
#include <random>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "jujube/base/settings.h"
#include "jujube/placement/planner.h"

namespace jujube {
namespace {

using catalogue::WorkClass;
using placement::Planner;

constexpr uint32_t TeamCount = 53;
// Entries of a team, by index: a service, three sizes of batch work, a gang and
// urgent batch work.
constexpr uint32_t ServiceEntry = 0;
constexpr uint32_t BatchEntries = 3;
constexpr uint32_t GangEntry = 4;
constexpr uint32_t UrgentEntry = 5;
constexpr uint32_t TasksPerWorker = 22;
constexpr uint32_t WorkersPerRack = 8;
constexpr Resources WorkerSize = {64000, 131072, 0};
// One in so many submissions is a service, is urgent, or is a gang.
constexpr uint32_t ServicePart = 5;
constexpr uint32_t UrgentPart = 11;
constexpr uint32_t GangPart = 64;
constexpr uint32_t GangTasks = 8;
constexpr uint32_t TasksPerRequest = 10;
// Percent of TasksPerWorker that are submitted: all fit, or a queue is left.
constexpr uint32_t UsualLoad = 100;
constexpr uint32_t OverLoad = 200;

int64_t threadNanos() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return int64_t{now.tv_sec} * 1'000'000'000 + now.tv_nsec;
}

catalogue::Entry entryAt(uint32_t team, uint32_t n) {
  catalogue::Entry entry;
  entry.Id = EntryId(absl::StrCat("t", team, "-e", n));
  entry.Owner = TeamId(absl::StrCat("t", team));
  entry.Class = n == ServiceEntry ? WorkClass::Service
                : n == GangEntry  ? WorkClass::Gang
                                  : WorkClass::Batch;
  if (n == UrgentEntry)
    entry.Priority = catalogue::Urgency::Urgent;
  entry.Demand = {1000 + 500 * int64_t{n}, 2000 + 1000 * int64_t{n}, 0};
  entry.CanCheckpoint = n % 2 == 0;
  return entry;
}

class Bench {
public:
  Bench(uint32_t workers, placement::PolicyName policy)
      : Workers(workers), Subject(makePlanner(policy)) {
    std::vector<catalogue::Team> teams;
    const Resources all = WorkerSize * workers;
    for (uint32_t i = 0; i < TeamCount; ++i) {
      teams.push_back({TeamId(absl::StrCat("t", i)), 1 + i % 5, all});
      Subject.setSlice(teams.back().Id, all);
    }
    Subject.setTeams(teams);
    for (uint32_t i = 0; i < workers; ++i)
      Subject.announceWorker({WorkerId(absl::StrCat("w", i)), Incarnation{1},
                              RackId(absl::StrCat("r", i / WorkersPerRack)),
                              WorkerSize, false},
                             Now);
  }

  // Submits `load` percent of the usual number of tasks and places what fits;
  // returns the processor time per placed task in nanoseconds.
  double fill(uint32_t load) {
    const uint32_t tasks = Workers * TasksPerWorker * load / 100;
    for (uint32_t i = 0; i < tasks / TasksPerRequest; ++i)
      submit(TasksPerRequest, nextKind());
    const int64_t before = threadNanos();
    while (planOnce() > 0) {
    }
    return static_cast<double>(threadNanos() - before) /
           static_cast<double>(std::max<std::size_t>(Placed.size(), 1));
  }

  // Ends one running task, submits another and plans, `rounds` times; returns
  // the processor time of each decision in nanoseconds.
  std::vector<int64_t> churn(uint32_t rounds) {
    std::vector<int64_t> nanos;
    nanos.reserve(rounds);
    for (uint32_t i = 0; i < rounds; ++i) {
      Now = Now + Duration::millis(1);
      // A gang comes in place of as many single tasks.
      if (i % GangPart == 0)
        submit(GangTasks, GangEntry);
      else if (i % GangPart >= GangTasks)
        submit(1, i % UrgentPart == 0 ? UrgentEntry : nextKind());
      const TaskId ended = Placed[Random() % Placed.size()];
      remove(ended);
      endStopped();
      const int64_t before = threadNanos();
      Subject.attemptEnded(ended, placement::EndKind::Finished, Now);
      planOnce();
      nanos.push_back(threadNanos() - before);
    }
    return nanos;
  }

  std::size_t placed() const { return Placed.size(); }
  uint64_t queued() const { return Subject.status().QueuedTasks; }
  uint64_t offers() const { return Subject.counters().Offers; }

private:
  static Planner makePlanner(placement::PolicyName policy) {
    placement::Options options;
    options.Policy = policy;
    options.SettleTime = Duration();
    return valueOf(Planner::create(options, placement::hooksFor(policy)));
  }

  uint32_t nextKind() const {
    return Submitted % ServicePart == 0 ? ServiceEntry
                                        : 1 + Submitted % BatchEntries;
  }

  void submit(uint32_t tasks, uint32_t kind) {
    const uint32_t team = Submitted % TeamCount;
    fate::Submission work;
    work.Request = RequestId(absl::StrCat("zone.r", Submitted++));
    work.Entry = entryAt(team, kind);
    work.Team = work.Entry.Owner;
    work.Tasks = tasks;
    placement::PendingRequest pending{work, Now, {}};
    for (uint32_t i = 0; i < tasks; ++i)
      pending.Tasks.push_back(i);
    Subject.enqueue(pending, Now);
  }

  std::size_t planOnce() {
    std::size_t offers = 0;
    for (const placement::Action &action : Subject.plan(Now)) {
      if (const auto *stop = std::get_if<placement::StopTask>(&action))
        Stopped.push_back(stop->Task);
      if (const auto *stop = std::get_if<placement::CheckpointTask>(&action))
        Stopped.push_back(stop->Task);
      const auto *offer = std::get_if<placement::Offer>(&action);
      if (!offer)
        continue;
      Positions[offer->Task] = Placed.size();
      Placed.push_back(offer->Task);
      ++offers;
    }
    return offers;
  }

  void remove(const TaskId &task) {
    const std::size_t n = Positions[task];
    Placed[n] = Placed.back();
    Positions[Placed[n]] = n;
    Placed.pop_back();
    Positions.erase(task);
  }

  // Tasks that the last plan stopped end before the next one.
  void endStopped() {
    for (const TaskId &task : std::exchange(Stopped, {})) {
      if (!Positions.contains(task))
        continue;
      remove(task);
      Subject.attemptEnded(task, placement::EndKind::Stopped, Now);
      Subject.requeue(task, Now);
    }
  }

  uint32_t Workers;
  Planner Subject;
  Instant Now;
  std::vector<TaskId> Placed;
  // Index of each task in Placed.
  absl::flat_hash_map<TaskId, std::size_t> Positions;
  std::vector<TaskId> Stopped;
  std::mt19937_64 Random{7};
  uint32_t Submitted = 0;
};

void report(uint32_t workers, placement::PolicyName policy, uint32_t load,
            uint32_t rounds) {
  Bench bench(workers, policy);
  const double fillNanos = bench.fill(load);
  const std::size_t running = bench.placed();
  const uint64_t offersBefore = bench.offers();
  std::vector<int64_t> nanos = bench.churn(rounds);
  double total = 0;
  for (int64_t n : nanos)
    total += static_cast<double>(n);
  std::ranges::sort(nanos);
  const uint64_t offers = bench.offers() - offersBefore;
  std::cout << absl::StrFormat(
      "%-8s load=%u%% workers=%u running=%u queued=%u fill: %.1f us/placement "
      "(%.0f/s) "
      "churn: offers=%u mean=%.1f us p50=%.1f us p99=%.1f us max=%.1f us "
      "(%.0f/s)\n",
      std::string(nameIn(placement::PolicyNameNames, policy)), load, workers,
      running, bench.queued(), fillNanos / 1000, 1e9 / fillNanos, offers,
      total / 1000 / rounds, nanos[nanos.size() / 2] / 1000.0,
      nanos[nanos.size() * 99 / 100] / 1000.0, nanos.back() / 1000.0,
      1e9 * static_cast<double>(offers) / total);
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) {
  using namespace jujube;
  const auto settings = parseCommandLine(
      "placement-bench [flags]",
      {{"workers", SettingKind::Integer, "0",
        "size of the zone; 0 for 50, 500 and 2,900 in turn", false, 0, 100'000},
       {"rounds", SettingKind::Integer, "20000", "decisions that are timed",
        false, 100, 10'000'000}},
      argc, argv);
  if (const int *code = std::get_if<int>(&settings))
    return *code;
  const auto rounds =
      static_cast<uint32_t>(std::get<Settings>(settings).integer("rounds"));
  const auto size =
      static_cast<uint32_t>(std::get<Settings>(settings).integer("workers"));
  const std::vector<uint32_t> sizes =
      size > 0 ? std::vector<uint32_t>{size}
               : std::vector<uint32_t>{50, 500, 2900};
  for (const placement::PolicyName policy :
       {placement::PolicyName::Waiting, placement::PolicyName::Packing})
    for (const uint32_t workers : sizes)
      for (const uint32_t load : {UsualLoad, OverLoad})
        report(workers, policy, load, rounds);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::cout << "largest resident set of the run: " << usage.ru_maxrss / 1024
            << " MiB\n";
  return 0;
}
