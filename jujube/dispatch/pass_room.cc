// Which workers have room for a step, and why the others don't.
#include <algorithm>
#include <utility>

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch::internal {
namespace {

// Largest share of the workers on which room is kept for gangs, so that less
// urgent steps go on elsewhere.
constexpr double MaxHeldShare = 0.5;

bool hasLabel(const jobs::Worker &worker, const std::string &label) {
  return label.empty() ||
         std::ranges::find(worker.Labels, label) != worker.Labels.end();
}

} // namespace

void Pass::holdRoomFor(const ReadyStep &step) {
  const bool isLate = step.DueBy < In.WallNow + step.Spec->Estimate;
  const auto most = static_cast<std::size_t>(
      MaxHeldShare * static_cast<double>(Workers.size()));
  if (isLate || Workers.heldCount() >= most)
    return;
  std::vector<NodeIndex> usable = holdable(step);
  std::ranges::sort(usable, {}, [this](NodeIndex it) {
    return std::pair(-Workers[it].Free.MilliCpu, it);
  });
  auto needed = static_cast<int64_t>(step.State->Tasks.size());
  Hold hold{step.Key, {}};
  for (const NodeIndex it : usable) {
    if (needed <= 0 || Workers.heldCount() >= most)
      break;
    Workers.hold(it);
    hold.Nodes.push_back(it);
    needed -= fitCount(step, Workers[it].Who->Capacity);
  }
  Holds.push_back(std::move(hold));
}

void Pass::restoreHeld(const std::vector<HeldRoom> &held) {
  for (const HeldRoom &room : held) {
    if (HandledGangs.contains(room.Gang) ||
        !In.Book.waiting().contains(room.Gang))
      continue;
    Hold hold{room.Gang, {}};
    for (const WorkerId &worker : room.Workers)
      if (const auto node = Workers.find(worker)) {
        Workers.hold(*node);
        hold.Nodes.push_back(*node);
      }
    Holds.push_back(std::move(hold));
  }
}

std::vector<HeldRoom> Pass::heldRoom() const {
  std::vector<HeldRoom> rooms;
  for (const Hold &hold : Holds) {
    rooms.push_back({hold.Gang, {}});
    for (const NodeIndex it : hold.Nodes)
      rooms.back().Workers.push_back(Workers[it].Who->Id);
  }
  return rooms;
}

std::vector<NodeIndex> Pass::holdable(const ReadyStep &step) {
  std::vector<NodeIndex> nodes;
  if (step.Queue->Approval) {
    for (const NodeIndex it : knownNodes(step))
      if (step.Approval->Workers.at(Workers[it].Who->Id).IsApproved)
        nodes.push_back(it);
  } else {
    const NodeSpan all = Workers.members(step.Queue->Pool);
    Plan.Examined += all.size();
    nodes.assign(all.begin(), all.end());
  }
  std::erase_if(nodes, [&](NodeIndex it) {
    return Workers[it].IsHeld || !isEligible(step, *Workers[it].Who);
  });
  return nodes;
}

void Pass::noteWait(const ReadyStep &step, int64_t tasks, WaitCause why) {
  Plan.Waits.push_back({step.Key, why, static_cast<std::size_t>(tasks)});
}

WaitCause Pass::placeCause(const ReadyStep &step, int64_t tasks) {
  if (!isServable(step))
    return WaitCause::NoWorker;
  if (!hasAnyRoom(step))
    return WaitCause::Room;
  const int64_t needed = step.Spec->IsGang ? tasks : 1;
  int64_t room = 0;
  for (const NodeIndex it : roomSource(step)) {
    ++Plan.Examined;
    if (roomOn(step, it) > 0)
      room += fitCount(step, Workers[it].Free);
    if (room >= needed)
      return WaitCause::Approval;
  }
  return WaitCause::Room;
}

Pass::DemandState &Pass::demandState(const ReadyStep &step) {
  return Demands[{step.Queue->Pool.str(), step.Spec->RequiredLabel,
                  demandOf(*step.Spec),
                  step.Spec->IsFiller ? step.Spec->Ask.MilliCpu : -1}];
}

bool Pass::hasAnyRoom(const ReadyStep &step) {
  DemandState &state = demandState(step);
  if (state.IsWithoutRoom)
    return false;
  for (const NodeIndex it : roomSource(step)) {
    ++Plan.Examined;
    if (hasRoom(step, Workers[it]))
      return true;
  }
  state.IsWithoutRoom = true;
  return false;
}

bool Pass::isServable(const ReadyStep &step) {
  DemandState &state = demandState(step);
  if (!state.IsServable)
    state.IsServable = std::ranges::any_of(
        Workers.members(step.Queue->Pool), [&](NodeIndex it) {
          ++Plan.Examined;
          return isEligible(step, *Workers[it].Who);
        });
  return *state.IsServable;
}

Pass::NodeSpan Pass::roomSource(const ReadyStep &step) const {
  return step.Spec->IsFiller
             ? Workers.members(step.Queue->Pool)
             : Workers.withFree(step.Queue->Pool, step.Spec->Ask.MilliCpu);
}

bool Pass::hasRoom(const ReadyStep &step, const Fleet::Node &node) const {
  return !node.IsHeld && isEligible(step, *node.Who) &&
         demandOf(*step.Spec).fitsIn(node.Free) &&
         (!step.Spec->IsFiller || step.Spec->Ask.MilliCpu <= node.leftOver());
}

int64_t Pass::roomOn(const ReadyStep &step, NodeIndex index) const {
  const Fleet::Node &node = Workers[index];
  if (!hasRoom(step, node))
    return 0;
  int64_t room = fitCount(step, node.Free);
  if (step.Spec->MaxPerWorker > 0)
    room = std::min(
        room, std::max<int64_t>(step.Spec->MaxPerWorker - tasksOn(index), 0));
  if (step.Spec->IsFiller && step.Spec->Ask.MilliCpu > 0)
    room = std::min(room, node.leftOver() / step.Spec->Ask.MilliCpu);
  return room;
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

bool Pass::isFar(const ReadyStep &step, const jobs::Worker &worker) {
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
