// Options of a consensus node.
#ifndef JUJUBE_CONSENSUS_OPTIONS_H_
#define JUJUBE_CONSENSUS_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/consensus/types.h"

namespace jujube::consensus {

// The leader's view of a learner's progress.
struct LearnerView {
  // The last index that the learner holds.
  LogIndex Match;
  LogIndex LeaderLast;
  LogIndex LeaderCommit;
  // Time since the last acknowledgement from the learner.
  Duration Silence;
};

// Decides whether a learner may become a voter. A hook can only add conditions:
// isCaughtUp() is always required.
using PromotionHook = std::function<bool(const LearnerView &)>;

// True if the learner holds every committed entry and acknowledged within the
// last second.
bool isCaughtUp(const LearnerView &learner);

struct Options {
  Peer Self;
  // Distinguishes this run from earlier runs of the host. Diskless nodes use a
  // higher incarnation on every start; durable nodes keep the incarnation that
  // is stored in their data folder.
  Incarnation HostIncarnation;
  // All hosts of the group, including this host; the same list on every host.
  // A quorum is never smaller than a majority of these hosts.
  std::vector<Peer> Configured;
  Formation Rule = Formation::WhenAllEmpty;
  // The desired number of voters; 0 for the number of configured hosts.
  std::size_t TargetVoters = 0;
  // Whether a host that is not configured may join in place of a missing voter.
  // For groups whose hosts discover each other from a few seed hosts.
  bool AdmitsUnknownHosts = false;
  // Whether the owner stores the state on disk and handles Persist actions.
  bool IsDurable = true;

  Duration Heartbeat = Duration::millis(100);
  // How long a leader may serve after it sent a message that a quorum
  // acknowledged.
  Duration Lease = Duration::millis(400);
  // Upper bound on the rate error of a clock, in parts per thousand.
  int64_t MaxDriftPerMille = 10;
  // Upper bound of the random delay that is added to election timeouts.
  Duration ElectionSpread = Duration::millis(250);
  Duration ProbePeriod = Duration::millis(250);
  // How long blank hosts wait for an existing group before they form a group
  // without some of the configured hosts.
  Duration FormationWait = Duration::seconds(2);
  // A voter that is silent for longer is replaced by a probing host that is not
  // a member. Not used with Formation::WhenMajorityEmpty.
  Duration ReplaceAfter = Duration::minutes(5);

  // Size limits of an entry, of a message, and of all uncommitted entries. An
  // entry has to fit into a message, which has at most 4 MiB.
  std::size_t MaxEntryBytes = std::size_t{3584} * 1024;
  std::size_t MaxAppendBytes = std::size_t{256} * 1024;
  std::size_t SnapshotChunkBytes = std::size_t{256} * 1024;
  std::size_t MaxUncommittedBytes = std::size_t{8} * 1024 * 1024;
  // Committed entries are delivered in batches of about this size, so that the
  // node keeps handling messages and heartbeats while a long log is applied.
  std::size_t MaxApplyBytes = std::size_t{64} * 1024;
  // Size of the entries that are retained beside a snapshot for members that
  // lag slightly.
  std::size_t RetainBytes = std::size_t{1024} * 1024;

  PromotionHook CanPromote = isCaughtUp;
};

// The desired number of voters, with the default resolved.
inline std::size_t targetVoters(const Options &options) {
  return options.TargetVoters == 0 ? options.Configured.size()
                                   : options.TargetVoters;
}

// How long a member refuses to vote after it heard from a leader: the lease,
// extended by the largest possible drift between two clocks.
Duration voteRefusal(const Options &options);

// Fails if the options are invalid or would allow two leader leases to overlap.
Status checkOptions(const Options &options);

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_OPTIONS_H_
