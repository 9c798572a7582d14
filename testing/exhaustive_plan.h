// A reference planner that examines every step and every worker.
// dispatch::planStarts() must give the same result.
#ifndef TESTING_EXHAUSTIVE_PLAN_H_
#define TESTING_EXHAUSTIVE_PLAN_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "jujube/dispatch/dispatcher.h"

namespace jujube::testing {

// Places each task on the best of all workers, one after the other.
class ExhaustivePlan {
public:
  explicit ExhaustivePlan(const dispatch::DispatchInput &input) : In(input) {
    for (const dispatch::WorkerView &view : In.Workers) {
      const jobs::Load &load = In.Book.loadOf(view.Worker->Id);
      Free[view.Worker->Id] = view.Worker->Capacity - load.Used;
      Filling[view.Worker->Id] = load.FillerMilliCpu;
    }
  }

  void run() {
    std::vector<Step> steps = readySteps();
    std::ranges::sort(steps, {}, [this](const Step &it) {
      return std::tuple(it.Queue->Priority, isLate(it), it.DueBy, it.Key);
    });
    for (const Step &step : steps)
      step.Spec->IsGang ? placeGang(step) : placeTasks(step);
  }

  std::vector<std::tuple<jobs::TaskKey, uint32_t, WorkerId>> Starts;
  std::vector<std::tuple<jobs::StepKey, dispatch::WaitCause, std::size_t>>
      Waits;

private:
  struct Step {
    jobs::StepKey Key;
    const jobs::Job *Job;
    const jobs::StepSpec *Spec;
    const jobs::StepState *State;
    const jobs::Queue *Queue;
    Instant DueBy;
  };

  std::vector<Step> readySteps() const {
    std::vector<Step> steps;
    for (const jobs::JobId &id : In.Book.openJobs()) {
      const jobs::Job &job = *In.Book.find(id);
      const jobs::Queue *queue =
          jobs::findQueue(In.Book.configuration(), job.Spec.Queue);
      for (uint32_t k = 0; queue != nullptr && k < job.Occurrences.size(); ++k)
        for (uint32_t s = 0; s < job.Spec.Steps.size(); ++s) {
          const Step step{{id, k, s},
                          &job,
                          &job.Spec.Steps[s],
                          &job.Occurrences[k].Steps[s],
                          queue,
                          dispatch::objectiveOf(job, *queue, k)};
          const bool isDue =
              !job.Spec.FirstDue || dispatch::dueAt(job, k) <= In.WallNow;
          if (isDue && !waitingTasks(step).empty() &&
              jobs::JobStateMachine::isReady(job, k, s))
            steps.push_back(step);
        }
    }
    return steps;
  }

  // The indices of tasks to start; for a gang, all or none.
  static std::vector<uint32_t> waitingTasks(const Step &step) {
    std::vector<uint32_t> waiting;
    if (step.Spec->IsGang && step.State->LiveTasks > 0)
      return waiting;
    for (uint32_t i = 0; i < step.State->Tasks.size(); ++i)
      if (!step.State->Tasks[i].IsDone && !step.State->Tasks[i].Live)
        waiting.push_back(i);
    return waiting;
  }

  bool isLate(const Step &step) const {
    return step.DueBy < In.WallNow + step.Spec->Estimate;
  }

  bool isTeamFull(const Step &step, int64_t tasks) {
    const jobs::Team *team =
        jobs::findTeam(In.Book.configuration(), step.Job->Spec.Team);
    const Resources used = In.Book.usedBy(team->Id) + Added[team->Id];
    const Resources then = used + step.Spec->Ask * tasks;
    return team->Maximum.MilliCpu > 0 && then.MilliCpu > team->Maximum.MilliCpu;
  }

