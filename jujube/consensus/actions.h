// What a consensus node asks its owner to do.
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

// Send a message; it may be lost, delayed, reordered or duplicated.
struct Send {
  HostId To;
  Address At;
  Message What;

  bool operator==(const Send &) const = default;
};

// Write to the journal and sync, then call Node::persisted(Serial). Requests of
// one batch of actions are handled in order and may share one sync. Only
// durable nodes ask for it.
struct Persist {
  uint64_t Serial = 0;
  std::optional<HardState> State;
  // Drop the entries from this index on before appending; 0 for none.
  LogIndex TruncateFrom;
  std::vector<LogEntry> Entries;

  bool operator==(const Persist &) const = default;
};

// Apply a committed entry to the state machine. Entries come in order, each
// once since the start or the last RestoreSnapshot.
struct Apply {
  LogEntry Entry;
  // Set on the leader that the proposal was made to.
  std::optional<uint64_t> ProposalId;

  bool operator==(const Apply &) const = default;
};

// Replace the state machine's state. A durable node's owner saves the snapshot
// and then calls Node::persisted(Serial).
struct RestoreSnapshot {
  uint64_t Serial = 0;
  Snapshot Base;

  bool operator==(const RestoreSnapshot &) const = default;
};

// The role or the known leader changed. Leader is reported only once the node
// may serve: every lease of a predecessor has ended, and all entries of earlier
// terms are committed and were handed out by earlier Apply actions.
struct RoleChanged {
  Role Now = Role::Follower;
  Term At;
  GroupId Group;
  // Empty while no leader is known.
  HostId Leader;

  bool operator==(const RoleChanged &) const = default;
};

// The proposal was not appended and never takes effect.
struct ProposalRefused {
  uint64_t ProposalId = 0;
  Error Why;

  bool operator==(const ProposalRefused &) const = default;
};

// Leadership ended before the proposal was committed; it may still take effect
// under another leader.
struct ProposalUnresolved {
  uint64_t ProposalId = 0;

  bool operator==(const ProposalUnresolved &) const = default;
};

// This node's group has no quorum left and never will. The owner discards the
// node and starts a blank one with a higher incarnation. If the state is on a
// disk, an operator has to decide.
struct Superseded {
  GroupId Group;

  bool operator==(const Superseded &) const = default;
};

using Action = std::variant<Send, Persist, Apply, RestoreSnapshot, RoleChanged,
                            ProposalRefused, ProposalUnresolved, Superseded>;
using Actions = std::vector<Action>;

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_ACTIONS_H_
