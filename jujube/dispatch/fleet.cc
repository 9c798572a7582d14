#include "jujube/dispatch/fleet.h"

#include <algorithm>
#include <utility>

namespace jujube::dispatch::internal {
namespace {

// Filler tasks may request a fourth of a worker's processors even if all are
// assigned, since tasks use less than they request.
constexpr int64_t FillerCapacityDivisor = 4;

} // namespace

int64_t Fleet::Node::fillerHeadroom() const {
  return std::max(Free.MilliCpu,
                  Worker->Capacity.MilliCpu / FillerCapacityDivisor) -
         FillerMilliCpu;
}

Fleet::Fleet(const std::vector<WorkerView> &views,
             const jobs::JobStateMachine &book) {
  Nodes.reserve(views.size());
  // `views` and loads() are both ordered by worker id.
  auto load = book.loads().begin();
  const auto end = book.loads().end();
  for (const WorkerView &view : views) {
    const jobs::Worker &worker = *view.Worker;
    while (load != end && load->first < worker.Id)
      ++load;
    const bool isLoaded = load != end && load->first == worker.Id;
    Pools[worker.Pool].Members.push_back(static_cast<NodeIndex>(Nodes.size()));
    Nodes.push_back(
        {&worker, view.IsSuspect, view.IsCold, false,
         isLoaded ? worker.Capacity - load->second.Used : worker.Capacity,
         isLoaded ? load->second.FillerMilliCpu : 0});
  }
  for (auto &[id, pool] : Pools) {
    pool.ByFree = pool.Members;
    std::ranges::sort(pool.ByFree, {}, [this](NodeIndex index) {
      return std::pair(Nodes[index].Free.MilliCpu, index);
    });
  }
}

std::optional<NodeIndex> Fleet::find(const WorkerId &id) const {
  const auto it = std::ranges::lower_bound(
      Nodes, id, {},
      [](const Node &node) -> const WorkerId & { return node.Worker->Id; });
  if (it == Nodes.end() || it->Worker->Id != id)
    return std::nullopt;
  return static_cast<NodeIndex>(it - Nodes.begin());
}

std::span<const NodeIndex> Fleet::members(const jobs::PoolId &pool) const {
  const auto it = Pools.find(pool);
  return it == Pools.end() ? std::span<const NodeIndex>()
                           : std::span(it->second.Members);
}

std::span<const NodeIndex> Fleet::byFreeCpu(const jobs::PoolId &pool) const {
  const auto it = Pools.find(pool);
  return it == Pools.end() ? std::span<const NodeIndex>()
                           : std::span(it->second.ByFree);
}

std::span<const NodeIndex> Fleet::withFreeCpu(const jobs::PoolId &pool,
                                              int64_t milliCpu) const {
  const auto it = Pools.find(pool);
  if (it == Pools.end())
    return {};
  const std::vector<NodeIndex> &all = it->second.ByFree;
  return {lowerBound(it->second, milliCpu, 0), all.end()};
}

std::vector<NodeIndex>::const_iterator
Fleet::lowerBound(const Pool &pool, int64_t milliCpu, NodeIndex index) const {
  return std::ranges::lower_bound(
      pool.ByFree, std::pair(milliCpu, index), {},
      [this](NodeIndex it) { return std::pair(Nodes[it].Free.MilliCpu, it); });
}

void Fleet::allocate(NodeIndex index, const Resources &demand,
                     int64_t fillerMilliCpu) {
  Node &node = Nodes[index];
  node.FillerMilliCpu += fillerMilliCpu;
  const int64_t before = node.Free.MilliCpu;
  if (demand.MilliCpu != 0 && !node.IsReserved) {
    Pool &pool = Pools.at(node.Worker->Pool);
    const auto from = pool.ByFree.begin() +
                      (lowerBound(pool, before, index) - pool.ByFree.cbegin());
    const auto to = pool.ByFree.begin() +
                    (lowerBound(pool, before - demand.MilliCpu, index) -
                     pool.ByFree.cbegin());
    std::rotate(to, from, from + 1);
  }
  node.Free -= demand;
}

void Fleet::reserve(NodeIndex index) {
  Node &node = Nodes[index];
  if (node.IsReserved)
    return;
  Pool &pool = Pools.at(node.Worker->Pool);
  pool.ByFree.erase(lowerBound(pool, node.Free.MilliCpu, index));
  node.IsReserved = true;
  ++ReservedCount;
}

} // namespace jujube::dispatch::internal
