// Data types of the replicated log: entries, membership, messages between
// members, and the state that has to survive a restart.
#ifndef JUJUBE_CONSENSUS_TYPES_H_
#define JUJUBE_CONSENSUS_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"

namespace jujube::consensus {

// The role of a member in its group, as in Raft.
enum class Role { Follower, PreCandidate, Candidate, Leader };

inline constexpr NameTable<Role, 4> RoleNames = {{
    {Role::Follower, "follower"},
    {Role::PreCandidate, "pre_candidate"},
    {Role::Candidate, "candidate"},
    {Role::Leader, "leader"},
}};
static_assert(isComplete(RoleNames));

// The kind of content of a log entry.
enum class EntryKind {
  // A command of the owner, opaque to this library and applied once committed.
  Command,
  // A new membership, in force as soon as the entry is appended.
  Membership,
  // Appended by each new leader to commit the entries of earlier terms.
  Noop,
};

inline constexpr NameTable<EntryKind, 3> EntryKindNames = {{
    {EntryKind::Command, "command"},
    {EntryKind::Membership, "membership"},
    {EntryKind::Noop, "noop"},
}};
static_assert(isComplete(EntryKindNames));

// The condition under which blank hosts, which belong to no group, may form a
// new one.
enum class Formation {
  // The host only joins an existing group.
  Never,
  // All configured hosts have to be reachable and blank. For durable hosts,
  // whose state survives a restart.
  WhenAllEmpty,
  // A majority of the configured hosts has to be blank, which proves that no
  // earlier group has a quorum left. For diskless hosts.
  WhenMajorityEmpty,
};

inline constexpr NameTable<Formation, 3> FormationNames = {{
    {Formation::Never, "never"},
    {Formation::WhenAllEmpty, "when_all_blank"},
    {Formation::WhenMajorityEmpty, "when_majority_blank"},
}};
static_assert(isComplete(FormationNames));

// The host id and address of a potential member of a group.
struct Peer {
  HostId Host;
  Address At;

  bool operator==(const Peer &) const = default;
};

// Identifies a group. A host forms at most one group in each incarnation, so
// two groups never share an id.
struct GroupId {
  HostId Founder;
  Incarnation FounderIncarnation;

  bool isBlank() const { return Founder.empty(); }
  auto operator<=>(const GroupId &) const = default;
};

// A member of a group. The incarnation is part of the member's identity: votes
// and acknowledgements from another incarnation of the host do not count.
struct Member {
  HostId Host;
  Incarnation HostIncarnation;
  Address At;
  // False for a learner, which receives the log but does not count towards a
  // quorum.
  bool IsVoter = false;

  bool operator==(const Member &) const = default;
};

// The members of a group; at most one for each host.
struct Membership {
  std::vector<Member> Members;

  bool operator==(const Membership &) const = default;
};

// An entry of the replicated log.
struct LogEntry {
  LogIndex Index;
  // Term of the leader that appended the entry.
  Term At;
  EntryKind Kind = EntryKind::Command;
  // Set for commands only.
  std::string Payload;
  // Set for memberships only.
  Membership Members;

  bool operator==(const LogEntry &) const = default;
};

// State that a member has to retain for as long as its incarnation lasts.
struct HardState {
  GroupId Group;
  Term Current;
  // Empty if the member has not voted in the current term.
  HostId VotedFor;
  Incarnation VotedForIncarnation;

  bool operator==(const HardState &) const = default;
};

// The state of the owner after it applied all entries up to `Last`.
struct Snapshot {
  LogIndex Last;
  Term LastTerm;
  // The membership in force at `Last`.
  Membership Members;
  std::string Data;

  bool operator==(const Snapshot &) const = default;
};

// The state from which a member starts; all defaults for a blank host.
struct DurableState {
  HardState Hard;
  std::optional<Snapshot> LatestSnapshot;
  // Contiguous, from the entry after the snapshot.
  std::vector<LogEntry> Entries;

