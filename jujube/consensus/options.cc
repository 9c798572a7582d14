#include "jujube/consensus/options.h"

#include <algorithm>
#include <set>
#include <string>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {

namespace {

// Instants are truncated to whole milliseconds on both hosts.
constexpr Duration RoundingMargin = Duration::millis(2);
constexpr Duration MaxLearnerSilence = Duration::seconds(1);

Error invalid(const std::string &message, const std::string &remedy) {
  return Error{ErrorKind::InvalidArgument, message, remedy};
}

Status checkPeers(const Options &options) {
  std::set<HostId> hosts;
  for (const Peer &peer : options.Configured)
    if (!hosts.insert(peer.Host).second)
      return invalid("host " + peer.Host.str() + " is configured twice",
                     "list each host of the group once");
  if (options.Configured.empty())
    return invalid("no hosts are configured for the group",
                   "list the hosts of the group, including this host");
  const bool isConfigured = hosts.contains(options.Self.Host);
  if (!isConfigured && options.Rule != Formation::Never)
    return invalid(
        "this host is not among the configured hosts",
        "add this host to them, or set the formation rule to \"never\" so "
        "that it only joins existing groups");
  if (options.Rule == Formation::WhenMajorityEmpty &&
      options.Configured.size() % 2 == 0)
    return invalid("a diskless group needs an odd number of configured hosts",
                   "configure 1, 3 or 5 hosts");
  return Ok{};
}

} // namespace

bool isCaughtUp(const LearnerView &learner) {
  return learner.Match >= learner.LeaderCommit &&
         learner.Silence <= MaxLearnerSilence;
}

Duration voteRefusal(const Options &options) {
  const int64_t drift = options.MaxDriftPerMille;
  const int64_t ms = options.Lease.millis();
  const int64_t slow = 1000 - drift;
  const int64_t stretched = (ms * (1000 + drift) + slow - 1) / slow;
  return Duration::millis(stretched) + RoundingMargin;
}

Status checkOptions(const Options &options) {
  if (Status status = checkPeers(options); !isOk(status))
    return status;
  if (options.MaxDriftPerMille < 0 || options.MaxDriftPerMille > 500)
    return invalid("the bound on clock drift is out of range",
                   "set it to 0 to 500 parts per thousand");
  if (options.Heartbeat < Duration::millis(1) ||
      options.Lease < options.Heartbeat * 2)
    return invalid("the lease is shorter than two heartbeats",
                   "lengthen the lease or shorten the heartbeat");
  if (options.ElectionSpread < Duration::millis(1) ||
      options.ProbePeriod < Duration::millis(1))
    return invalid(
        "the election spread and the probe period have to be positive",
        "set each to at least 1 ms");
  if (options.MaxAppendBytes == 0 || options.SnapshotChunkBytes == 0)
    return invalid("the size limit of append messages or snapshot chunks is 0",
                   "raise the limit");
  if (options.MaxApplyBytes == 0)
    return invalid("the size limit of applied batches is 0", "raise the limit");
  if (options.HostIncarnation.Value == 0)
    return invalid("the incarnation is 0", "start incarnation numbers at 1");
  return Ok{};
}

} // namespace jujube::consensus
