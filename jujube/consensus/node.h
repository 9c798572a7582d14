// A member of a replicated log, as a deterministic state machine without I/O.
//
// Each event is passed in with its time and returns a list of actions. The
// owner, a single task, carries them out: it sends the messages, syncs the
// journal and applies the entries. docs/CONSENSUS.md states the rules of the
// protocol and why they are safe.
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

// The leader's record of another member.
struct Progress {
  Incarnation HostIncarnation;
  // The highest index that the member is known to hold.
  LogIndex Match;
  // The next index to send.
  LogIndex Next;
  // Number of messages with entries that are not acknowledged yet.
  std::size_t InFlight = 0;
  // Send time, on this leader's clock, of the latest message that the member
  // acknowledged.
  std::optional<Instant> AckedSend;
  // When the member last acknowledged anything.
  Instant LastHeard;
  Instant NextHeartbeat;
  // The snapshot that is being sent; null if there is none.
  std::shared_ptr<const Snapshot> Sending;
  uint64_t SendingOffset = 0;
};

// A member of a group, or a blank host that tries to join or form a group.
class Node {
public:
  // Starts from `initial`, which is blank for diskless nodes. Fails if the
  // options are invalid (see checkOptions) or the entries are not contiguous.
  static Result<Node> create(Options options, DurableState initial,
                             std::mt19937_64 random, Instant now);

  // Runs the timers that are due at `now`. The owner calls tick() at
  // nextWake(), after it has handled all waiting events.
  Actions tick(Instant now);
  // Handles a message that `from` sent to this host.
  Actions receive(const HostId &from, const Message &message, Instant now);
  // Appends a command if mayServe(); otherwise returns ProposalRefused, as it
  // does if the payload or the uncommitted entries are too large. Proposals
  // made before the next tick() are sent in one batch.
  Actions propose(uint64_t proposalId, std::string payload, Instant now);
  // Reports that all Persist and RestoreSnapshot actions up to `serial` are
  // synced.
  Actions persisted(uint64_t serial, Instant now);
  // Removes the member `removed` and adds `standby`, a non-member that
  // currently probes this leader, as a learner. Fails unless this node may
  // serve and, if `removed` is a voter, the responsive remaining voters form a
  // quorum. Also fails for diskless groups and during another membership
  // change.
  Result<Actions> replaceMember(const HostId &removed, const HostId &standby,
                                Instant now);
  // Steps down and asks the voter with the most complete log to start an
  // election at once. Does nothing unless this node leads.
  Actions transferLeadership(Instant now);
  // Replaces the entries up to `upTo` by `snapshot`, the state of the owner
  // after it applied exactly these entries. Does nothing if `upTo` is not
  // applied yet or is covered by the current snapshot.
  void compact(LogIndex upTo, std::string snapshot);

  // True while this node leads, holds its lease, and has delivered all entries
  // of earlier leaders. The applied state is then the latest acknowledged
  // state.
  bool mayServe(Instant now) const;
  // True if every entry of the log is committed.
  bool isFullyCommitted() const { return Commit == Entries.last(); }
  // When tick() is due next; in the past if tick() is due now.
  Instant nextWake() const;

  Role role() const { return CurrentRole; }
  // Empty while no leader is known.
  const HostId &leader() const { return Leader; }
  // Address at which the leader receives messages; nothing while no leader is
  // known.
  std::optional<Address> leaderAddress() const;
  Term term() const { return Hard.Current; }
  const GroupId &group() const { return Hard.Group; }
  LogIndex commitIndex() const { return Commit; }
  LogIndex lastIndex() const { return Entries.last(); }
  const Membership &membership() const { return Entries.membership(); }
  // Number of voters, including this node, whose last acknowledgement is not
  // older than voteRefusal(); 0 unless this node leads.
  std::size_t responsiveVoters(Instant now) const;
  // The send time of the latest message of this leader that a quorum has
  // acknowledged; the default Instant if there is none or this node does not
  // lead.
  Instant confirmedAt(Instant now) const;
  const HardState &hardState() const { return Hard; }
  const Log &log() const { return Entries; }

private:
  // A message to send once all actions up to `Serial` are synced.
  struct DeferredSend {
    uint64_t Serial = 0;
    Send Outgoing;
  };
  // A partially received snapshot, and the term of the leader that sends it.
  struct IncomingSnapshot {
    Snapshot Base;
    Term From;
  };

  Node(Options options, DurableState initial, std::mt19937_64 random,
       Instant now);

  // Defined in node.cc: events, actions, persistence.

