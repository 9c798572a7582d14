#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "jujube/placement/capacity_index.h"

namespace jujube::placement::internal {
namespace {

Resources resourcesOf(uint32_t n) {
  return {int64_t{n % 7}, int64_t{n / 7 % 7}, int64_t{n / 49 % 2}};
}

BOOST_AUTO_TEST_SUITE(CapacityIndexSuite)

RC_BOOST_PROP(FindsExactlyWhatAScanFinds,
              (const std::vector<std::pair<uint8_t, uint16_t>> &updates,
               uint16_t ask, uint8_t start)) {
  CapacityIndex index;
  std::vector<Resources> capacities(256, Resources{-1, -1, -1});
  for (const auto &[slot, capacity] : updates) {
    capacities[slot] = resourcesOf(capacity);
    index.set(slot, capacities[slot]);
  }
  const Resources size = resourcesOf(ask);
  std::vector<uint32_t> expected;
  for (uint32_t slot = 0; slot < capacities.size(); ++slot)
    if (!capacities[slot].isNegative() && size.fitsIn(capacities[slot]))
      expected.push_back(slot);
  std::rotate(expected.begin(), std::ranges::lower_bound(expected, start),
              expected.end());
  std::vector<uint32_t> found;
  index.collect(size, start, 256, found);
  RC_ASSERT(found == expected);
  RC_ASSERT(index.anyFits(size) == !expected.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::placement::internal
