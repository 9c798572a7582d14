// Free capacity, reservations for gangs, and the causes of waits.
#include <algorithm>
#include <utility>

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch::internal {
namespace {

// Largest fraction of the workers that may be reserved for gangs, so that less
// urgent steps can start on the others.
constexpr double MaxReservedFraction = 0.5;

bool hasLabel(const jobs::Worker &worker, const std::string &label) {
  return label.empty() ||
         std::ranges::find(worker.Labels, label) != worker.Labels.end();
}

} // namespace

void Pass::reserveForGang(const ReadyStep &step) {
  const bool isLate = step.DueBy < Input.WallNow + step.Spec->Estimate;
  const auto most = static_cast<std::size_t>(
      MaxReservedFraction * static_cast<double>(Workers.size()));
  if (isLate || Workers.reservedCount() >= most)
    return;
  std::vector<NodeIndex> usable = reservableNodes(step);
  std::ranges::sort(usable, {}, [this](NodeIndex it) {
    return std::pair(-Workers[it].Free.MilliCpu, it);
  });
  auto needed = static_cast<int64_t>(step.State->Tasks.size());
  Reservation reservation{step.Key, {}};
  for (const NodeIndex it : usable) {
    if (needed <= 0 || Workers.reservedCount() >= most)
      break;
    Workers.reserve(it);
    reservation.Nodes.push_back(it);
    needed -= fitCount(step, Workers[it].Worker->Capacity);
  }
  Reservations.push_back(std::move(reservation));
}

void Pass::restoreReservations(const std::vector<GangReservation> &previous) {
  for (const GangReservation &it : previous) {
    if (PlannedGangs.contains(it.Gang) ||
        !Input.Book.waiting().contains(it.Gang))
      continue;
    Reservation reservation{it.Gang, {}};
    for (const WorkerId &worker : it.Workers)
      if (const auto node = Workers.find(worker)) {
        Workers.reserve(*node);
        reservation.Nodes.push_back(*node);
      }
    Reservations.push_back(std::move(reservation));
  }
}

std::vector<GangReservation> Pass::reservations() const {
  std::vector<GangReservation> result;
  for (const Reservation &reservation : Reservations) {
    result.push_back({reservation.Gang, {}});
    for (const NodeIndex it : reservation.Nodes)
      result.back().Workers.push_back(Workers[it].Worker->Id);
  }
  return result;
}

std::vector<NodeIndex> Pass::reservableNodes(const ReadyStep &step) {
  std::vector<NodeIndex> nodes;
  if (step.Queue->Approval) {
    nodes = approvedNodes(step);
  } else {
    const NodeSpan all = Workers.members(step.Queue->Pool);
    Plan.Examined += all.size();
    nodes.assign(all.begin(), all.end());
  }
  std::erase_if(nodes, [&](NodeIndex it) {
    return Workers[it].IsReserved || !isEligible(step, *Workers[it].Worker);
  });
  return nodes;
}

void Pass::addWait(const ReadyStep &step, int64_t tasks, WaitCause why) {
  Plan.Waits.push_back({step.Key, why, static_cast<std::size_t>(tasks)});
}

WaitCause Pass::waitCause(const ReadyStep &step, int64_t tasks) {
  if (!isServable(step))
    return isServableInEvacuatedZone(step) ? WaitCause::Evacuated
                                           : WaitCause::NoWorker;
  if (!hasCapacityAnywhere(step))
    return WaitCause::Capacity;
  const int64_t needed = step.Spec->IsGang ? tasks : 1;
  int64_t capacity = 0;
  for (const NodeIndex it : nodesToSearch(step)) {
    ++Plan.Examined;
    if (taskCapacityOn(step, it) > 0)
      capacity += fitCount(step, Workers[it].Free);
    if (capacity >= needed)
      return WaitCause::Approval;
  }
  return WaitCause::Capacity;
}

Pass::DemandState &Pass::demandState(const ReadyStep &step) {
  return Demands[{step.Queue->Pool.str(), step.Spec->RequiredLabel,
                  demandOf(*step.Spec),
                  step.Spec->IsFiller ? step.Spec->Ask.MilliCpu : -1}];
}

bool Pass::hasCapacityAnywhere(const ReadyStep &step) {
  DemandState &state = demandState(step);
  if (state.HasNoCapacity)
    return false;
  for (const NodeIndex it : nodesToSearch(step)) {
    ++Plan.Examined;
    if (hasCapacity(step, Workers[it]))
      return true;
  }
  state.HasNoCapacity = true;
  return false;
}

bool Pass::isServable(const ReadyStep &step) {
  DemandState &state = demandState(step);
  if (!state.IsServable)
    state.IsServable = std::ranges::any_of(
        Workers.members(step.Queue->Pool), [&](NodeIndex it) {
          ++Plan.Examined;
          return isEligible(step, *Workers[it].Worker);
        });
  return *state.IsServable;
}

bool Pass::isServableInEvacuatedZone(const ReadyStep &step) {
  if (Input.Book.evacuatedZones().empty())
    return false;
  DemandState &state = demandState(step);
  if (!state.IsServableElsewhere)
    state.IsServableElsewhere =
        std::ranges::any_of(Input.Book.workers(), [&](const auto &it) {
          ++Plan.Examined;
          return Input.Book.isEvacuated(it.second) &&
                 isEligible(step, it.second);
        });
  return *state.IsServableElsewhere;
}

Pass::NodeSpan Pass::nodesToSearch(const ReadyStep &step) const {
  return step.Spec->IsFiller
             ? Workers.members(step.Queue->Pool)
             : Workers.withFreeCpu(step.Queue->Pool, step.Spec->Ask.MilliCpu);
}

bool Pass::hasCapacity(const ReadyStep &step, const Fleet::Node &node) const {
  return !node.IsReserved && isEligible(step, *node.Worker) &&
         demandOf(*step.Spec).fitsIn(node.Free) &&
         (!step.Spec->IsFiller ||
          step.Spec->Ask.MilliCpu <= node.fillerHeadroom());
}

int64_t Pass::taskCapacityOn(const ReadyStep &step, NodeIndex index) const {
  const Fleet::Node &node = Workers[index];
  if (!hasCapacity(step, node))
    return 0;
  int64_t capacity = fitCount(step, node.Free);
  if (step.Spec->MaxPerWorker > 0)
    capacity = std::min(
        capacity,
        std::max<int64_t>(step.Spec->MaxPerWorker - tasksOn(index), 0));
  if (step.Spec->IsFiller && step.Spec->Ask.MilliCpu > 0)
    capacity =
        std::min(capacity, node.fillerHeadroom() / step.Spec->Ask.MilliCpu);
  return capacity;
}

void Pass::countTasks(const ReadyStep &step) {
  TasksOn.clear();
  if (step.Spec->MaxPerWorker == 0)
    return;
  for (const jobs::Task &task : step.State->Tasks)
    if (task.Live)
      if (const auto node = Workers.find(task.Live->Worker))
        ++TasksOn[*node];
}

int64_t Pass::tasksOn(NodeIndex index) const {
  const auto it = TasksOn.find(index);
  return it == TasksOn.end() ? 0 : it->second;
}

bool Pass::isEligible(const ReadyStep &step, const jobs::Worker &worker) {
  return worker.Pool == step.Queue->Pool &&
         demandOf(*step.Spec).fitsIn(worker.Capacity) &&
         hasLabel(worker, step.Spec->RequiredLabel);
}

bool Pass::isDataRemote(const ReadyStep &step, const jobs::Worker &worker) {
  return !step.Spec->DataRack.empty() && !hasLabel(worker, step.Spec->DataRack);
}

int64_t Pass::fitCount(const ReadyStep &step, const Resources &free) {
  const Resources demand = demandOf(*step.Spec);
  if (!demand.fitsIn(free))
    return 0;
  int64_t n = step.Spec->MaxPerWorker == 0
                  ? static_cast<int64_t>(step.State->Tasks.size())
                  : step.Spec->MaxPerWorker;
  const auto bound = [&n](int64_t have, int64_t each) {
    if (each > 0)
      n = std::min(n, have / each);
  };
  bound(free.MilliCpu, demand.MilliCpu);
  bound(free.MemoryMb, demand.MemoryMb);
  bound(free.Accelerators, demand.Accelerators);
  return n;
}

} // namespace jujube::dispatch::internal
