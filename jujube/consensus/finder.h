// Finds out, by probes, whether a group exists, whether a new one may be
// founded, and whether the own group can never have a quorum again.
#ifndef JUJUBE_CONSENSUS_FINDER_H_
#define JUJUBE_CONSENSUS_FINDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/consensus/options.h"
#include "jujube/consensus/types.h"

namespace jujube::consensus {

// What a host answered to the last probe.
struct ProbeResult {
  Incarnation Start;
  GroupId Group;
  Address At;
  bool IsServing = false;
  bool CanBeElected = false;
  Instant ReceivedAt;
  // The leader that the host follows; its host is empty if it knows none.
  Peer Leader = {};
};

// Collects the answers to probes. Owned by a Node.
class GroupFinder {
public:
  // `firstNonce` tells the answers from those to an earlier run.
  GroupFinder(Instant startedAt, uint64_t firstNonce)
      : StartedAt(startedAt), LastNonce(firstNonce) {}

  // The nonce of the next round of probes.
  uint64_t beginRound() { return ++LastNonce; }
  void recordReply(const HostId &from, const Message &message,
                   const ProbeReply &reply, Instant now);

  // Leaders that the answers named.
  std::vector<Peer> leaders(const Options &settings, Instant now) const;
  // Where a leader that was named takes messages.
  std::optional<Address> addressOf(const HostId &leader) const;

  // The first members of a new group, if this blank host is the one to found
  // it now.
  std::optional<Membership> initialMembers(const Options &settings,
                                           Instant now) const;
  // A group other than `own` that holds its lease, if one was seen.
  std::optional<GroupId> servingGroup(const Options &settings,
                                      const GroupId &own, Instant now) const;
  // True if `own` can't have a quorum any more: too many hosts were restarted
  // or are bound to other groups, or all hosts answered and none of the group
  // can be elected. `members` need not be the membership in force;
  // `canBeElected` is for this host.
  bool isGroupUnrecoverable(const Options &settings, const GroupId &own,
                            const Membership &members, bool canBeElected,
                            Instant now) const;
  // True if fewer than a majority of the hosts are members of `own` or could
  // still be admitted to it.
  bool lacksHostMajority(const Options &settings, const GroupId &own,
                         Instant now) const;
  // The members whose listed incarnation will never vote again: its host was
  // seen in a later one, or bound to another group.
  std::set<HostId> lostMembers(const Options &settings, const GroupId &own,
                               const Membership &members, Instant now) const;

private:
  std::map<HostId, ProbeResult> recentResults(const Options &settings,
                                              Instant now) const;

  Instant StartedAt;
  uint64_t LastNonce;
  std::map<HostId, ProbeResult> ProbeResults;
};

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_FINDER_H_
