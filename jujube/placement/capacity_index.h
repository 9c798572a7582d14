// Finds workers with room without looking at each of them.
#ifndef JUJUBE_PLACEMENT_CAPACITY_INDEX_H_
#define JUJUBE_PLACEMENT_CAPACITY_INDEX_H_

#include <cstdint>
#include <vector>

#include "jujube/base/resources.h"

namespace jujube::placement::internal {

// A segment tree over worker slots that keeps, per node, the largest amount of
// each resource below it. Updates and searches that succeed take logarithmic
// time; a search may visit more nodes if different workers hold the maxima.
class CapacityIndex {
public:
  // Sets the room of a slot, growing the index as needed. Negative amounts mean
  // that the slot is never found.
  void set(uint32_t slot, const Resources &room);

  // The number of slots.
  uint32_t size() const { return Slots; }
  // The largest amount of each resource, not necessarily on one slot.
  Resources largest() const;
  bool anyFits(const Resources &ask) const;
  // Appends up to `max` slots that have room for `ask`, in rising order from
  // `start` and then from 0.
  void collect(const Resources &ask, uint32_t start, uint32_t max,
               std::vector<uint32_t> &out) const;

private:
  struct Search;
  void grow(uint32_t slots);
  void visit(uint32_t node, uint32_t first, uint32_t width,
             Search &search) const;

  uint32_t Slots = 0;
  // Number of leaves, a power of two; node 1 is the root.
  uint32_t Leaves = 0;
  std::vector<Resources> Nodes;
};

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_CAPACITY_INDEX_H_
