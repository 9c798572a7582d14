// The choice of workers for the tasks of a step.
#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <queue>
#include <tuple>
#include <utility>

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch::internal {
namespace {

// A cold worker may take this many times as long as the estimate.
constexpr int64_t ColdDurationFactor = 3;

} // namespace

std::vector<NodeIndex> Pass::candidateNodes(const ReadyStep &step) {
  const NodeSpan searched = nodesToSearch(step);
  if (!step.Queue->Approval)
    return {searched.begin(), searched.end()};
  if (step.Approval == nullptr)
    return {};
  if (step.Approval->Approved.size() < searched.size())
    return nodesWithTicket(step);
  std::vector<NodeIndex> nodes;
  Plan.Examined += searched.size();
  std::ranges::copy_if(searched, std::back_inserter(nodes), [&](NodeIndex it) {
    return step.Approval->stateOf(Workers[it].Worker->Id, Input.Now) ==
           ApprovalState::Valid;
  });
  return nodes;
}

std::vector<NodeIndex> Pass::nodesWithTicket(const ReadyStep &step) {
  std::vector<NodeIndex> nodes = approvedNodes(step);
  std::erase_if(nodes, [&](NodeIndex it) {
    return step.Approval->stateOf(Workers[it].Worker->Id, Input.Now) !=
           ApprovalState::Valid;
  });
  std::ranges::sort(nodes, {}, [this](NodeIndex it) {
    return std::pair(Workers[it].Free.MilliCpu, it);
  });
  return nodes;
}

std::vector<Pass::Pick> Pass::pickOnOneRack(const ReadyStep &step,
                                            NodeSpan nodes, int64_t wanted) {
  std::map<absl::string_view, std::vector<NodeIndex>> racks;
  for (const NodeIndex it : nodes)
    racks[Workers[it].Worker->Rack].push_back(it);
  for (const auto &[rack, members] : racks)
    if (std::vector<Pick> picks = pick(step, members, wanted); !picks.empty())
      return picks;
  return {};
}

std::vector<Pass::Pick> Pass::pick(const ReadyStep &step, NodeSpan nodes,
                                   int64_t wanted) {
  if (step.Spec->IsFiller)
    return pickForFiller(step, nodes, wanted);
  std::vector<Pick> picks;
  std::vector<std::pair<int, Pick>> later;
  const std::vector<const WorkerId *> failed = failedOn(step);
  const auto add = [&](const Pick &it) {
    picks.push_back({it.Node, std::min(it.Tasks, wanted)});
    wanted -= picks.back().Tasks;
  };
  for (const NodeIndex it : nodes) {
    if (wanted == 0)
      return picks;
    ++Plan.Examined;
    const Pick here{it, taskCapacityOn(step, it)};
    if (here.Tasks == 0)
      continue;
    if (const int tier = tierOf(step, Workers[it], failed); tier > 0)
      later.emplace_back(tier, here);
    else
      add(here);
  }
  std::ranges::stable_sort(later, {}, &std::pair<int, Pick>::first);
  for (const auto &[tier, here] : later)
    if (wanted > 0)
      add(here);
  if (step.Spec->IsGang && wanted > 0)
    return {};
  return picks;
}

std::vector<Pass::Pick> Pass::pickForFiller(const ReadyStep &step,
                                            NodeSpan nodes, int64_t wanted) {
  // Tier, negated filler headroom, worker, and number of tasks that it can
  // take.
  using Entry = std::tuple<int, int64_t, NodeIndex, int64_t>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> best;
  const std::vector<const WorkerId *> failed = failedOn(step);
  for (const NodeIndex it : nodes) {
    ++Plan.Examined;
    if (const int64_t capacity = taskCapacityOn(step, it); capacity > 0)
      best.emplace(tierOf(step, Workers[it], failed),
                   -Workers[it].fillerHeadroom(), it, capacity);
  }
  std::vector<Pick> picks;
  for (; wanted > 0 && !best.empty(); --wanted) {
    const auto [tier, left, node, capacity] = best.top();
    best.pop();
    picks.push_back({node, 1});
    if (capacity > 1)
      best.emplace(tier, left + step.Spec->Ask.MilliCpu, node, capacity - 1);
  }
  if (step.Spec->IsGang && wanted > 0)
    return {};
  return picks;
}

int Pass::tierOf(const ReadyStep &step, const Fleet::Node &node,
                 const std::vector<const WorkerId *> &failedOn) const {
  const bool hasFailed = std::ranges::any_of(
      failedOn, [&node](const WorkerId *it) { return *it == node.Worker->Id; });
  return (node.IsSuspect ? 8 : 0) + (hasFailed ? 4 : 0) +
         (node.IsCold && isUrgent(step) ? 2 : 0) +
         (isDataRemote(step, *node.Worker) ? 1 : 0);
}

bool Pass::isUrgent(const ReadyStep &step) const {
  return step.DueBy - Input.WallNow < step.Spec->Estimate * ColdDurationFactor;
}

std::vector<const WorkerId *> Pass::failedOn(const ReadyStep &step) {
  std::vector<const WorkerId *> workers;
  for (const jobs::Task &task : step.State->Tasks)
    if (!task.IsDone && !task.LastFailedOn.empty())
      workers.push_back(&task.LastFailedOn);
  return workers;
}

} // namespace jujube::dispatch::internal
