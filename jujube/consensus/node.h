// One member of a replicated log: a pure decision machine.
//
// Events and times go in, actions come out. The owner is one task; it sends the
// messages, syncs the journal and applies the entries. docs/CONSENSUS.md states
// the rules and why they are safe.
#ifndef JUJUBE_CONSENSUS_NODE_H_
#define JUJUBE_CONSENSUS_NODE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/consensus/actions.h"
#include "jujube/consensus/finder.h"
#include "jujube/consensus/log.h"
#include "jujube/consensus/options.h"
#include "jujube/consensus/types.h"

namespace jujube::consensus {

// The leader's view of another member.
struct Progress {
  Incarnation Start;
  // The newest index that the member is known to hold.
  LogIndex Match;
  // The next index to send.
  LogIndex Next;
  // Messages with entries that are not acknowledged yet.
  std::size_t InFlight = 0;
  // The latest send time, on this leader's clock, that the member acknowledged.
  std::optional<Instant> AckedSend;
  // When the member last acknowledged anything.
  Instant LastHeard;
  Instant NextHeartbeat;
  // The snapshot that is being sent; null if none is.
  std::shared_ptr<const Snapshot> Sending;
  uint64_t SendingOffset = 0;
};

// A member of a group, or a blank host on its way to become one.
class Node {
public:
  // Starts from `initial`, which is blank for diskless nodes. Fails if the
  // options would make leases overlap or the state is not contiguous.
  static Result<Node> create(Options options, DurableState initial,
                             std::mt19937_64 random, Instant now);

  // Does what is due at `now`. The owner calls it once it has handled all
  // waiting events and nextWake() has come.
  Actions tick(Instant now);
  // Handles a message that `from` sent to this host.
  Actions receive(const HostId &from, const Message &message, Instant now);
  // Appends a command if this node may serve, otherwise refuses it. Proposals
  // made before the next tick are sent together.
  Actions propose(uint64_t proposalId, std::string payload, Instant now);
  // Everything up to `serial` is synced.
  Actions persisted(uint64_t serial, Instant now);
  // Removes the voter `gone` and adds `standby`, which has to be probing, as a
  // learner. Refused unless this node leads and the remaining voters are a
  // quorum.
  Result<Actions> replaceMember(const HostId &removed, const HostId &standby,
                                Instant now);
  // Gives up the lease in favour of the voter that holds most of the log; an
  // orderly end of a leader. Does nothing on other roles.
  Actions transferLeadership(Instant now);
  // Replaces the applied entries up to `upTo` by `snapshot`, the state of the
  // owner after exactly these.
  void compact(LogIndex upTo, std::string snapshot);

  // True while this node leads, holds its lease, and has handed out all entries
  // of earlier leaders: what it has applied is the latest acknowledged state.
  bool mayServe(Instant now) const;
  // True once no entry of the log is left unsent or uncommitted.
  bool isQuiet() const { return Commit == Entries.last(); }
  // When tick() is due next; in the past if it is due now.
  Instant nextWake() const;

  Role role() const { return CurrentRole; }
  // Empty while no leader is known.
  const HostId &leader() const { return Leader; }
  // Where the leader takes messages; nothing while no leader is known.
  std::optional<Address> leaderAddress() const;
  Term term() const { return Hard.Current; }
  const GroupId &group() const { return Hard.Group; }
  LogIndex commitIndex() const { return Commit; }
  LogIndex lastIndex() const { return Entries.last(); }
  const Membership &membership() const { return Entries.membership(); }
  // Voters that lately acknowledged this leader, with itself; 0 on other roles.
  std::size_t responsiveVoters(Instant now) const;
  // The send time of the latest message of this leader that a quorum has
  // acknowledged; the default Instant on other roles or if there is none.
  Instant confirmedAt(Instant now) const;
  const HardState &hardState() const { return Hard; }
  const Log &log() const { return Entries; }

private:
  struct DeferredSend {
    uint64_t Serial = 0;
    Send Outgoing;
  };
  struct IncomingSnapshot {
    Snapshot Base;
    Term From;
  };

  Node(Options options, DurableState initial, std::mt19937_64 random,
       Instant now);

