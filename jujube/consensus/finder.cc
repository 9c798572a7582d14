#include "jujube/consensus/finder.h"

#include <algorithm>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {

namespace {

// Answers older than this many probe periods don't count.
constexpr int64_t FreshPeriods = 3;

// True if the incarnation that the settings' group lists for this host can't
// take part in the group any more, as its successor was seen or it is bound to
// another group.
bool isLost(const Sighting &seen, const GroupId &own, Incarnation listed) {
  if (seen.Start != listed)
    return seen.Start > listed;
  return !seen.Group.isBlank() && seen.Group != own;
}

} // namespace

void GroupFinder::recordReply(const HostId &from, const Message &message,
                              const ProbeReply &reply, Instant now) {
  if (reply.Nonce != LastNonce)
    return;
  Sighting &seen = Sightings[from];
  if (message.FromStart < seen.Start)
    return;
  seen = Sighting{message.FromStart, message.Group, reply.At, reply.IsServing,
                  now};
}

std::map<HostId, Sighting> GroupFinder::fresh(const Options &settings,
                                              Instant now) const {
  std::map<HostId, Sighting> recent;
  for (const auto &[host, seen] : Sightings)
    if (now - seen.SeenAt <= settings.ProbePeriod * FreshPeriods)
      recent.emplace(host, seen);
  return recent;
}

std::optional<Membership> GroupFinder::foundingMembers(const Options &settings,
                                                       Instant now) const {
  // Until then a leader of an earlier group may rely on what this host's
  // predecessor acknowledged.
  if (settings.Rule == Formation::Never ||
      now < StartedAt + voteRefusal(settings))
    return std::nullopt;
  const std::map<HostId, Sighting> recent = fresh(settings, now);
  if (std::ranges::any_of(recent,
                          [](const auto &it) { return it.second.IsServing; }))
    return std::nullopt;
  Membership members;
  for (const Peer &peer : settings.Configured) {
    const auto it = recent.find(peer.Host);
    if (peer.Host == settings.Self.Host)
      members.Members.push_back(
          Member{peer.Host, settings.Start, settings.Self.At, true});
    else if (it != recent.end() && it->second.Group.isBlank())
      members.Members.push_back(
          Member{peer.Host, it->second.Start, it->second.At, true});
  }
  const HostId &founder =
      std::ranges::min_element(members.Members, {}, &Member::Host)->Host;
  if (founder != settings.Self.Host)
    return std::nullopt;
  if (members.Members.size() == settings.Configured.size())
    return members;
  const bool isMajority =
      members.Members.size() >= majorityOf(settings.Configured.size());
  const bool hasWaited = now >= StartedAt + settings.FormationWait;
  if (settings.Rule == Formation::WhenMajorityBlank && isMajority && hasWaited)
    return members;
  return std::nullopt;
}

std::optional<GroupId> GroupFinder::servingGroup(const Options &settings,
                                                 const GroupId &own,
                                                 Instant now) const {
  for (const auto &[host, seen] : fresh(settings, now))
    if (seen.IsServing && seen.Group != own)
      return seen.Group;
  return std::nullopt;
}

bool GroupFinder::isGroupDead(const Options &settings, const GroupId &own,
                              const Membership &members, Instant now) const {
  const std::map<HostId, Sighting> recent = fresh(settings, now);
  if (members.Members.empty())
    return !recent.empty();
  const auto alive = std::ranges::count_if(
      votersOf(members), [&recent, &own](const Member &voter) {
        const auto it = recent.find(voter.Host);
        return it == recent.end() || !isLost(it->second, own, voter.Start);
      });
  return static_cast<std::size_t>(alive) <
         quorumSize(members, settings.Configured.size());
}

std::set<HostId> GroupFinder::endedMembers(const Options &settings,
                                           const Membership &members,
                                           Instant now) const {
  std::set<HostId> ended;
  for (const auto &[host, seen] : fresh(settings, now)) {
    const Member *member = findMember(members, host);
    if (member != nullptr && seen.Start > member->Start)
      ended.insert(host);
  }
  return ended;
}

} // namespace jujube::consensus
