// The workers of one pass under dense numbers, and those of each pool in order
// of their free processors. Not for use outside this folder.
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

// A worker's place in the input.
using NodeIndex = uint32_t;

class Fleet {
public:
  struct Node {
    const jobs::Worker *Who = nullptr;
    bool IsDoubtful = false;
    // Room is kept there for a gang.
    bool IsHeld = false;
    Resources Free;
    // Processors that tasks which fill ask for.
    int64_t FillerMilliCpu = 0;

    // Processors that the other tasks leave, less those of tasks that fill.
    int64_t leftOver() const;
  };

  // `views` are in order of their ids.
  Fleet(const std::vector<WorkerView> &views, const jobs::JobBook &book);

  const Node &operator[](NodeIndex index) const { return Nodes[index]; }
  std::size_t size() const { return Nodes.size(); }
  std::size_t heldCount() const { return Held; }
  std::optional<NodeIndex> find(const WorkerId &id) const;

  // The pool's workers in order of their ids.
  std::span<const NodeIndex> members(const jobs::PoolId &pool) const;
  // The pool's workers that are not held and have so many processors free, the
  // tightest fit first. Valid until the next change.
  std::span<const NodeIndex> withFree(const jobs::PoolId &pool,
                                      int64_t milliCpu) const;

  void take(NodeIndex index, const Resources &demand, int64_t fillerMilliCpu);
  void hold(NodeIndex index);

private:
  struct Pool {
    std::vector<NodeIndex> Members;
    std::vector<NodeIndex> ByFree;
  };

  // The first of the pool with so many processors free or more, and for equal
  // ones this index or a later one.
  std::vector<NodeIndex>::const_iterator
  lowerBound(const Pool &pool, int64_t milliCpu, NodeIndex index) const;

  std::vector<Node> Nodes;
  absl::flat_hash_map<jobs::PoolId, Pool> Pools;
  std::size_t Held = 0;
};

} // namespace jujube::dispatch::internal

#endif // JUJUBE_DISPATCH_FLEET_H_
