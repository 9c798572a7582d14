// Slices of ceilings, and the messages that move them between zones.
//
// The keepers, which are the hosts that replicate the fleet log, divide the
// ceiling of each team among the zones. A zone holds a slice of the ceiling,
// and the attempts of the team in the zone may use no more than this slice.
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

// Durations and percentages on which keepers and zones have to agree.
struct SlicePolicy {
  // How long a borrowed part is valid after the zone sent the report that the
  // keepers answered.
  Duration BorrowLease = Duration::seconds(30);
  // A zone that can't renew its lease starts to stop the tasks that use the
  // borrowed part this long before the lease ends. At least a worker's lease
  // plus the bound on clock drift.
  Duration StopMargin = Duration::seconds(15);
  // Upper bound of the drift between two clocks over one lease.
  Duration Drift = Duration::seconds(1);
  // How long a zone keeps an idle borrowed part that no other zone wants.
  Duration IdleBorrowTimeout = Duration::seconds(3);
  // How long a new leader of a zone waits for the keepers before it treats the
  // borrowed part as lost.
  Duration TakeoverGrace = Duration::seconds(2);
  // Percentage of a ceiling that is divided equally among the zones as
  // guaranteed parts.
  int64_t GuaranteedPercent = 50;
  // Percentage of its guaranteed part that a zone keeps while other zones wait
  // for resources.
  int64_t FloorPercent = 25;
};

// The part of a team's ceiling that a zone holds.
struct Slice {
  TeamId Team;
  // The grant that created this slice.
  GrantVersion Version;
  // Held without a lease until the zone returns it.
  Resources Guaranteed;
  // Held under a lease.
  Resources Borrowed;

  Resources total() const { return Guaranteed + Borrowed; }
  bool operator==(const Slice &) const = default;
};

// A record of the zone's journal: the slices that the zone holds from now on.
// The zone's group commits the update before the zone reports a smaller slice
// or uses a larger one.
struct SliceUpdate {
  // Every grant up to this version has been received.
  GrantVersion Seen;
  std::vector<Slice> Slices;

  bool operator==(const SliceUpdate &) const = default;
};

// A team's need in a zone.
struct TeamDemand {
  TeamId Team;
  // Resources reserved by attempts that may be running.
  Resources Used;
  // Resources that the team could use without limits, including `Used`.
  Resources Wanted;

  bool operator==(const TeamDemand &) const = default;
};

// One team's line of a report.
struct ReportLine {
  // The slice as committed by the zone's group.
  Slice Held;
  Resources Wanted;

  bool operator==(const ReportLine &) const = default;
};

// The periodic message of a zone to the keepers. Loss, duplication and
// reordering of reports are harmless: lines hold absolute amounts and the
// version of the grant.
struct SliceReport {
  ZoneId Zone;
  // Term and sequence number pair the reply with the report.
  Term LeaderTerm;
  uint64_t Sequence = 0;
  // The zone's journal holds every grant up to this version.
  GrantVersion Seen;
  // Teams whose slice or need changed since the last acknowledged report.
  std::vector<ReportLine> Lines;

  bool operator==(const SliceReport &) const = default;
};

// A limit on the slice of a team that the keepers ask a zone to observe.
struct SliceLimit {
  TeamId Team;
  // The most that the zone should hold of the ceiling.
  Resources Limit;
  // True if the ceiling was lowered: the zone has to stop tasks over the limit.
  // If false, the zone returns resources over the limit as soon as they are
  // idle.
  bool IsRevoked = false;

  bool operator==(const SliceLimit &) const = default;
};

// The keepers' reply to a report. It renews the lease of the borrowed parts.
struct SliceReply {
  Term LeaderTerm;
  uint64_t Sequence = 0;
  // The zone's slices with a version above the report's `Seen`.
  GrantVersion UpTo;
  std::vector<Slice> Slices;
  // All guidance for the zone; a team without guidance is not limited.
  std::vector<SliceLimit> Limits;

  bool operator==(const SliceReply &) const = default;
};

// Adds a zone to the ledger. This struct and the following ones are commands of
// the fleet log.
struct AddZone {
  ZoneId Zone;
  bool operator==(const AddZone &) const = default;
};
// Removes a zone after the operator confirmed that its workers are permanently
// stopped.
struct RetireZone {
  ZoneId Zone;
  bool operator==(const RetireZone &) const = default;
};
// Sets a team's ceiling after a PutTeam, or to zero after a DeleteTeam.
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
// Takes back the borrowed parts of a zone after their lease has ended. Parts
// that were lent after `UpTo` stay: two reclaims may be in progress at once,
// and the lease of the zone may have been renewed after the first of them.
struct ReclaimBorrowed {
  ZoneId Zone;
  // The ledger's latest() when the lease was found to have ended.
  GrantVersion UpTo;
  bool operator==(const ReclaimBorrowed &) const = default;
};

using SliceCommand =
    std::variant<AddZone, RetireZone, SetCeiling, ApplyReport, ReclaimBorrowed>;

} // namespace jujube::limits

#endif // JUJUBE_LIMITS_TYPES_H_
