#include "jujube/placement/capacity_index.h"

#include <algorithm>

namespace jujube::placement::internal {
namespace {

constexpr Resources NoCapacity = {-1, -1, -1};
constexpr uint32_t FirstLeaves = 64;

} // namespace

// A search over the slots [Low, High).
struct CapacityIndex::Search {
  const Resources &Ask;
  uint32_t Low;
  uint32_t High;
  uint32_t Max;
  std::vector<uint32_t> &Found;

  bool isDone() const { return Found.size() >= Max; }
};

void CapacityIndex::grow(uint32_t slots) {
  const uint32_t before = Leaves;
  const std::vector<Resources> old = std::move(Nodes);
  Leaves = std::max(Leaves, FirstLeaves);
  while (Leaves < slots)
    Leaves *= 2;
  Nodes.assign(std::size_t{Leaves} * 2, NoCapacity);
  std::copy_n(old.begin() + before, before, Nodes.begin() + Leaves);
  for (std::size_t node = Leaves - 1; node > 0; --node)
    Nodes[node] = maxOf(Nodes[2 * node], Nodes[2 * node + 1]);
}

void CapacityIndex::set(uint32_t slot, const Resources &capacity) {
  if (slot >= Leaves)
    grow(slot + 1);
  Slots = std::max(Slots, slot + 1);
  std::size_t node = Leaves + slot;
  Nodes[node] = capacity.isNegative() ? NoCapacity : capacity;
  for (node /= 2; node > 0; node /= 2) {
    const Resources larger = maxOf(Nodes[2 * node], Nodes[2 * node + 1]);
    if (larger == Nodes[node])
      return;
    Nodes[node] = larger;
  }
}

Resources CapacityIndex::largest() const {
  return Nodes.empty() ? Resources{} : maxOf(Nodes[1], Resources{});
}

bool CapacityIndex::anyFits(const Resources &ask) const {
  std::vector<uint32_t> found;
  collect(ask, 0, 1, found);
  return !found.empty();
}

void CapacityIndex::collect(const Resources &ask, uint32_t start, uint32_t max,
                            std::vector<uint32_t> &out) const {
  if (Slots == 0)
    return;
  const uint32_t limit = static_cast<uint32_t>(out.size()) + max;
  Search upper{ask, start, Slots, limit, out};
  visit(1, 0, Leaves, upper);
  Search lower{ask, 0, std::min(start, Slots), limit, out};
  visit(1, 0, Leaves, lower);
}

void CapacityIndex::visit(uint32_t node, uint32_t first, uint32_t width,
                          Search &search) const {
  if (search.isDone() || first >= search.High || first + width <= search.Low ||
      !search.Ask.fitsIn(Nodes[node]))
    return;
  if (width == 1) {
    search.Found.push_back(first);
    return;
  }
  visit(2 * node, first, width / 2, search);
  visit(2 * node + 1, first + width / 2, width / 2, search);
}

} // namespace jujube::placement::internal
