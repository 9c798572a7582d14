// A zone's side of ceilings: what its leader may use now.
#ifndef JUJUBE_LIMITS_ZONE_SLICES_H_
#define JUJUBE_LIMITS_ZONE_SLICES_H_

#include <deque>
#include <optional>
#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/clock.h"
#include "jujube/limits/types.h"

namespace jujube::limits {

// Replicated in the zone's journal: the slices that the zone holds.
class SliceHoldings {
public:
  // Returns false if the update is stale.
  bool apply(const SliceUpdate &update);

  GrantVersion seen() const { return Seen; }
  // Null if the zone holds nothing of the team's ceiling.
  const Slice *find(const TeamId &team) const;
  const absl::btree_map<TeamId, Slice> &all() const { return Slices; }

  SliceUpdate state() const;

private:
  GrantVersion Seen;
  absl::btree_map<TeamId, Slice> Slices;
};

// Kept in memory by the zone's leader, on its own monotonic clock; made anew by
// each new leader. What it wants journaled is proposed to the zone's group and
// comes back through SliceHoldings::apply and onCommitted().
class ZoneSlices {
public:
  ZoneSlices(ZoneId zone, Term term, SlicePolicy policy, Instant takeover,
             const SliceHoldings &holdings);

  // What the team's attempts in this zone may hold together when another one is
  // offered now.
  Resources startable(const TeamId &team, Instant now) const;

  // What the team's attempts may hold together without being stopped.
  Resources allowed(const TeamId &team, Instant now) const;

  // False while a new leader waits for the keepers: workers' leases are not
  // renewed yet.
  bool isSettled(Instant now) const;

  // Once a second: parts to let go, to be journaled before they are reported.
  // What is let go can't be used from this call on. `Used` includes offers that
  // are proposed but not committed yet.
  std::optional<SliceUpdate> letGo(const std::vector<TeamDemand> &demands,
                                   Instant now);

  // True if the keepers lack something that a report would tell them. A report
  // at once, rather than the next second, moves slices sooner.
  bool hasNews(const std::vector<TeamDemand> &demands) const;

  // Once a second, or sooner if hasNews(): the report to send now.
  SliceReport report(const std::vector<TeamDemand> &demands, Instant now);

  // Takes in a reply; returns what has to be journaled, if anything.
  std::optional<SliceUpdate> receive(const SliceReply &reply, Instant now);

  // An update was committed by the zone's group.
  void onCommitted(const SliceHoldings &holdings);

  // When the borrowed parts end unless they are renewed.
  Instant leaseEnd() const { return LeaseEnd; }

private:
  struct TeamState {
    // As committed.
    Slice Held;
    // Proposed to be let go; void once `Held` has another version.
    std::optional<Slice> Reduced;
    Instant ReductionProposedAt;
    // Received but not committed yet.
    std::optional<Slice> Pending;
    std::optional<Guidance> ActiveGuidance;
    // As last acknowledged by the keepers.
    std::optional<ReportLine> Reported;
    // Since when something borrowed has been idle.
    Instant IdleSince = Instant::never();

    // What can be relied on whichever proposals are committed.
    Slice effective() const;
  };
  struct SentReport {
    uint64_t Sequence;
    Instant At;
    std::vector<ReportLine> Lines;
  };

  bool isBorrowedUsable(Instant now) const;
  bool isUnreported(const TeamState &state, const Resources &wanted) const;
  // The guidance that holds now. While the zone is cut off, only a lowered
  // ceiling binds it.
  const Guidance *guidanceFor(const TeamState &state, Instant now) const;
  // What is to be let go of the line; zero amounts if nothing.
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