  // node.cc: events, actions, persistence.
  Actions finish();
  void persistChanges();
  void sendDeferred();
  void reportRole();
  Message messageTo(Incarnation toStart, Body body) const;
  void send(const HostId &to, const Address &at, Incarnation toStart,
            Body body);
  // Sends once everything that changed so far is synced.
  void sendSynced(const HostId &to, const Address &at, Incarnation toStart,
                  Body body);
  // Answers `request` once everything that changed so far is synced.
  void reply(const HostId &to, const Message &request, Body body);
  void appendLocal(EntryKind kind, std::string payload, Membership members);
  void truncateFrom(LogIndex from);
  void applyCommitted();
  void advanceCommit(LogIndex to);
  void joinGroup(const GroupId &group);
  Address addressOf(const HostId &host) const;
  const Member *self() const;
  bool isVoter() const;
  // True if the leader can be answered. A host that is not a member yet may
  // hear from one that is none of its configured hosts.
  bool knowsLeader() const;
  std::size_t quorum() const;
  Duration randomDelay();
  void dispatch(const HostId &from, const Message &message, Instant now);

  // node_election.cc
  void becomeFollower(Term term, const HostId &leader, Instant now);
  void startPreVote(Instant now);
  void startElection(bool isTransfer, Instant now);
  void becomeLeader(Instant now);
  void dropLostVoters(Instant now);
  void failProposals();
  bool refusesVotes(Instant now) const;
  bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
  void requestVotes(const Body &body, Term at);
  void countVote(const HostId &from, const Message &message, bool isGranted,
                 bool hasConsent);
  bool hasWon(Instant now) const;
  bool isQuorumOf(const std::set<HostId> &votes) const;
  bool canRecover(const std::set<HostId> &votes,
                  const std::set<HostId> &consents, Instant now) const;
  bool canBeElected(Instant now) const;
  void onLeaderContact(const HostId &from, Instant now);
  void handle(const HostId &from, const Message &m, const PreVoteRequest &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const PreVoteReply &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const VoteRequest &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const VoteReply &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const TimeoutNow &body,
              Instant now);
  Instant leaseEnd(Instant now) const;

  // node_replication.cc
  void tickLeader(Instant now);
  void sendEntries(const Member &member, Instant now, bool isHeartbeat);
  void sendChunk(const Member &member, Progress &peer, Instant now);
  void sendAll(Instant now);
  void updateCommit();
  Progress *acknowledge(const HostId &from, const Message &m, int64_t sentAt,
                        Instant now);
  void appendFrom(const AppendRequest &body);
  bool storeChunk(const Message &m, const SnapshotChunk &body);
  void handle(const HostId &from, const Message &m, const AppendRequest &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const AppendReply &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const SnapshotChunk &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const SnapshotReply &body,
              Instant now);

  // node_membership.cc
  void updatePeers();
  bool canChangeMembership() const;
  void changeMembership(Membership next);
  void admitStandbys(Instant now);
  void admit(const HostId &host, const ProbeResult &result, Instant now);
  void promoteLearners(Instant now);
  void replaceSilentVoter(Instant now);
  std::size_t countResponsive(const Membership &members, Instant now) const;
  bool isQuorumWithout(const HostId &excluded, Instant now) const;
  void probe(Instant now);
  void discoverGroup(Instant now);
  void formGroup(Membership members, Instant now);
  void handle(const HostId &from, const Message &m, const Probe &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const ProbeReply &body,
              Instant now);

  Options Settings;
  std::mt19937_64 Random;
  HardState Hard;
  Log Entries;
  LogIndex Commit;
  LogIndex Applied;
  Role CurrentRole = Role::Follower;
  HostId Leader;

  // Votes are refused until then, for the sake of the leader's lease.
  Instant RefuseUntil;
  Instant ElectionAt;
  Instant LastLeaderContact;
  // Of the event being handled.
  Instant Now;
  std::set<HostId> Votes;
  // Members that don't vote and have nothing against the election.
  std::set<HostId> Consents;

  // Leader only.
  std::map<HostId, Progress> Peers;
  std::map<HostId, ProbeResult> Standbys;
  std::map<LogIndex, uint64_t> Proposals;
  Instant ElectedAt;
  // Once applied, this leader may serve.
  LogIndex ReadyIndex;
  bool HasUnsent = false;
  // Elected by all voters that are left, fewer than a quorum; its first changes
  // have to restore one.
  bool IsRecovering = false;
  std::size_t UncommittedBytes = 0;

  std::optional<IncomingSnapshot> Incoming;
  GroupFinder Finder;
  Instant NextProbe;
  bool IsSuperseded = false;

  // Persistence: what changed in the event being handled, and what waits.
  bool HasNewHard = false;
  LogIndex NewTruncateFrom;
  std::optional<LogIndex> NewFrom;
  uint64_t LastSerial = 0;
  uint64_t SyncedSerial = 0;
  // The last index written by each serial that is not synced yet.
  std::deque<std::pair<uint64_t, LogIndex>> Unsynced;
  LogIndex SyncedIndex;
  std::vector<Send> NewDeferredSends;
  std::deque<DeferredSend> DeferredSends;
  Actions PendingActions;
  RoleChanged LastReport;
};

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_NODE_H_
