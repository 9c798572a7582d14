// Leases as tracked by their grantor.
#ifndef JUJUBE_LIMITS_LEASE_TABLE_H_
#define JUJUBE_LIMITS_LEASE_TABLE_H_

#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/clock.h"

namespace jujube::limits {

// The grantor's record of the leases that it renews, on its own clock. The
// holder starts a lease when it sends the request; the grantor starts it later,
// when it sends the reply, and adds the bound on clock drift. A lease that has
// ended for the grantor has therefore ended for its holder.
//
// The grantor is the leader of a group and may renew leases only while it holds
// its leader lease. A new leader treats every lease as renewed at its takeover.
template <typename Id> class LeaseTable {
public:
  LeaseTable(Duration lease, Duration drift, Instant takeover)
      : Span(lease + drift), Takeover(takeover) {}

  // Records that a renewal is sent to `id` now. Must be called before the reply
  // is sent. Returns false if the lease has ended and reset() was not called
  // yet; the renewal must not be sent then.
  bool renew(const Id &id, Instant now) {
    if (hasEnded(id, now))
      return false;
    Renewed[id] = now;
    return true;
  }

  // Starts a new lease for a holder after the caller has handled the end of the
  // previous lease.
  void reset(const Id &id, Instant now) { Renewed[id] = now; }

  // True if the lease has certainly ended for the holder.
  bool hasEnded(const Id &id, Instant now) const { return now >= endOf(id); }

  // When the lease will have certainly ended for the holder, unless renewed.
  Instant endOf(const Id &id) const {
    const auto it = Renewed.find(id);
    return (it == Renewed.end() ? Takeover : it->second) + Span;
  }

  // Recorded holders whose lease has ended, in order of id.
  std::vector<Id> ended(Instant now) const {
    std::vector<Id> ids;
    for (const auto &[id, at] : Renewed)
      if (now >= at + Span)
        ids.push_back(id);
    return ids;
  }

  void erase(const Id &id) { Renewed.erase(id); }
  std::size_t size() const { return Renewed.size(); }

private:
  Duration Span;
  Instant Takeover;
  absl::btree_map<Id, Instant> Renewed;
};

} // namespace jujube::limits

#endif // JUJUBE_LIMITS_LEASE_TABLE_H_
