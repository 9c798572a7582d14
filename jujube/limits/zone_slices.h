// The zone's side of ceilings: the resources that the zone may use now.
#ifndef JUJUBE_LIMITS_ZONE_SLICES_H_
#define JUJUBE_LIMITS_ZONE_SLICES_H_

#include <deque>
#include <optional>
#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/clock.h"
#include "jujube/limits/types.h"

namespace jujube::limits {

// The slices that the zone holds. Part of the replicated state of the zone's
// group.
class SliceHoldings {
public:
  // Returns false if the update changes nothing, for example because it is
  // stale.
  bool apply(const SliceUpdate &update);

  // Every grant up to this version has been received.
  GrantVersion seen() const { return Seen; }
  // Null if the zone has no slice of the team's ceiling.
  const Slice *find(const TeamId &team) const;
  const absl::btree_map<TeamId, Slice> &all() const { return Slices; }

  SliceUpdate state() const;

private:
  GrantVersion Seen;
  absl::btree_map<TeamId, Slice> Slices;
};

// The limits that the leader of a zone applies, in memory and on its monotonic
// clock. Each new leader creates its own object. The owner proposes the
// returned updates to the zone's group; once committed, they are passed to
// SliceHoldings::apply and then to onCommitted().
class ZoneSlices {
public:
  ZoneSlices(ZoneId zone, Term term, SlicePolicy policy, Instant takeover,
             const SliceHoldings &holdings);

  // The most that the team's attempts in this zone may hold in total for
  // another attempt to be offered now.
  Resources limitForStart(const TeamId &team, Instant now) const;

  // The most that the team's attempts may hold in total before some have to be
  // stopped.
  Resources limitForRunning(const TeamId &team, Instant now) const;

  // False while a new leader still waits for the keepers. The leader must not
  // renew the leases of workers during this time.
  bool isReadyToRenew(Instant now) const;

  // Called once a second. Returns the reduced slices, if any, which have to be
  // committed before they are reported. The released parts can't be used from
  // this call on. `Used` has to include offers that are proposed but not
  // committed yet.
  std::optional<SliceUpdate>
  releaseExcess(const std::vector<TeamDemand> &demands, Instant now);

  // True if a report would tell the keepers something new. An immediate report,
  // instead of waiting for the next second, moves slices sooner.
  bool hasUnreportedChanges(const std::vector<TeamDemand> &demands) const;

  // The report to send now. Called once a second, or sooner if
  // hasUnreportedChanges().
  SliceReport report(const std::vector<TeamDemand> &demands, Instant now);

  // Handles a reply and returns the update to propose, if any. Ignores replies
  // that match no pending report of this term.
  std::optional<SliceUpdate> receive(const SliceReply &reply, Instant now);

  // Must be called after the zone's group committed an update.
  void onCommitted(const SliceHoldings &holdings);

  // When the lease of the borrowed parts ends unless it is renewed.
  Instant leaseEnd() const { return LeaseEnd; }

private:
  struct TeamState {
    // The committed slice.
    Slice Held;
    // The slice that remains after a proposed reduction. Obsolete once `Held`
    // has another version.
    std::optional<Slice> Reduced;
    Instant ReductionProposedAt;
    // The latest grant that is received but not committed yet.
    std::optional<Slice> Pending;
    std::optional<SliceLimit> ActiveSliceLimit;
    // The line that the keepers last acknowledged.
    std::optional<ReportLine> Reported;
    // Since when a part of the borrowed resources has been idle.
    Instant IdleSince = Instant::never();

    // The smallest slice that any outcome of the pending proposals leaves.
    Slice effective() const;
  };
  struct SentReport {
    uint64_t Sequence;
    Instant At;
    std::vector<ReportLine> Lines;
  };

  bool isBorrowedUsable(Instant now) const;
  bool isUnreported(const TeamState &state, const Resources &wanted) const;
  // The guidance in force; null if there is none. Once the borrowed part is
  // unusable, for example without contact to the keepers, only guidance for a
  // lowered ceiling is in force.
  const SliceLimit *sliceLimitFor(const TeamState &state, Instant now) const;
  // The part of the slice to release; zero amounts if none. Updates IdleSince.
  Slice excessOf(TeamState &state, const TeamDemand &demand, Instant now) const;
  void acknowledge(const SentReport &sent, const SliceReply &reply);

  ZoneId Zone;
  Term LeaderTerm;
  SlicePolicy Policy;
  Instant Takeover;
  GrantVersion Seen;
  bool IsRenewed = false;
  Instant LeaseEnd;
  uint64_t LastSequence = 0;
  uint64_t LastAnswered = 0;
  std::deque<SentReport> Unanswered;
  absl::btree_map<TeamId, TeamState> Teams;
};

} // namespace jujube::limits

#endif // JUJUBE_LIMITS_ZONE_SLICES_H_
