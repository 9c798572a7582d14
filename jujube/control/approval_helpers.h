// Tracks the entry hosts (helpers) that send approval queries on behalf of the
// leader. The approval service handles the queries of one host one at a time.
#ifndef JUJUBE_CONTROL_APPROVAL_HELPERS_H_
#define JUJUBE_CONTROL_APPROVAL_HELPERS_H_

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::control {

// Owned by the control task. Not thread-safe.
class ApprovalHelpers {
public:
  struct Helper {
    Address At;
    Instant LastSeen;
    // When the calls assigned to this helper should all be answered.
    Instant BusyUntil;
  };

  void recordReport(const HostId &host, const Address &at, Instant now) {
    Helper &helper = Helpers[host];
    helper.At = at;
    helper.LastSeen = now;
  }

  // The helper that is free first; nullopt if none is free within `patience`.
  // Long calls may not use a third of the helpers, which are reserved for short
  // calls.
  std::optional<HostId> choose(Instant now, Duration maxWait,
                               bool isLong) const {
    const std::vector<const Entry *> usable = usableFor(now, maxWait, isLong);
    const auto it = std::ranges::min_element(
        usable, {}, [](const Entry *entry) { return entry->second.BusyUntil; });
    return it == usable.end() ? std::nullopt : std::optional((*it)->first);
  }

  // Assigns a call of the given length to the helper. Returns when the call
  // should be answered.
  Instant assign(const HostId &host, Duration length, Instant now) {
    Helper &helper = Helpers.at(host);
    helper.BusyUntil = std::max(helper.BusyUntil, now) + length;
    return helper.BusyUntil;
  }
  // Does not choose the helper until `until`, after one of its calls got no
  // answer.
  void markBusyUntil(const HostId &host, Instant until) {
    Helpers[host].BusyUntil = std::max(Helpers[host].BusyUntil, until);
  }
  const Address &addressOf(const HostId &host) const {
    return Helpers.at(host).At;
  }
  // The number of helpers that are free within `patience`.
  std::size_t countFree(Instant now, Duration maxWait, bool isLong) const {
    return usableFor(now, maxWait, isLong).size();
  }

private:
  // A helper that has not reported for this long is not used. The span covers
  // three of its reports.
  static constexpr Duration MaxSilence = Duration::millis(1600);

  // One helper in this many is reserved for short calls.
  static constexpr std::size_t ReservedFraction = 3;

  using Entry = std::map<HostId, Helper>::value_type;

  std::vector<const Entry *> usableFor(Instant now, Duration maxWait,
                                       bool isLong) const {
    std::vector<const Entry *> usable;
    for (const Entry &entry : Helpers)
      if (now - entry.second.LastSeen <= MaxSilence)
        usable.push_back(&entry);
    const std::size_t reserved = isLong ? usable.size() / ReservedFraction : 0;
    usable.erase(usable.begin(),
                 usable.begin() + static_cast<int64_t>(reserved));
    std::erase_if(usable, [&](const Entry *entry) {
      return entry->second.BusyUntil > now + maxWait;
    });
    return usable;
  }

  std::map<HostId, Helper> Helpers;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_APPROVAL_HELPERS_H_