  void placeTasks(const Step &step) {
    const std::vector<uint32_t> waiting = waitingTasks(step);
    std::size_t placed = 0;
    for (const uint32_t index : waiting) {
      if (isTeamFull(step, 1) || !placeOne(step, index, nullptr))
        break;
      ++placed;
    }
    if (placed < waiting.size())
      recordWait(step, waiting.size() - placed, isTeamFull(step, 1));
  }

  void placeGang(const Step &step) {
    const std::size_t n = step.State->Tasks.size();
    if (isTeamFull(step, static_cast<int64_t>(n))) {
      recordWait(step, n, true);
      return;
    }
    std::set<std::string> racks;
    for (const dispatch::WorkerView &view : In.Workers)
      racks.insert(view.Worker->Rack);
    const bool isOnOneRack = step.Spec->IsTightlyCoupled &&
                             std::ranges::any_of(racks, [&](const auto &rack) {
                               return placeAll(step, &rack);
                             });
    if (isOnOneRack || placeAll(step, nullptr))
      return;
    recordWait(step, n, false);
    reserveRoomFor(step);
  }

  bool placeAll(const Step &step, const std::string *rack) {
    const auto before = std::tuple(Free, Filling, Added, Starts);
    for (uint32_t i = 0; i < step.State->Tasks.size(); ++i)
      if (!placeOne(step, i, rack)) {
        std::tie(Free, Filling, Added, Starts) = before;
        return false;
      }
    return true;
  }

  bool placeOne(const Step &step, uint32_t index, const std::string *rack) {
    const dispatch::WorkerView *best = nullptr;
    for (const dispatch::WorkerView &view : In.Workers)
      if ((rack == nullptr || view.Worker->Rack == *rack) &&
          hasRoom(step, view) &&
          (!step.Queue->Approval ||
           In.Approved.stateOf(step.Key, view.Worker->Id, In.Now) ==
               dispatch::ApprovalState::Valid) &&
          (best == nullptr || rankOf(step, view) < rankOf(step, *best)))
        best = &view;
    if (best == nullptr)
      return false;
    uint32_t attempt = step.State->Tasks[index].LastAttempt + 1;
    if (step.Spec->IsGang)
      for (const jobs::Task &task : step.State->Tasks)
        attempt = std::max(attempt, task.LastAttempt + 1);
    const WorkerId &id = best->Worker->Id;
    Starts.emplace_back(
        jobs::TaskKey{step.Key.Job, step.Key.Occurrence, step.Key.Step, index},
        attempt, id);
    Free[id] -= demandOf(*step.Spec);
    Filling[id] += step.Spec->IsFiller ? step.Spec->Ask.MilliCpu : 0;
    Added[step.Job->Spec.Team] += step.Spec->Ask;
    return true;
  }

  void reserveRoomFor(const Step &step) {
    std::vector<const dispatch::WorkerView *> usable;
    for (const dispatch::WorkerView &view : In.Workers) {
      const dispatch::ApprovalState state =
          In.Approved.stateOf(step.Key, view.Worker->Id, In.Now);
      const bool isApproved = !step.Queue->Approval ||
                              state == dispatch::ApprovalState::Valid ||
                              state == dispatch::ApprovalState::Expired;
      if (!isLate(step) && !Held.contains(view.Worker->Id) && isApproved &&
          isEligible(step, *view.Worker))
        usable.push_back(&view);
    }
    std::ranges::stable_sort(usable, std::greater<>(),
                             [&](const dispatch::WorkerView *it) {
                               return Free.at(it->Worker->Id).MilliCpu;
                             });
    auto needed = static_cast<int64_t>(step.State->Tasks.size());
    for (const dispatch::WorkerView *view : usable) {
      if (needed <= 0 || Held.size() >= In.Workers.size() / 2)
        return;
      Held.insert(view->Worker->Id);
      needed -= fitCount(step, view->Worker->Capacity);
    }
  }

  void recordWait(const Step &step, std::size_t tasks, bool isAtMaximum) {
    Waits.emplace_back(step.Key,
                       isAtMaximum ? dispatch::WaitCause::TeamMaximum
                                   : causeOf(step, tasks),
                       tasks);
  }

