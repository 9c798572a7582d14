// A bounded set of the ids of deleted objects.
#ifndef JUJUBE_CATALOGUE_TOMBSTONE_SET_H_
#define JUJUBE_CATALOGUE_TOMBSTONE_SET_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/ids.h"

namespace jujube::catalogue {

// A deleted object and the revision that deleted it.
struct Tombstone {
  // "team", "entry" or "key", a space, and the id.
  std::string Object;
  Revision DeletedAt;

  bool operator==(const Tombstone &) const = default;
};

// Tombstones in the order of deletion. When the set exceeds its capacity, the
// oldest tombstone is removed.
class TombstoneSet {
public:
  explicit TombstoneSet(std::size_t capacity) : Capacity(capacity) {}

  void insert(Tombstone tombstone) {
    const auto [it, isNew] =
        ByObject.insert_or_assign(tombstone.Object, tombstone.DeletedAt);
    if (!isNew)
      std::erase_if(Order, [&](const Tombstone &other) {
        return other.Object == tombstone.Object;
      });
    Order.push_back(std::move(tombstone));
    if (Order.size() <= Capacity)
      return;
    ByObject.erase(Order.front().Object);
    Order.pop_front();
  }

  // Returns the revision that deleted the object, or nullopt if the set does
  // not contain it.
  std::optional<Revision> find(const std::string &object) const {
    const auto it = ByObject.find(object);
    return it == ByObject.end() ? std::nullopt
                                : std::optional<Revision>(it->second);
  }

  // Returns all tombstones, oldest first.
  std::vector<Tombstone> list() const { return {Order.begin(), Order.end()}; }

private:
  std::size_t Capacity;
  absl::btree_map<std::string, Revision> ByObject;
  std::deque<Tombstone> Order;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_TOMBSTONE_SET_H_
