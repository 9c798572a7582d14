// Data of the replicated log: entries, membership, messages between members and
// the state that has to survive a restart.
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

// What a member currently does in its group.
enum class Role { Follower, PreCandidate, Candidate, Leader };

inline constexpr NameTable<Role, 4> RoleNames = {{
    {Role::Follower, "follower"},
    {Role::PreCandidate, "pre_candidate"},
    {Role::Candidate, "candidate"},
    {Role::Leader, "leader"},
}};
static_assert(isComplete(RoleNames));

// What a log entry holds.
enum class EntryKind {
  // Opaque to this library; handed to the owner once committed.
  Command,
  // Replaces the membership from the moment it is appended.
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

// Which blank members may found a new group.
enum class Formation {
  // Members only join a group that exists.
  Never,
  // All configured hosts have to be reachable and blank; for members with
  // disks, whose state survives a restart.
  WhenAllBlank,
  // A majority of the configured hosts has to be blank, which proves that no
  // earlier group has a quorum left; for diskless members.
  WhenMajorityBlank,
};

inline constexpr NameTable<Formation, 3> FormationNames = {{
    {Formation::Never, "never"},
    {Formation::WhenAllBlank, "when_all_blank"},
    {Formation::WhenMajorityBlank, "when_majority_blank"},
}};
static_assert(isComplete(FormationNames));

// A host that a group may have as a member, as the settings name it.
struct Peer {
  HostId Host;
  Address At;

  bool operator==(const Peer &) const = default;
};

// Identifies a group. A host founds at most one group in each incarnation, so
// two groups never share an id.
struct GroupId {
  HostId Founder;
  Incarnation Start;

  bool isBlank() const { return Founder.empty(); }
  auto operator<=>(const GroupId &) const = default;
};

// One member. The incarnation is part of its identity: a vote or an
// acknowledgement of another incarnation of the same host does not count.
struct Member {
  HostId Host;
  Incarnation Start;
  Address At;
  // Learners receive the log but don't count towards a quorum.
  bool IsVoter = false;

  bool operator==(const Member &) const = default;
};

// The members in force; at most one for each host.
struct Membership {
  std::vector<Member> Members;

  bool operator==(const Membership &) const = default;
};

// One position of the replicated log.
struct LogEntry {
  LogIndex Index;
  // Term of the leader that appended it.
  Term At;
  EntryKind Kind = EntryKind::Command;
  // Command only.
  std::string Payload;
  // Membership only.
  Membership Members;

  bool operator==(const LogEntry &) const = default;
};

// What a member must not forget while it counts as the same incarnation.
struct HardState {
  GroupId Group;
  Term Current;
  // Empty if it has not voted in the current term.
  HostId VotedFor;
  Incarnation VotedForStart;

  bool operator==(const HardState &) const = default;
};

// The state of the owner after applying all entries up to `Last`.
struct Snapshot {
  LogIndex Last;
  Term LastTerm;
  // The membership in force at `Last`.
  Membership Members;
  std::string Data;

  bool operator==(const Snapshot &) const = default;
};

// What a member starts from; all defaults for a blank one.
struct DurableState {
  HardState Hard;
  std::optional<Snapshot> Base;
  // Contiguous, from the entry after the snapshot.
  std::vector<LogEntry> Entries;

  bool operator==(const DurableState &) const = default;
};

// Asks whether an election in `Message::At` could be won; changes no state.
struct PreVoteRequest {
  LogIndex LastIndex;
  Term LastTerm;
  bool operator==(const PreVoteRequest &) const = default;
};
struct PreVoteReply {
  // The term of the election that was asked about.
  Term For;
  bool IsGranted = false;
  // See VoteReply.
  bool HasConsent = false;
  bool operator==(const PreVoteReply &) const = default;
};

// Asks for the vote in term `Message::At`.
struct VoteRequest {
  LogIndex LastIndex;
  Term LastTerm;
  // The leader gave up its lease in favour of the candidate, so that voters
  // need not wait for its end.
  bool IsTransfer = false;
  bool operator==(const VoteRequest &) const = default;
};
struct VoteReply {
  bool IsGranted = false;
  // The member is not a voter by its own log, whose entries therefore are no
  // reason against the candidate.
  bool HasConsent = false;
  bool operator==(const VoteReply &) const = default;
};

// Entries after (PrevIndex, PrevTerm); without entries it is a heartbeat.
struct AppendRequest {
  LogIndex PrevIndex;
  Term PrevTerm;
  LogIndex Commit;
  std::vector<LogEntry> Entries;
  // Send time on the leader's clock in milliseconds, echoed by the reply; the
  // lease counts from it.
  int64_t SentAt = 0;
  bool operator==(const AppendRequest &) const = default;
};
struct AppendReply {
  bool IsMatch = false;
  // If it matches, the last index known to agree with the leader; otherwise the
  // index after which the leader should try again.
  LogIndex Last;
  int64_t SentAt = 0;
  bool operator==(const AppendReply &) const = default;
};

// A part of a snapshot. Only the metadata of the first chunk is used.
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

// Sent by a member without a leader to every configured host. A leader admits
// the sender as a learner.
struct Probe {
  uint64_t Nonce = 0;
  // Where the sender takes messages.
  Address At;
  bool operator==(const Probe &) const = default;
};
struct ProbeReply {
  uint64_t Nonce = 0;
  // Where the replying member takes messages.
  Address At;
  // The member holds the lease of its group.
  bool IsServing = false;
  // As far as the member knows, enough of its group is left to elect it.
  bool CanBeElected = false;
  // The leader that the member follows; its host is empty if it knows none.
  Peer Leader;
  bool operator==(const ProbeReply &) const = default;
};

using Body = std::variant<PreVoteRequest, PreVoteReply, VoteRequest, VoteReply,
                          AppendRequest, AppendReply, SnapshotChunk,
                          SnapshotReply, TimeoutNow, Probe, ProbeReply>;

// One message between two members.
struct Message {
  // The sender's group; blank if it has none.
  GroupId Group;
  // The sender's term, or the term that a (pre-)vote is asked for.
  Term At;
  // Incarnation of the sender.
  Incarnation FromStart;
  // Incarnation that the message is meant for; another one drops it. 0 for
  // probes, which are sent before incarnations are known.
  Incarnation ToStart;
  Body What;

  bool operator==(const Message &) const = default;
};

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_TYPES_H_