  dispatch::WaitCause causeOf(const Step &step, std::size_t tasks) {
    const int64_t needed = step.Spec->IsGang ? static_cast<int64_t>(tasks) : 1;
    int64_t room = 0;
    bool isAnyEligible = false;
    for (const dispatch::WorkerView &view : In.Workers) {
      isAnyEligible |= isEligible(step, *view.Worker);
      if (hasRoom(step, view))
        room += fitCount(step, Free.at(view.Worker->Id));
    }
    if (!isAnyEligible)
      return dispatch::WaitCause::NoWorker;
    return room >= needed ? dispatch::WaitCause::Approval
                          : dispatch::WaitCause::Capacity;
  }

  int64_t tasksOn(const Step &step, const WorkerId &worker) const {
    const auto live =
        std::ranges::count_if(step.State->Tasks, [&](const jobs::Task &task) {
          return task.Live && task.Live->Worker == worker;
        });
    return live + std::ranges::count_if(Starts, [&](const auto &it) {
             return std::get<WorkerId>(it) == worker &&
                    jobs::stepOf(std::get<jobs::TaskKey>(it)) == step.Key;
           });
  }

  bool hasRoom(const Step &step, const dispatch::WorkerView &view) {
    const jobs::Worker &worker = *view.Worker;
    return !Held.contains(worker.Id) && isEligible(step, worker) &&
           demandOf(*step.Spec).fitsIn(Free.at(worker.Id)) &&
           (!step.Spec->IsFiller ||
            step.Spec->Ask.MilliCpu <= leftOver(worker)) &&
           (step.Spec->MaxPerWorker == 0 ||
            tasksOn(step, worker.Id) < step.Spec->MaxPerWorker);
  }

  int64_t leftOver(const jobs::Worker &worker) const {
    return std::max(Free.at(worker.Id).MilliCpu, worker.Capacity.MilliCpu / 4) -
           Filling.at(worker.Id);
  }

  static bool hasLabel(const jobs::Worker &worker, const std::string &label) {
    return label.empty() ||
           std::ranges::find(worker.Labels, label) != worker.Labels.end();
  }

  static bool isEligible(const Step &step, const jobs::Worker &worker) {
    return worker.Pool == step.Queue->Pool &&
           demandOf(*step.Spec).fitsIn(worker.Capacity) &&
           hasLabel(worker, step.Spec->RequiredLabel);
  }

  std::tuple<bool, bool, bool, int64_t>
  rankOf(const Step &step, const dispatch::WorkerView &view) const {
    const bool hasFailed =
        std::ranges::any_of(step.State->Tasks, [&](const jobs::Task &task) {
          return !task.IsDone && task.LastFailedOn == view.Worker->Id;
        });
    const bool isFar = !step.Spec->DataRack.empty() &&
                       !hasLabel(*view.Worker, step.Spec->DataRack);
    return {view.IsSuspect, hasFailed, isFar,
            step.Spec->IsFiller ? -leftOver(*view.Worker)
                                : Free.at(view.Worker->Id).MilliCpu};
  }

  static int64_t fitCount(const Step &step, Resources free) {
    const int64_t most = step.Spec->MaxPerWorker == 0
                             ? static_cast<int64_t>(step.State->Tasks.size())
                             : step.Spec->MaxPerWorker;
    int64_t n = 0;
    for (; n < most && demandOf(*step.Spec).fitsIn(free); ++n)
      free -= demandOf(*step.Spec);
    return n;
  }

  const dispatch::DispatchInput &In;
  std::map<WorkerId, Resources> Free;
  std::map<WorkerId, int64_t> Filling;
  std::set<WorkerId> Held;
  std::map<TeamId, Resources> Added;
};

} // namespace jujube::testing

#endif // TESTING_EXHAUSTIVE_PLAN_H_
