// Elections: pre-vote, vote, leadership transfer, and the leader lease.
#include "jujube/consensus/node.h"

#include <algorithm>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {

void Node::becomeFollower(Term term, const HostId &leader, Instant now) {
  if (term > Hard.Current) {
    Hard.Current = term;
    Hard.VotedFor = HostId();
    Hard.VotedForIncarnation = Incarnation{};
    HasNewHard = true;
  }
  if (CurrentRole == Role::Leader) {
    failProposals();
    Peers.clear();
    HasUnsent = false;
    IsRecovering = false;
    LastLeaderContact = now;
    NextProbe = now;
    ElectionAt = now + voteRefusal(Settings) + randomDelay();
  }
  CurrentRole = Role::Follower;
  Leader = leader;
  Votes.clear();
}

void Node::failProposals() {
  for (const auto &[index, id] : Proposals)
    PendingActions.emplace_back(ProposalUnresolved{id});
  Proposals.clear();
  UncommittedBytes = 0;
}

void Node::onLeaderContact(const HostId &from, Instant now) {
  Leader = from;
  LastLeaderContact = now;
  RefuseUntil = std::max(RefuseUntil, now + voteRefusal(Settings));
  ElectionAt = RefuseUntil + randomDelay();
}

Instant Node::confirmedAt(Instant now) const {
  const Instant none;
  if (CurrentRole != Role::Leader)
    return none;
  return quorumValue<Instant>(
      Entries.membership(), quorum(),
      [&](const Member &member) {
        if (member.Host == Settings.Self.Host)
          return now;
        const auto it = Peers.find(member.Host);
        return it == Peers.end() ? none : it->second.AckedSend.value_or(none);
      },
      none);
}

Instant Node::leaseEnd(Instant now) const {
  const Instant none;
  const Instant confirmed = confirmedAt(now);
  return confirmed == none ? none : confirmed + Settings.Lease;
}

bool Node::mayServe(Instant now) const {
  return CurrentRole == Role::Leader && Applied >= ReadyIndex &&
         now < leaseEnd(now);
}

bool Node::refusesVotes(Instant now) const {
  if (CurrentRole == Role::Leader)
    return now < std::max(leaseEnd(now), ElectedAt + voteRefusal(Settings));
  return now < RefuseUntil;
}

bool Node::isUpToDate(LogIndex lastIndex, Term lastTerm) const {
  return std::pair(lastTerm, lastIndex) >=
         std::pair(Entries.lastTerm(), Entries.last());
}

void Node::requestVotes(const Body &body, Term at) {
  for (const Member &member : Entries.membership().Members) {
    if (member.Host == Settings.Self.Host)
      continue;
    sendSynced(member.Host, member.At, member.HostIncarnation, body);
    NewDeferredSends.back().What.At = at;
  }
}

void Node::startPreVote(Instant now) {
  CurrentRole = Role::PreCandidate;
  Votes = {Settings.Self.Host};
  Consents.clear();
  if (hasWon(now))
    return startElection(/*isTransfer=*/false, now);
  requestVotes(PreVoteRequest{Entries.last(), Entries.lastTerm()},
               Hard.Current.next());
}

void Node::startElection(bool isTransfer, Instant now) {
  CurrentRole = Role::Candidate;
  Leader = HostId();
  Hard.Current = Hard.Current.next();
  Hard.VotedFor = Settings.Self.Host;
  Hard.VotedForIncarnation = Settings.HostIncarnation;
  HasNewHard = true;
  Votes = {Settings.Self.Host};
  Consents.clear();
  ElectionAt = now + voteRefusal(Settings) / 2 + randomDelay();
  if (hasWon(now))
    return becomeLeader(now);
  requestVotes(VoteRequest{Entries.last(), Entries.lastTerm(), isTransfer},
               Hard.Current);
}

void Node::countVote(const HostId &from, const Message &message, bool isGranted,
                     bool hasConsent) {
  const Member *member = findMember(Entries.membership(), from);
  if (member == nullptr || member->HostIncarnation != message.FromIncarnation)
    return;
  if (isGranted)
    Votes.insert(from);
  if (hasConsent)
    Consents.insert(from);
}

bool Node::isQuorumOf(const std::set<HostId> &votes) const {
  return countVoters(Entries.membership(), votes) >= quorum();
}

// True if this host may win without a quorum of votes: the voters that granted
// their votes intersect every quorum, every other voter is lost, and every
// learner confirmed that it has not become a voter.
bool Node::canRecover(const std::set<HostId> &votes,
                      const std::set<HostId> &consents, Instant now) const {
  const Membership &members = Entries.membership();
  if (Settings.Rule != Formation::WhenMajorityEmpty ||
      countVoters(members, votes) + quorum() <= voterCount(members) ||
      Finder.lacksHostMajority(Settings, Hard.Group, now))
    return false;
  const std::set<HostId> lost =
      Finder.lostMembers(Settings, Hard.Group, members, now);
  return std::ranges::all_of(members.Members, [&](const Member &member) {
    const std::set<HostId> &others = member.IsVoter ? lost : consents;
    return votes.contains(member.Host) || others.contains(member.Host);
  });
}

