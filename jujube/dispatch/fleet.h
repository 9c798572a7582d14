// Index of the workers of one planning pass. Internal to this folder.
#ifndef JUJUBE_DISPATCH_FLEET_H_
#define JUJUBE_DISPATCH_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "jujube/dispatch/dispatcher.h"

namespace jujube::dispatch::internal {

// Index of a worker in DispatchInput::Workers.
using NodeIndex = uint32_t;

// The workers of one pass and their free capacity, which shrinks as the pass
// assigns tasks. Each pool's workers are also sorted by free processors. Owned
// by the Pass; refers to the workers of its input, which must outlive it.
class Fleet {
public:
  struct Node {
    const jobs::Worker *Worker = nullptr;
    bool IsSuspect = false;
    bool IsCold = false;
    // The free capacity is reserved for a gang.
    bool IsReserved = false;
    // Capacity less the demand of the tasks that run there.
    Resources Free;
    // Processors requested by filler tasks; not subtracted from Free.
    int64_t FillerMilliCpu = 0;

    // Thousandths of a processor that further filler tasks may request: the
    // processors that other tasks leave free, or a minimum part of the capacity
    // if that is more, less FillerMilliCpu. May be negative.
    int64_t fillerHeadroom() const;
  };

  // `views` must be ordered by worker id.
  Fleet(const std::vector<WorkerView> &views,
        const jobs::JobStateMachine &book);

  const Node &operator[](NodeIndex index) const { return Nodes[index]; }
  std::size_t size() const { return Nodes.size(); }
  std::size_t reservedCount() const { return ReservedCount; }
  // Returns empty if the worker is not part of the pass.
  std::optional<NodeIndex> find(const WorkerId &id) const;

  // The pool's workers, ordered by id.
  std::span<const NodeIndex> members(const jobs::PoolId &pool) const;
  // The pool's unreserved workers, those with the fewest free processors first.
  // Valid until the next allocate() or reserve().
  std::span<const NodeIndex> byFreeCpu(const jobs::PoolId &pool) const;
  // The pool's unreserved workers with at least `milliCpu` free, best fit
  // first. Valid until the next allocate() or reserve().
  std::span<const NodeIndex> withFreeCpu(const jobs::PoolId &pool,
                                         int64_t milliCpu) const;

  // Subtracts the demand of a task that is assigned to the worker.
  void allocate(NodeIndex index, const Resources &demand,
                int64_t fillerMilliCpu);
  // Reserves the worker's free capacity for a gang; it leaves withFreeCpu().
  void reserve(NodeIndex index);

private:
  struct Pool {
    std::vector<NodeIndex> Members;
    // Unreserved workers, by free processors, then index.
    std::vector<NodeIndex> ByFree;
  };

  // The first entry of ByFree that is not less than (milliCpu, index).
  std::vector<NodeIndex>::const_iterator
  lowerBound(const Pool &pool, int64_t milliCpu, NodeIndex index) const;

  std::vector<Node> Nodes;
  absl::flat_hash_map<jobs::PoolId, Pool> Pools;
  std::size_t ReservedCount = 0;
};

} // namespace jujube::dispatch::internal

#endif // JUJUBE_DISPATCH_FLEET_H_
