// Slices of ceilings, and the messages that move them between zones.
#ifndef JUJUBE_LIMITS_TYPES_H_
#define JUJUBE_LIMITS_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"

namespace jujube::limits {

// Position in the ledger's sequence of grants.
using GrantVersion = NumberId<struct GrantVersionTag>;

// The times and proportions that keepers and zones agree on.
struct SlicePolicy {
  // A borrowed part is valid for this span after the zone sent the report that
  // was answered.
  Duration BorrowLease = Duration::seconds(30);
  // A zone that can't renew starts this long before the end to stop what runs
  // on the borrowed part. At least a worker's lease plus the drift bound.
  Duration StopMargin = Duration::seconds(15);
  // The most by which two clocks differ over one lease.
  Duration Drift = Duration::seconds(1);
  // How long a zone keeps an idle borrowed part that nobody else wants.
  Duration IdleBorrowTimeout = Duration::seconds(3);
  // How long a new zone leader waits for the keepers before it treats the
  // borrowed part as lost.
  Duration TakeoverGrace = Duration::seconds(2);
  // The part of a ceiling that is spread over the zones as guaranteed parts.
  int64_t GuaranteedPercent = 50;
  // The part of its guaranteed part that a zone keeps while others wait.
  int64_t FloorPercent = 25;
};

// What a zone holds of one team's ceiling.
struct Slice {
  TeamId Team;
  // The grant that it stems from.
  GrantVersion Version;
  // The zone's until it returns it.
  Resources Guaranteed;
  // Leased.
  Resources Borrowed;

  Resources total() const { return Guaranteed + Borrowed; }
  bool operator==(const Slice &) const = default;
};

// Record of the zone's journal: what the zone holds from now on. It is
// committed by the zone's group before anything smaller is reported and before
// anything larger is used.
struct SliceUpdate {
  // Every grant up to this version has been taken in.
  GrantVersion Seen;
  std::vector<Slice> Slices;

  bool operator==(const SliceUpdate &) const = default;
};

// A team's need in a zone.
struct TeamDemand {
  TeamId Team;
  // Reserved by attempts that may be running.
  Resources Used;
  // What it would use if it could, including `Used`.
  Resources Wanted;

  bool operator==(const TeamDemand &) const = default;
};

// One team's line of a report.
struct ReportLine {
  // As journaled by the zone's group.
  Slice Held;
  Resources Wanted;

  bool operator==(const ReportLine &) const = default;
};

// A zone's periodic message to the keepers. Lost, repeated and reordered
// reports are harmless: lines are absolute and carry the grant's version.
struct SliceReport {
  ZoneId Zone;
  // Pairs the reply with the report.
  Term LeaderTerm;
  uint64_t Sequence = 0;
  // The zone's journal has taken in every grant up to this version.
  GrantVersion Seen;
  // Teams of which something changed since the last acknowledged report.
  std::vector<ReportLine> Lines;

  bool operator==(const SliceReport &) const = default;
};

// What a zone is asked to do about one team.
struct Guidance {
  TeamId Team;
  // The zone should come down to this.
  Resources Limit;
  // True for a lowered ceiling: tasks over the limit are to be stopped. False:
  // idle parts are returned as soon as they are idle.
  bool IsRevoked = false;

  bool operator==(const Guidance &) const = default;
};

// The keepers' reply. It renews the lease of the borrowed parts.
struct SliceReply {
  Term LeaderTerm;
  uint64_t Sequence = 0;
  // The zone's slices with a version above the report's `Seen`.
  GrantVersion Upto;
  std::vector<Slice> Slices;
  // All guidance for the zone; a team without a line is not limited.
  std::vector<Guidance> Advice;

  bool operator==(const SliceReply &) const = default;
};

// Commands of the fleet log for the ledger.
struct AddZone {
  ZoneId Zone;
  bool operator==(const AddZone &) const = default;
};
// The operator states that the zone's workers are stopped for good.
struct RetireZone {
  ZoneId Zone;
  bool operator==(const RetireZone &) const = default;
};
// Follows a PutTeam; a ceiling of zero follows a DeleteTeam.
struct SetCeiling {
  TeamId Team;
  Resources Ceiling;
  bool operator==(const SetCeiling &) const = default;
};
// The lines of a report that change the ledger.
struct ApplyReport {
  SliceReport Report;
  bool operator==(const ApplyReport &) const = default;
};
// The lease of the zone's borrowed parts has surely ended. Parts that were lent
// after `Upto` stay: two reclaims may be under way at once, and the zone may
// have been renewed after the first of them.
struct ReclaimBorrowed {
  ZoneId Zone;
  // The ledger's latest() when the lease was found to have ended.
  GrantVersion Upto;
  bool operator==(const ReclaimBorrowed &) const = default;
};

using SliceCommand =
    std::variant<AddZone, RetireZone, SetCeiling, ApplyReport, ReclaimBorrowed>;

} // namespace jujube::limits

#endif // JUJUBE_LIMITS_TYPES_H_
