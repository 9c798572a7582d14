// Discovery of groups by probes: whether a group exists, whether this host may
// form a new one, and whether its own group has permanently lost its quorum.
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

// A host's reply to the latest probe.
struct ProbeResult {
  Incarnation HostIncarnation;
  GroupId Group;
  Address At;
  bool IsServing = false;
  bool CanBeElected = false;
  Instant ReceivedAt;
  // The leader that the host follows. The host id is empty if it knows no
  // leader.
  Peer Leader = {};
};

// Collects the replies to probes and draws conclusions from those that are
// recent. Owned by a Node.
class GroupFinder {
public:
  // A random `firstNonce` distinguishes replies to this run from replies to an
  // earlier run of the host.
  GroupFinder(Instant startedAt, uint64_t firstNonce)
      : StartedAt(startedAt), LastNonce(firstNonce) {}

  // Starts a round of probes and returns its nonce.
  uint64_t beginRound() { return ++LastNonce; }
  // Ignores replies to earlier rounds and from earlier incarnations.
  void recordReply(const HostId &from, const Message &message,
                   const ProbeReply &reply, Instant now);

  // The leaders named in recent replies; may hold duplicates.
  std::vector<Peer> leaders(const Options &settings, Instant now) const;
  // The address of `leader`; nothing if no reply named it.
  std::optional<Address> addressOf(const HostId &leader) const;

  // The initial members of a new group, if this blank host has to form the
  // group now; otherwise nothing. The reachable blank host with the lowest id
  // forms the group.
  std::optional<Membership> initialMembers(const Options &settings,
                                           Instant now) const;
  // A group other than `own` whose leader holds its lease, if a recent reply
  // reported any.
  std::optional<GroupId> servingGroup(const Options &settings,
                                      const GroupId &own, Instant now) const;
  // True if `own` has permanently lost its quorum: too many hosts were
  // restarted or belong to other groups, or all hosts replied and no member
  // of the group can be elected. `members` may be outdated; `canBeElected`
  // tells whether this host can be elected.
  bool isGroupUnrecoverable(const Options &settings, const GroupId &own,
                            const Membership &members, bool canBeElected,
                            Instant now) const;
  // True if fewer than a majority of the configured hosts belong to `own` or
  // could still join it.
  bool lacksHostMajority(const Options &settings, const GroupId &own,
                         Instant now) const;
  // The members that will never vote again, because their host replied in a
  // later incarnation or belongs to another group.
  std::set<HostId> lostMembers(const Options &settings, const GroupId &own,
                               const Membership &members, Instant now) const;

private:
  // The results that have not expired, see ResultLifetimePeriods.
  std::map<HostId, ProbeResult> recentResults(const Options &settings,
                                              Instant now) const;

  Instant StartedAt;
  uint64_t LastNonce;
  std::map<HostId, ProbeResult> ProbeResults;
};

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_FINDER_H_
