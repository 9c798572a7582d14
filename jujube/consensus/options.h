// Settings of a consensus node.
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

// How far a learner has come.
struct LearnerView {
  // The last index that the learner holds.
  LogIndex Match;
  LogIndex LeaderLast;
  LogIndex LeaderCommit;
  // Since the learner last acknowledged anything.
  Duration Silence;
};

// Decides whether a learner may become a voter. A hook may only ask for more
// than isCaughtUp() does.
using PromotionHook = std::function<bool(const LearnerView &)>;

// True if the learner holds every committed entry and acknowledged within the
// last second.
bool isCaughtUp(const LearnerView &learner);

struct Options {
  Peer Self;
  // Told apart from earlier runs of the host. Diskless nodes take a higher one
  // on every start; durable ones keep that of their data folder.
  Incarnation Start;
  // All hosts of the group with this one, the same list on every host. The
  // quorum is never smaller than a majority of them.
  std::vector<Peer> Configured;
  Formation Rule = Formation::WhenAllBlank;
  // How many voters the group is to have; 0 for the number of configured hosts.
  std::size_t TargetVoters = 0;
  // True if a host that is not configured may take the place of a missing
  // voter, for groups whose hosts find each other from a few seeds.
  bool AdmitsUnknownHosts = false;
  // True if Persist actions are wanted.
  bool IsDurable = true;

  Duration Heartbeat = Duration::millis(100);
  // A leader serves this long after a quorum acknowledged one of its messages,
  // counted from when it sent them.
  Duration Lease = Duration::millis(400);
  // Bound on how much faster or slower than true time a clock runs, in parts
  // per thousand.
  int64_t MaxDriftPerMille = 10;
  // Elections start at a random time within this span after the wait.
  Duration ElectionSpread = Duration::millis(250);
  Duration ProbePeriod = Duration::millis(250);
  // Blank members wait this long for an existing group before they found one
  // without some of the configured hosts.
  Duration FormationWait = Duration::seconds(2);
  // A voter that is silent this long is replaced by a host outside of
  // `Configured` that probes. Never done under WhenMajorityBlank.
  Duration ReplaceAfter = Duration::minutes(5);

  // Bounds of one message, and of the entries that are not committed yet.
  // An entry has to fit a message. Source: messages of 4 MiB at most.
  std::size_t MaxEntryBytes = std::size_t{3584} * 1024;
  std::size_t MaxAppendBytes = std::size_t{256} * 1024;
  std::size_t SnapshotChunkBytes = std::size_t{256} * 1024;
  std::size_t MaxUncommittedBytes = std::size_t{8} * 1024 * 1024;
  // Committed entries are handed out in parts of about this size, so that
  // messages and heartbeats go on while a long log is applied.
  std::size_t MaxApplyBytes = std::size_t{64} * 1024;
  // Entries kept beside a snapshot for members that lag a little.
  std::size_t RetainBytes = std::size_t{1024} * 1024;

  PromotionHook CanPromote = isCaughtUp;
};

// TargetVoters, or what stands for it.
inline std::size_t targetVoters(const Options &options) {
  return options.TargetVoters == 0 ? options.Configured.size()
                                   : options.TargetVoters;
}

// The span for which a member that heard from a leader refuses to vote: the
// lease, stretched by what two clocks may differ.
Duration voteRefusal(const Options &options);

// Refuses options under which the lease would not be exclusive.
Status checkOptions(const Options &options);

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_OPTIONS_H_