  bool operator==(const DurableState &) const = default;
};

// Asks whether the receiver would vote for the sender in term `Message::At`.
// Changes no state on the receiver.
struct PreVoteRequest {
  LogIndex LastIndex;
  Term LastTerm;
  bool operator==(const PreVoteRequest &) const = default;
};
struct PreVoteReply {
  // The term of the proposed election.
  Term For;
  bool IsGranted = false;
  // See VoteReply.
  bool HasConsent = false;
  bool operator==(const PreVoteReply &) const = default;
};

// Asks for the receiver's vote in term `Message::At`.
struct VoteRequest {
  LogIndex LastIndex;
  Term LastTerm;
  // True if the leader gave up its lease in favour of the candidate, so that
  // voters need not wait for the lease to end.
  bool IsTransfer = false;
  bool operator==(const VoteRequest &) const = default;
};
struct VoteReply {
  bool IsGranted = false;
  // True if the member is not a voter according to its own log, so that its
  // entries are no reason to reject the candidate.
  bool HasConsent = false;
  bool operator==(const VoteReply &) const = default;
};

// Appends entries after (PrevIndex, PrevTerm). A request without entries is a
// heartbeat.
struct AppendRequest {
  LogIndex PrevIndex;
  Term PrevTerm;
  LogIndex Commit;
  std::vector<LogEntry> Entries;
  // Send time on the leader's clock in milliseconds, echoed by the reply. The
  // lease starts at this time.
  int64_t SentAt = 0;
  bool operator==(const AppendRequest &) const = default;
};
struct AppendReply {
  bool IsMatch = false;
  // If IsMatch, the last index known to agree with the leader; otherwise the
  // index after which the leader should resume sending.
  LogIndex Last;
  int64_t SentAt = 0;
  bool operator==(const AppendReply &) const = default;
};

// A part of a snapshot. The receiver uses only the metadata of the first chunk.
struct SnapshotChunk {
  LogIndex Last;
  Term LastTerm;
  Membership Members;
  uint64_t Offset = 0;
  uint64_t TotalSize = 0;
  std::string Data;
  int64_t SentAt = 0;
  bool operator==(const SnapshotChunk &) const = default;
};
struct SnapshotReply {
  LogIndex Last;
  // Bytes received so far; TotalSize once the snapshot is restored.
  uint64_t NextOffset = 0;
  bool IsRestored = false;
  int64_t SentAt = 0;
  bool operator==(const SnapshotReply &) const = default;
};

// The leader has given up its lease; the receiver starts an election at once.
struct TimeoutNow {
  bool operator==(const TimeoutNow &) const = default;
};

// Sent by a host without a leader to every host it knows. A leader admits the
// sender as a learner.
struct Probe {
  uint64_t Nonce = 0;
  // Address at which the sender receives messages.
  Address At;
  bool operator==(const Probe &) const = default;
};
struct ProbeReply {
  uint64_t Nonce = 0;
  // Address at which the replying host receives messages.
  Address At;
  // True if the replying host leads its group and holds the leader lease.
  bool IsServing = false;
  // True if, as far as the replying host knows, enough members of its group
  // remain to elect it.
  bool CanBeElected = false;
  // The leader that the replying host follows. The host id is empty if it knows
  // no leader.
  Peer Leader;
  bool operator==(const ProbeReply &) const = default;
};

using Body = std::variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply,
                          AppendRequest, AppendReply, SnapshotChunk,
                          SnapshotReply, TimeoutNow, Probe, ProbeReply>;

// A message between two hosts.
struct Message {
  // The sender's group; blank if it has none.
  GroupId Group;
  // The sender's term. In vote and pre-vote requests, the term of the election.
  Term At;
  // Incarnation of the sender.
  Incarnation FromIncarnation;
  // Incarnation of the intended receiver; any other incarnation drops the
  // message. 0 for probes, which are sent before incarnations are known.
  Incarnation ToIncarnation;
  Body What;

  bool operator==(const Message &) const = default;
};

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_TYPES_H_
