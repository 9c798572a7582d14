// An index of free capacity that finds fitting workers without a scan over all
// of them.
#ifndef JUJUBE_PLACEMENT_CAPACITY_INDEX_H_
#define JUJUBE_PLACEMENT_CAPACITY_INDEX_H_

#include <cstdint>
#include <vector>

#include "jujube/base/resources.h"

namespace jujube::placement::internal {

// A segment tree over worker slots. Each node keeps, per resource, the largest
// amount in its subtree. Updates and successful searches take logarithmic time;
// a search may visit more nodes if the largest amounts belong to different
// workers.
class CapacityIndex {
public:
  // Sets the capacity of a slot and grows the index as needed. A slot with a
  // negative amount is never found.
  void set(uint32_t slot, const Resources &capacity);

  uint32_t size() const { return Slots; }
  // The largest amount of each resource over all slots; the amounts may belong
  // to different slots.
  Resources largest() const;
  bool anyFits(const Resources &ask) const;
  // Appends up to `max` slots that `ask` fits in to `out`: in ascending order
  // from `start`, then from slot 0 up to `start`.
  void collect(const Resources &ask, uint32_t start, uint32_t max,
               std::vector<uint32_t> &out) const;

private:
  struct Search;
  void grow(uint32_t slots);
  void visit(uint32_t node, uint32_t first, uint32_t width,
             Search &search) const;

  uint32_t Slots = 0;
  // A power of two; node 1 is the root.
  uint32_t Leaves = 0;
  std::vector<Resources> Nodes;
};

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_CAPACITY_INDEX_H_
