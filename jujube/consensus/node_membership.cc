// Membership: probes, forming a group, learners and replacements.
#include "jujube/consensus/node.h"

#include <algorithm>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {

void Node::updatePeers() {
  const Membership &members = Entries.membership();
  std::erase_if(Peers, [&](const auto &it) {
    const Member *member = findMember(members, it.first);
    return member == nullptr ||
           member->HostIncarnation != it.second.HostIncarnation;
  });
  for (const Member &member : members.Members) {
    if (member.Host == Settings.Self.Host || Peers.contains(member.Host))
      continue;
    Progress peer;
    peer.HostIncarnation = member.HostIncarnation;
    peer.Next = Entries.last().next();
    peer.LastHeard = Now;
    peer.NextHeartbeat = Now;
    Peers.emplace(member.Host, std::move(peer));
  }
}

bool Node::canChangeMembership() const {
  if (IsRecovering)
    return true;
  return mayServe(Now) && Commit >= Entries.membershipIndex();
}

void Node::changeMembership(Membership next) {
  appendLocal(EntryKind::Membership, {}, std::move(next));
  updatePeers();
  updateCommit();
}

void Node::admitStandbys(Instant now) {
  for (auto it = Standbys.begin(); it != Standbys.end();) {
    if (now - it->second.ReceivedAt > Settings.ProbePeriod * 4) {
      it = Standbys.erase(it);
      continue;
    }
    if (canChangeMembership())
      admit(it->first, it->second, now);
    ++it;
  }
}

void Node::admit(const HostId &host, const ProbeResult &result, Instant now) {
  Membership next = Entries.membership();
  const auto it = std::ranges::find(next.Members, host, &Member::Host);
  const bool isConfigured = std::ranges::any_of(
      Settings.Configured, [&](const Peer &peer) { return peer.Host == host; });
  if (it == next.Members.end()) {
    const bool canAdmitUnknown = Settings.AdmitsUnknownHosts &&
                                 next.Members.size() < targetVoters(Settings);
    if (!isConfigured && !canAdmitUnknown)
      return;
    next.Members.push_back(
        Member{host, result.HostIncarnation, result.At, false});
    return changeMembership(std::move(next));
  }
  if (result.HostIncarnation < it->HostIncarnation ||
      (result.HostIncarnation == it->HostIncarnation && result.At == it->At))
    return;
  if (result.HostIncarnation == it->HostIncarnation) {
    it->At = result.At;
    return changeMembership(std::move(next));
  }
  if (it->IsVoter && !IsRecovering && !isQuorumWithout(host, now))
    return;
  *it = Member{host, result.HostIncarnation, result.At, false};
  changeMembership(std::move(next));
}

std::size_t Node::countResponsive(const Membership &members,
                                  Instant now) const {
  const auto n =
      std::ranges::count_if(votersOf(members), [&](const Member &member) {
        if (member.Host == Settings.Self.Host)
          return true;
        const auto it = Peers.find(member.Host);
        return it != Peers.end() &&
               now - it->second.LastHeard <= voteRefusal(Settings);
      });
  return static_cast<std::size_t>(n);
}

std::size_t Node::responsiveVoters(Instant now) const {
  return CurrentRole == Role::Leader
             ? countResponsive(Entries.membership(), now)
             : 0;
}

bool Node::isQuorumWithout(const HostId &excluded, Instant now) const {
  Membership rest = Entries.membership();
  std::erase_if(rest.Members,
                [&](const Member &member) { return member.Host == excluded; });
  return countResponsive(rest, now) >=
         quorumSize(rest, Settings.Configured.size());
}

void Node::promoteLearners(Instant now) {
  if (!canChangeMembership() ||
      voterCount(Entries.membership()) >= targetVoters(Settings))
    return;
  // During recovery, promotions stop once the voters form a quorum again.
  // Further promotions wait until these membership changes are committed.
  if (IsRecovering && voterCount(Entries.membership()) >= quorum())
    return;
  Membership next = Entries.membership();
  const auto it = std::ranges::find_if(next.Members, [&](const Member &member) {
    const auto peer = Peers.find(member.Host);
    if (member.IsVoter || peer == Peers.end())
      return false;
    const LogIndex needed = IsRecovering ? ReadyIndex : Commit;
    const LearnerView view{peer->second.Match, Entries.last(), needed,
                           now - peer->second.LastHeard};
    return isCaughtUp(view) && Settings.CanPromote(view);
  });
  if (it == next.Members.end())
    return;
  it->IsVoter = true;
  changeMembership(std::move(next));
}

void Node::replaceSilentVoter(Instant now) {
  if (Settings.Rule == Formation::WhenMajorityEmpty || !canChangeMembership())
    return;
  const auto silent = std::ranges::find_if(Peers, [&](const auto &it) {
    const Member *member = findMember(Entries.membership(), it.first);
    return member != nullptr && member->IsVoter &&
           now - it.second.LastHeard > Settings.ReplaceAfter;
  });
  const auto standby = std::ranges::find_if(Standbys, [&](const auto &it) {
    return findMember(Entries.membership(), it.first) == nullptr;
  });
  if (silent == Peers.end() || standby == Standbys.end() ||
      !isQuorumWithout(silent->first, now))
    return;
  const HostId removed = silent->first;
  Membership next = Entries.membership();
  std::erase_if(next.Members,
                [&](const Member &member) { return member.Host == removed; });
  next.Members.push_back(Member{standby->first, standby->second.HostIncarnation,
                                standby->second.At, false});
  changeMembership(std::move(next));
}

