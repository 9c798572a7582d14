// Leases as their grantor counts them.
#ifndef JUJUBE_LIMITS_LEASE_TABLE_H_
#define JUJUBE_LIMITS_LEASE_TABLE_H_

#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/clock.h"

namespace jujube::limits {

// The grantor's record of the leases that it renews, on its own clock. The
// holder counts a lease from when it sent the request; the grantor counts it
// from when it sends the reply and adds the drift bound, so it never believes a
// lease over that its holder still counts.
//
// A grantor may renew only while it holds its own group's leader lease. A new
// leader counts every holder as renewed when it took over.
template <typename Id> class LeaseTable {
public:
  LeaseTable(Duration lease, Duration drift, Instant takeover)
      : Span(lease + drift), Takeover(takeover) {}

  // A renewal is sent to `id` now. Call it before the reply leaves. False if
  // the lease has surely ended and was not reset() yet: send no renewal then.
  bool renew(const Id &id, Instant now) {
    if (hasEnded(id, now))
      return false;
    Renewed[id] = now;
    return true;
  }

  // Starts a new lease for a holder whose previous one was dealt with.
  void reset(const Id &id, Instant now) { Renewed[id] = now; }

  // True if no renewal that the holder has can still be valid.
  bool hasEnded(const Id &id, Instant now) const { return now >= endOf(id); }

  // When the lease surely has ended unless it is renewed.
  Instant endOf(const Id &id) const {
    const auto it = Renewed.find(id);
    return (it == Renewed.end() ? Takeover : it->second) + Span;
  }

  // Known holders whose lease has ended, in order of id.
  std::vector<Id> ended(Instant now) const {
    std::vector<Id> ids;
    for (const auto &[id, at] : Renewed)
      if (now >= at + Span)
        ids.push_back(id);
    return ids;
  }

  void forget(const Id &id) { Renewed.erase(id); }
  std::size_t size() const { return Renewed.size(); }

private:
  Duration Span;
  Instant Takeover;
  absl::btree_map<Id, Instant> Renewed;
};

} // namespace jujube::limits

#endif // JUJUBE_LIMITS_LEASE_TABLE_H_
