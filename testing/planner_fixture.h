// A planner with two teams and helpers to set up its input, for unit tests.
#ifndef TESTING_PLANNER_FIXTURE_H_
#define TESTING_PLANNER_FIXTURE_H_

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/placement/planner.h"

namespace jujube::placement {

inline constexpr Resources WorkerSize = {16000, 64000, 0};
inline constexpr Resources HalfWorker = {8000, 1000, 0};
inline constexpr Resources Unlimited = {1'000'000, 10'000'000, 100};

// Its workers hold WorkerSize, two to a rack.
class PlannerFixture {
public:
  explicit PlannerFixture(uint32_t workers,
                          PolicyName policy = PolicyName::Waiting)
      : TestedPlanner(make(policy)) {
    TestedPlanner.setTeams(
        {{TeamId("a"), 1, Unlimited}, {TeamId("b"), 1, Unlimited}});
    TestedPlanner.setSlice(TeamId("a"), Unlimited);
    TestedPlanner.setSlice(TeamId("b"), Unlimited);
    for (uint32_t i = 0; i < workers; ++i)
      see(i);
  }

  void see(uint32_t n, uint64_t start = 1, Resources holds = WorkerSize,
           bool isLeaving = false) {
    TestedPlanner.announceWorker({worker(n), Incarnation{start},
                                  RackId(absl::StrCat("r", n / 2)), holds,
                                  isLeaving},
                                 Now);
  }

  static WorkerId worker(uint32_t n) { return WorkerId(absl::StrCat("w", n)); }

  static catalogue::Entry
  entry(const std::string &team,
        catalogue::WorkClass workClass = catalogue::WorkClass::Batch,
        Resources ask = HalfWorker) {
    catalogue::Entry entry;
    entry.Id =
        EntryId(absl::StrCat(team, "-", ask.MilliCpu, "-",
                             nameIn(catalogue::WorkClassNames, workClass)));
    entry.Owner = TeamId(team);
    entry.Class = workClass;
    entry.Demand = ask;
    return entry;
  }

  RequestId submit(const catalogue::Entry &entry, uint32_t tasks = 1,
                   Duration startWithin = Duration()) {
    PendingRequest pending;
    pending.Work.Request = RequestId(absl::StrCat("z.r", Submitted++));
    pending.Work.Team = entry.Owner;
    pending.Work.Entry = entry;
    pending.Work.Tasks = tasks;
    pending.Work.StartWithin = startWithin;
    pending.AcceptedAt = Now;
    for (uint32_t i = 0; i < tasks; ++i)
      pending.Tasks.push_back(i);
    TestedPlanner.enqueue(pending, Now);
    return pending.Work.Request;
  }

  // Advances the time and plans; keeps the offers in Placed.
  std::vector<Action> plan(Duration wait = Duration::millis(1)) {
    Now = Now + wait;
    std::vector<Action> actions = TestedPlanner.plan(Now);
    for (const Action &action : actions)
      if (const auto *offer = std::get_if<Offer>(&action)) {
        TestedPlanner.attemptStarted(offer->Task, Now);
        Placed.push_back(*offer);
      }
    return actions;
  }

  void end(TaskId task, EndKind kind) {
    std::erase_if(Placed, [&](const Offer &o) { return o.Task == task; });
    TestedPlanner.attemptEnded(task, kind, Now);
    if (kind != EndKind::Finished)
      TestedPlanner.requeue(task, Now);
  }

  bool isPlaced(const RequestId &request) const {
    return std::ranges::any_of(Placed, [&](const Offer &offer) {
      return offer.Task.Request == request;
    });
  }

  Planner TestedPlanner;
  Instant Now;
  std::vector<Offer> Placed;

private:
  static Planner make(PolicyName policy) {
    Options options;
    options.Policy = policy;
    options.SettleTime = Duration();
    return valueOf(Planner::create(options, hooksFor(policy)));
  }

  uint32_t Submitted = 0;
};

// The actions of one type.
template <typename T> std::vector<T> only(const std::vector<Action> &actions) {
  std::vector<T> found;
  for (const Action &action : actions)
    if (const T *match = std::get_if<T>(&action))
      found.push_back(*match);
  return found;
}

} // namespace jujube::placement

#endif // TESTING_PLANNER_FIXTURE_H_
