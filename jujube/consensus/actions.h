// Actions that a consensus node returns for its owner to carry out.
#ifndef JUJUBE_CONSENSUS_ACTIONS_H_
#define JUJUBE_CONSENSUS_ACTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/consensus/types.h"

namespace jujube::consensus {

// Send a message. The network may lose, delay, reorder or duplicate it.
struct Send {
  HostId To;
  Address At;
  Message What;

  bool operator==(const Send &) const = default;
};

// Write to the journal and sync, then call Node::persisted(Serial). The Persist
// actions of one batch are carried out in order and may share one sync. Only
// durable nodes emit this action.
struct Persist {
  uint64_t Serial = 0;
  std::optional<HardState> State;
  // Drop the entries from this index on before appending; 0 to drop none.
  LogIndex TruncateFrom;
  std::vector<LogEntry> Entries;

  bool operator==(const Persist &) const = default;
};

// Apply a committed entry to the state machine. Entries are delivered in order
// and exactly once since the start or the last RestoreSnapshot.
struct Apply {
  LogEntry Entry;
  // Set only on the leader that accepted the proposal.
  std::optional<uint64_t> ProposalId;

  bool operator==(const Apply &) const = default;
};

// Replace the state of the state machine by the snapshot. The owner of a
// durable node saves the snapshot and then calls Node::persisted(Serial).
struct RestoreSnapshot {
  uint64_t Serial = 0;
  Snapshot NewSnapshot;

  bool operator==(const RestoreSnapshot &) const = default;
};

// The role, the term, the group or the known leader changed. Role::Leader is
// reported only once all entries of earlier terms are committed and were
// delivered by earlier Apply actions, and every lease of an earlier leader has
// ended. Until then a new leader is reported as a candidate.
struct RoleChanged {
  Role Now = Role::Follower;
  Term At;
  GroupId Group;
  // Empty while no leader is known.
  HostId Leader;

  bool operator==(const RoleChanged &) const = default;
};

// The proposal was not appended and will never take effect.
struct ProposalRefused {
  uint64_t ProposalId = 0;
  Error Reason;

  bool operator==(const ProposalRefused &) const = default;
};

// The node lost leadership before the proposal was committed. The proposal may
// still take effect under another leader.
struct ProposalUnresolved {
  uint64_t ProposalId = 0;

  bool operator==(const ProposalUnresolved &) const = default;
};

// Another group serves in place of this node's group, or this node's group has
// permanently lost its quorum. The owner of a diskless node discards it and
// starts a blank node with a higher incarnation. If the state is on a disk, an
// operator has to decide.
struct Superseded {
  GroupId Group;

  bool operator==(const Superseded &) const = default;
};

using Action = std::variant<Send, Persist, Apply, RestoreSnapshot, RoleChanged,
                            ProposalRefused, ProposalUnresolved, Superseded>;
using Actions = std::vector<Action>;

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_ACTIONS_H_