bool Node::hasWon(Instant now) const {
  return isQuorumOf(Votes) || canRecover(Votes, Consents, now);
}

// True if this host would win the election if every member that is not known to
// be lost granted its vote.
bool Node::canBeElected(Instant now) const {
  if (!isVoter())
    return false;
  const Membership &members = Entries.membership();
  const std::set<HostId> lost =
      Finder.lostMembers(Settings, Hard.Group, members, now);
  std::set<HostId> votes;
  for (const Member &member : members.Members)
    if (!lost.contains(member.Host))
      votes.insert(member.Host);
  return isQuorumOf(votes) || canRecover(votes, votes, now);
}

void Node::becomeLeader(Instant now) {
  IsRecovering = !isQuorumOf(Votes);
  CurrentRole = Role::Leader;
  Leader = Settings.Self.Host;
  ElectedAt = now;
  Peers.clear();
  Standbys.clear();
  UncommittedBytes = 0;
  updatePeers();
  appendLocal(EntryKind::Noop, {}, {});
  ReadyIndex = Entries.last();
  if (IsRecovering)
    dropLostVoters(now);
  updateCommit();
  sendAll(now);
}

void Node::dropLostVoters(Instant now) {
  Membership next = Entries.membership();
  const std::set<HostId> lost =
      Finder.lostMembers(Settings, Hard.Group, next, now);
  std::erase_if(next.Members, [&](const Member &member) {
    return member.IsVoter && lost.contains(member.Host);
  });
  changeMembership(std::move(next));
}

void Node::handle(const HostId &from, const Message &m,
                  const PreVoteRequest &body, Instant now) {
  const bool canGrant = !refusesVotes(now) && m.At > Hard.Current;
  const bool isGranted = canGrant && isUpToDate(body.LastIndex, body.LastTerm);
  reply(from, m, PreVoteReply{m.At, isGranted, canGrant && !isVoter()});
}

void Node::handle(const HostId &from, const Message &m,
                  const PreVoteReply &body, Instant now) {
  if (CurrentRole != Role::PreCandidate || body.For != Hard.Current.next())
    return;
  countVote(from, m, body.IsGranted, body.HasConsent);
  if (hasWon(now))
    startElection(/*isTransfer=*/false, now);
}

void Node::handle(const HostId &from, const Message &m, const VoteRequest &body,
                  Instant now) {
  if (m.At < Hard.Current || (refusesVotes(now) && !body.IsTransfer))
    return reply(from, m, VoteReply{});
  if (m.At > Hard.Current)
    becomeFollower(m.At, HostId(), now);
  const bool hasVoted = !Hard.VotedFor.empty();
  const bool isSame =
      Hard.VotedFor == from && Hard.VotedForIncarnation == m.FromIncarnation;
  const bool isGranted =
      (isSame || !hasVoted) && isUpToDate(body.LastIndex, body.LastTerm);
  if (isGranted && !hasVoted) {
    CurrentRole = Role::Follower;
    Hard.VotedFor = from;
    Hard.VotedForIncarnation = m.FromIncarnation;
    HasNewHard = true;
    ElectionAt = now + voteRefusal(Settings) + randomDelay();
  }
  reply(from, m, VoteReply{isGranted, !isVoter()});
}

void Node::handle(const HostId &from, const Message &m, const VoteReply &body,
                  Instant now) {
  if (CurrentRole != Role::Candidate || m.At != Hard.Current)
    return;
  countVote(from, m, body.IsGranted, body.HasConsent);
  if (hasWon(now))
    becomeLeader(now);
}

void Node::handle(const HostId &from, const Message &m, const TimeoutNow &,
                  Instant now) {
  if (m.At == Hard.Current && from == Leader && isVoter() &&
      CurrentRole == Role::Follower)
    startElection(/*isTransfer=*/true, now);
}

Actions Node::transferLeadership(Instant now) {
  Now = now;
  if (CurrentRole != Role::Leader)
    return finish();
  const Member *target = nullptr;
  for (const Member &member : Entries.membership().Members) {
    const auto it = Peers.find(member.Host);
    if (!member.IsVoter || it == Peers.end())
      continue;
    if (target == nullptr || it->second.Match > Peers[target->Host].Match)
      target = &member;
  }
  if (target != nullptr)
    send(target->Host, target->At, target->HostIncarnation, TimeoutNow{});
  becomeFollower(Hard.Current, HostId(), now);
  return finish();
}

} // namespace jujube::consensus