Result<Actions> Node::replaceMember(const HostId &removed,
                                    const HostId &standby, Instant now) {
  Now = now;
  const Member *member = findMember(Entries.membership(), removed);
  const auto successor = Standbys.find(standby);
  if (!mayServe(now))
    return Error{ErrorKind::NotLeader,
                 "this host is not the leader of its group",
                 "send the change to the leader"};
  if (Settings.Rule == Formation::WhenMajorityEmpty)
    return Error{
        ErrorKind::InvalidArgument,
        "members of a diskless group can't be replaced by another host id",
        "start the new host under the id " + removed.str()};
  if (!canChangeMembership())
    return Error{ErrorKind::Unavailable,
                 "another membership change is in progress", "retry later"};
  if (member == nullptr || removed == Settings.Self.Host ||
      successor == Standbys.end() ||
      findMember(Entries.membership(), standby) != nullptr)
    return Error{ErrorKind::NotFound,
                 removed.str() + " can't be replaced by host " + standby.str(),
                 "name a member other than the leader, and a running host "
                 "that is not a member"};
  if (member->IsVoter && !isQuorumWithout(removed, now))
    return Error{ErrorKind::Unavailable,
                 "the responsive remaining voters are not a quorum",
                 "retry once the other members are reachable"};
  Membership next = Entries.membership();
  std::erase_if(next.Members,
                [&](const Member &it) { return it.Host == removed; });
  next.Members.push_back(Member{standby, successor->second.HostIncarnation,
                                successor->second.At, false});
  changeMembership(std::move(next));
  return finish();
}

void Node::probe(Instant now) {
  NextProbe = now + Settings.ProbePeriod;
  const uint64_t nonce = Finder.beginRound();
  std::map<HostId, Address> targets;
  for (const Peer &peer : Settings.Configured)
    targets.emplace(peer.Host, addressOf(peer.Host));
  for (const Member &member : Entries.membership().Members)
    targets.emplace(member.Host, member.At);
  // Only the leader admits hosts, and the leader may be neither a configured
  // host nor a known member.
  for (const Peer &leader : Finder.leaders(Settings, now))
    targets.emplace(leader.Host, leader.At);
  targets.erase(Settings.Self.Host);
  for (const auto &[host, at] : targets)
    send(host, at, Incarnation{}, Probe{nonce, Settings.Self.At});
}

void Node::discoverGroup(Instant now) {
  if (now >= NextProbe)
    probe(now);
  if (Hard.Group.isBlank()) {
    if (std::optional<Membership> members =
            Finder.initialMembers(Settings, now))
      formGroup(std::move(*members), now);
    return;
  }
  const bool isDiskless = Settings.Rule == Formation::WhenMajorityEmpty;
  const bool hasWaited = now >= LastLeaderContact + Settings.FormationWait;
  const bool isReplaced =
      Finder.servingGroup(Settings, Hard.Group, now).has_value();
  const bool isUnrecoverable =
      isDiskless && hasWaited &&
      Finder.isGroupUnrecoverable(Settings, Hard.Group, Entries.membership(),
                                  canBeElected(now), now);
  if (!isReplaced && !isUnrecoverable)
    return;
  IsSuperseded = true;
  PendingActions.emplace_back(Superseded{Hard.Group});
}

void Node::formGroup(Membership members, Instant now) {
  joinGroup(GroupId{Settings.Self.Host, Settings.HostIncarnation});
  Hard.Current = Term{1};
  Hard.VotedFor = Settings.Self.Host;
  Hard.VotedForIncarnation = Settings.HostIncarnation;
  CurrentRole = Role::Leader;
  Leader = Settings.Self.Host;
  ElectedAt = now;
  appendLocal(EntryKind::Membership, {}, std::move(members));
  ReadyIndex = Entries.last();
  updatePeers();
  // The other initial members hold no entries yet.
  for (auto &[host, peer] : Peers)
    peer.Next = LogIndex{1};
  updateCommit();
  sendAll(now);
}

void Node::handle(const HostId &from, const Message &m, const Probe &body,
                  Instant now) {
  if (m.FromIncarnation.Value == 0)
    return;
  const bool mayJoin = m.Group.isBlank() || m.Group == Hard.Group;
  if (CurrentRole == Role::Leader && mayJoin)
    Standbys[from] =
        ProbeResult{m.FromIncarnation, m.Group, body.At, false, false, now};
  ProbeReply response{body.Nonce, Settings.Self.At, mayServe(now),
                      canBeElected(now)};
  if (!Leader.empty())
    response.Leader = {Leader, addressOf(Leader)};
  sendSynced(from, body.At, m.FromIncarnation, response);
  if (CurrentRole == Role::Leader)
    admitStandbys(now);
}

void Node::handle(const HostId &from, const Message &m, const ProbeReply &body,
                  Instant now) {
  Finder.recordReply(from, m, body, now);
  if (CurrentRole != Role::Leader && Leader.empty())
    discoverGroup(now);
}

} // namespace jujube::consensus
