// Hosts that make calls for approval on behalf of the leader. The approving
// service handles the calls of one host one after the other.
#ifndef JUJUBE_CONTROL_HELPER_ROSTER_H_
#define JUJUBE_CONTROL_HELPER_ROSTER_H_

#include <algorithm>
#include <map>
#include <optional>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::control {

class HelperRoster {
public:
  struct Helper {
    Address At;
    Instant LastSeen;
    // When the calls that it was given should be answered.
    Instant BusyUntil;
  };

  void note(const HostId &host, const Address &at, Instant now) {
    Helper &helper = Helpers[host];
    helper.At = at;
    helper.LastSeen = now;
  }

  // The helper that is free first, if one is within `patience`.
  std::optional<HostId> choose(Instant now, Duration patience) const {
    const auto isBefore = [](const auto &a, const auto &b) {
      return a.second.BusyUntil < b.second.BusyUntil;
    };
    std::map<HostId, Helper> usable;
    for (const auto &[host, helper] : Helpers)
      if (now - helper.LastSeen <= SilenceBound &&
          helper.BusyUntil <= now + patience)
        usable.emplace(host, helper);
    const auto it = std::ranges::min_element(usable, isBefore);
    return it == usable.end() ? std::nullopt : std::optional(it->first);
  }

  // Gives the helper a call of this length; returns when it should be answered.
  Instant assign(const HostId &host, Duration length, Instant now) {
    Helper &helper = Helpers.at(host);
    helper.BusyUntil = std::max(helper.BusyUntil, now) + length;
    return helper.BusyUntil;
  }
  // A call of the helper got no answer.
  void avoid(const HostId &host, Instant until) {
    Helpers[host].BusyUntil = std::max(Helpers[host].BusyUntil, until);
  }
  const Address &addressOf(const HostId &host) const {
    return Helpers.at(host).At;
  }
  // Helpers that are free within `patience`.
  std::size_t countFree(Instant now, Duration patience) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Helpers, [&](const auto &it) {
          return now - it.second.LastSeen <= SilenceBound &&
                 it.second.BusyUntil <= now + patience;
        }));
  }

private:
  // A helper that was not heard of for this span is not used. Source: three of
  // its reports.
  static constexpr Duration SilenceBound = Duration::millis(1600);

  std::map<HostId, Helper> Helpers;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_HELPER_ROSTER_H_
