// Checks invariants over all members of replicated logs.
#ifndef JUJUBE_TESTING_CONSENSUS_DRIVER_ORACLE_H_
#define JUJUBE_TESTING_CONSENSUS_DRIVER_ORACLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jujube/base/ids.h"
#include "jujube/consensus/types.h"

namespace jujube::testing {

// The state machine of the driver's hosts: a digest over all applied entries.
struct AppliedState {
  LogIndex Last;
  uint64_t Digest = 0;

  void apply(const consensus::LogEntry &entry);
  std::string encode() const;
  static AppliedState decode(const std::string &text);

  bool operator==(const AppliedState &) const = default;
};

// Records events of the members and keeps the first violation.
class ConsensusOracle {
public:
  // Groups that recover from less than a quorum drop several voters at once.
  explicit ConsensusOracle(bool allowsRecovery)
      : AllowsRecovery(allowsRecovery) {}

  void onLeader(const consensus::GroupId &group, Term term, const HostId &host,
                Incarnation start);
  // `state` is the member's state after it applied `entry`.
  void onApplied(const consensus::GroupId &group,
                 const consensus::LogEntry &entry, const AppliedState &state);
  void onRestored(const consensus::GroupId &group, const AppliedState &state);
  // The proposer was told that the entry is committed.
  void onAcknowledged(const consensus::GroupId &group, LogIndex index);
  // A host that may serve, and the last entry that it has applied.
  struct Server {
    HostId Host;
    consensus::GroupId Group;
    LogIndex Applied;
  };
  void onServing(const std::vector<Server> &servers);

  void fail(std::string violation);
  const std::optional<std::string> &violation() const { return Violation; }
  LogIndex acknowledged(const consensus::GroupId &group) const;
  std::size_t groupCount() const { return Groups.size(); }

private:
  struct Group {
    std::map<Term, std::pair<HostId, Incarnation>> Leaders;
    std::map<LogIndex, consensus::LogEntry> Committed;
    std::map<LogIndex, AppliedState> States;
    std::optional<consensus::Membership> Members;
    LogIndex MembersAt;
    LogIndex Acknowledged;
  };

  void checkMembership(Group &group, const consensus::LogEntry &entry);

  bool AllowsRecovery;
  std::map<consensus::GroupId, Group> Groups;
  std::optional<std::string> Violation;
};

} // namespace jujube::testing

#endif // JUJUBE_TESTING_CONSENSUS_DRIVER_ORACLE_H_
