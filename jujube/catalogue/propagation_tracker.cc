#include "jujube/catalogue/propagation_tracker.h"

#include <algorithm>

namespace jujube::catalogue {

void PropagationTracker::onReply(const HostId &host, Revision has, Revision to,
                                 Instant now) {
  Follower &follower = Followers[host];
  follower.Has = std::max(follower.Has, has);
  follower.LastReply = now;
  std::erase_if(follower.Sent, [&](const Confirmation &sent) {
    return sent.To < follower.Has || sent.SentAt + ConfirmationLifetime <= now;
  });
  if (!follower.Sent.empty() && follower.Sent.back().To == to)
    follower.Sent.back().SentAt = now;
  else
    follower.Sent.push_back({to, now});
}

void PropagationTracker::onPoll(const HostId &host, Revision has) {
  const auto it = Followers.find(host);
  if (it == Followers.end())
    return; // This leader has not sent it a confirmation yet.
  Follower &follower = it->second;
  follower.Has = std::max(follower.Has, has);
  std::erase_if(follower.Sent, [&follower](const Confirmation &sent) {
    return sent.To < follower.Has;
  });
}

bool PropagationTracker::isInForce(Revision revision, Instant now) const {
  const bool arePredecessorFollowersStale =
      now >= Takeover + ConfirmationLifetime;
  const auto holds = [&](const auto &row) {
    const Follower &follower = row.second;
    return follower.Has >= revision ||
           std::ranges::all_of(follower.Sent, [&](const Confirmation &sent) {
             return sent.To >= revision ||
                    now >= sent.SentAt + ConfirmationLifetime;
           });
  };
  return arePredecessorFollowersStale && std::ranges::all_of(Followers, holds);
}

std::vector<HostId> PropagationTracker::freshHosts(Instant now) const {
  std::vector<HostId> hosts;
  for (const auto &[host, follower] : Followers)
    if (now < follower.LastReply + ConfirmationLifetime)
      hosts.push_back(host);
  return hosts;
}

void PropagationTracker::forgetInactive(Instant now, Duration span) {
  const Duration kept = std::max(span, ConfirmationLifetime);
  for (auto it = Followers.begin(); it != Followers.end();)
    it = now - it->second.LastReply > kept ? Followers.erase(it) : ++it;
}

} // namespace jujube::catalogue