  // Completes the handling of an event and returns its actions.
  Actions finish();
  void persistChanges();
  void sendDeferred();
  void reportRole();
  Message messageTo(Incarnation toStart, Body body) const;
  void send(const HostId &to, const Address &at, Incarnation toStart,
            Body body);
  // Sends the message once all changes made so far are synced.
  void sendSynced(const HostId &to, const Address &at, Incarnation toStart,
                  Body body);
  // Replies to `request` once all changes made so far are synced.
  void reply(const HostId &to, const Message &request, Body body);
  void appendLocal(EntryKind kind, std::string payload, Membership members);
  void truncateFrom(LogIndex from);
  void applyCommitted();
  void advanceCommit(LogIndex to);
  void joinGroup(const GroupId &group);
  Address addressOf(const HostId &host) const;
  const Member *self() const;
  bool isVoter() const;
  // True if a leader and its address are known. A host that is not a member yet
  // may hear from a leader that is not one of its configured hosts.
  bool knowsLeader() const;
  std::size_t quorum() const;
  Duration randomDelay();
  void dispatch(const HostId &from, const Message &message, Instant now);

  // Defined in node_election.cc.

  void becomeFollower(Term term, const HostId &leader, Instant now);
  void startPreVote(Instant now);
  void startElection(bool isTransfer, Instant now);
  void becomeLeader(Instant now);
  void dropLostVoters(Instant now);
  // Reports all uncommitted proposals as unresolved.
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

  // Defined in node_replication.cc.

  void tickLeader(Instant now);
  void sendEntries(const Member &member, Instant now, bool isHeartbeat);
  void sendChunk(const Member &member, Progress &peer, Instant now);
  void sendAll(Instant now);
  void updateCommit();
  // Records an acknowledgement and returns the progress of the sender; null if
  // the acknowledgement does not count.
  Progress *acknowledge(const HostId &from, const Message &m, int64_t sentAt,
                        Instant now);
  void appendFrom(const AppendRequest &body);
  // Returns true once the snapshot is complete and restored.
  bool storeChunk(const Message &m, const SnapshotChunk &body);
  void handle(const HostId &from, const Message &m, const AppendRequest &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const AppendReply &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const SnapshotChunk &body,
              Instant now);
  void handle(const HostId &from, const Message &m, const SnapshotReply &body,
              Instant now);

  // Defined in node_membership.cc.

  // Makes Peers match the latest membership.
  void updatePeers();
  bool canChangeMembership() const;
  void changeMembership(Membership next);
  void admitStandbys(Instant now);
  // Adds `host` as a learner, or updates the incarnation or address of a
  // member.
  void admit(const HostId &host, const ProbeResult &result, Instant now);
  void promoteLearners(Instant now);
  void replaceSilentVoter(Instant now);
  // Number of voters among `members` that acknowledged within voteRefusal().
  std::size_t countResponsive(const Membership &members, Instant now) const;
  // True if the responsive voters other than `excluded` are a quorum.
  bool isQuorumWithout(const HostId &excluded, Instant now) const;
  // Sends a probe to every known host.
  void probe(Instant now);
  // Probes for a group. Depending on the replies, forms a new group or reports
  // that this node is superseded.
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

  // Votes are refused until this time, because a leader's lease may still be
  // valid.
  Instant RefuseUntil;
  Instant ElectionAt;
  Instant LastLeaderContact;
  // Time of the event being handled.
  Instant Now;
  std::set<HostId> Votes;
  // Members that replied with HasConsent.
  std::set<HostId> Consents;

  // Set on the leader only.
  std::map<HostId, Progress> Peers;
  // Hosts that recently probed this leader and may be admitted.
  std::map<HostId, ProbeResult> Standbys;
  // The ids of uncommitted proposals by the index of their entries.
  std::map<LogIndex, uint64_t> Proposals;
  Instant ElectedAt;
  // The leader may serve only once this entry is applied.
  LogIndex ReadyIndex;
  bool HasUnsent = false;
  // Elected by all remaining voters, which are fewer than a quorum. The leader
  // first has to change the membership so that it has a quorum again.
  bool IsRecovering = false;
  std::size_t UncommittedBytes = 0;

  std::optional<IncomingSnapshot> Incoming;
  GroupFinder Finder;
  Instant NextProbe;
  bool IsSuperseded = false;

  // Persistence: the changes made by the event being handled, and the messages
  // that wait for a sync.
  bool HasNewHard = false;
  LogIndex NewTruncateFrom;
  std::optional<LogIndex> NewFrom;
  uint64_t LastSerial = 0;
  uint64_t SyncedSerial = 0;
  // Each serial that is not synced yet, with the last log index that it covers.
  std::deque<std::pair<uint64_t, LogIndex>> Unsynced;
  LogIndex SyncedIndex;
  std::vector<Send> NewDeferredSends;
  std::deque<DeferredSend> DeferredSends;
  Actions PendingActions;
  RoleChanged LastReport;
};

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_NODE_H_
