#include "jujube/consensus/finder.h"

#include <algorithm>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {

namespace {

// Number of probe periods after which the result of a probe expires.
constexpr int64_t ResultLifetimePeriods = 3;

} // namespace

void GroupFinder::recordReply(const HostId &from, const Message &message,
                              const ProbeReply &reply, Instant now) {
  if (reply.Nonce != LastNonce)
    return;
  ProbeResult &result = ProbeResults[from];
  if (message.FromIncarnation < result.HostIncarnation)
    return;
  result = ProbeResult{
      message.FromIncarnation, message.Group, reply.At,    reply.IsServing,
      reply.CanBeElected,      now,           reply.Leader};
}

std::map<HostId, ProbeResult>
GroupFinder::recentResults(const Options &settings, Instant now) const {
  std::map<HostId, ProbeResult> recent;
  for (const auto &[host, result] : ProbeResults)
    if (now - result.ReceivedAt <= settings.ProbePeriod * ResultLifetimePeriods)
      recent.emplace(host, result);
  return recent;
}

std::vector<Peer> GroupFinder::leaders(const Options &settings,
                                       Instant now) const {
  std::vector<Peer> named;
  for (const auto &[host, result] : recentResults(settings, now))
    if (!result.Leader.Host.empty())
      named.push_back(result.Leader);
  return named;
}

std::optional<Address> GroupFinder::addressOf(const HostId &leader) const {
  const auto it = std::ranges::find_if(ProbeResults, [&](const auto &entry) {
    return entry.second.Leader.Host == leader;
  });
  return it == ProbeResults.end() ? std::nullopt
                                  : std::optional(it->second.Leader.At);
}

std::optional<Membership> GroupFinder::initialMembers(const Options &settings,
                                                      Instant now) const {
  // Until the refusal time has passed, the lease of a leader of an earlier
  // group may rely on acknowledgements of an earlier incarnation of this host.
  if (settings.Rule == Formation::Never ||
      now < StartedAt + voteRefusal(settings))
    return std::nullopt;
  const std::map<HostId, ProbeResult> recent = recentResults(settings, now);
  if (std::ranges::any_of(recent,
                          [](const auto &it) { return it.second.IsServing; }))
    return std::nullopt;
  Membership members;
  for (const Peer &peer : settings.Configured) {
    const auto it = recent.find(peer.Host);
    if (peer.Host == settings.Self.Host)
      members.Members.push_back(
          Member{peer.Host, settings.HostIncarnation, settings.Self.At, true});
    else if (it != recent.end() && it->second.Group.isBlank())
      members.Members.push_back(
          Member{peer.Host, it->second.HostIncarnation, it->second.At, true});
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
  if (settings.Rule == Formation::WhenMajorityEmpty && isMajority && hasWaited)
    return members;
  return std::nullopt;
}

std::optional<GroupId> GroupFinder::servingGroup(const Options &settings,
                                                 const GroupId &own,
                                                 Instant now) const {
  for (const auto &[host, result] : recentResults(settings, now))
    if (result.IsServing && result.Group != own)
      return result.Group;
  return std::nullopt;
}

bool GroupFinder::isGroupUnrecoverable(const Options &settings,
                                       const GroupId &own,
                                       const Membership &members,
                                       bool canBeElected, Instant now) const {
  const std::map<HostId, ProbeResult> recent = recentResults(settings, now);
  const auto isPossibleMember = [&](const Peer &peer) {
    const auto it = recent.find(peer.Host);
    if (it == recent.end() || it->second.Group == own)
      return true;
    // A blank host that is a member in its present incarnation may still join.
    const Member *listed = findMember(members, peer.Host);
    return it->second.Group.isBlank() && listed != nullptr &&
           listed->HostIncarnation == it->second.HostIncarnation;
  };
  const auto possible =
      std::ranges::count_if(settings.Configured, isPossibleMember);
  if (static_cast<std::size_t>(possible) <
      majorityOf(settings.Configured.size()))
    return true;
  return std::ranges::all_of(settings.Configured, [&](const Peer &peer) {
    if (peer.Host == settings.Self.Host)
      return !canBeElected;
    const auto it = recent.find(peer.Host);
    return it != recent.end() &&
           (it->second.Group != own || !it->second.CanBeElected);
  });
}

bool GroupFinder::lacksHostMajority(const Options &settings, const GroupId &own,
                                    Instant now) const {
  const std::map<HostId, ProbeResult> recent = recentResults(settings, now);
  const auto possible =
      std::ranges::count_if(settings.Configured, [&](const Peer &peer) {
        const auto it = recent.find(peer.Host);
        return it == recent.end() || it->second.Group.isBlank() ||
               it->second.Group == own;
      });
  return static_cast<std::size_t>(possible) <
         majorityOf(settings.Configured.size());
}

std::set<HostId> GroupFinder::lostMembers(const Options &settings,
                                          const GroupId &own,
                                          const Membership &members,
                                          Instant now) const {
  std::set<HostId> lost;
  for (const auto &[host, result] : recentResults(settings, now)) {
    const Member *member = findMember(members, host);
    if (member == nullptr || result.HostIncarnation < member->HostIncarnation)
      continue;
    const bool isInOtherGroup = !result.Group.isBlank() && result.Group != own;
    if (result.HostIncarnation > member->HostIncarnation || isInOtherGroup)
      lost.insert(host);
  }
  return lost;
}

} // namespace jujube::consensus
