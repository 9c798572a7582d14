// Messages between the routers of entry hosts and the credit ledger, which the
// leader of an availability zone runs.
//
// Both sides tolerate loss, duplication and reordering of messages: reports
// carry a sequence number, grants carry a serial number, and all amounts are
// absolute values rather than differences.
#ifndef JUJUBE_ROUTING_MESSAGES_H_
#define JUJUBE_ROUTING_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::routing {

// Identifies the holder of credits: one incarnation of an entry host. After a
// restart the host counts as a new holder, because it does not know which
// requests were in flight before.
struct Holder {
  HostId Host;
  Incarnation Start;

  auto operator<=>(const Holder &) const = default;
};

// The credits on one runner that an entry host holds and uses.
struct RunnerUse {
  RunnerId Runner;
  // Credits that the holder keeps; at least InFlight. It returns all others.
  uint32_t Held = 0;
  uint32_t InFlight = 0;
  // The most credits that the holder can use: none on a runner that is leaving,
  // silent or suspended, 1 on a runner on probation.
  uint32_t Limit = 0;

  bool operator==(const RunnerUse &) const = default;
};

// One team's demand, at one entry host, for the runners of a catalogue entry.
struct TeamDemand {
  EntryId Entry;
  TeamId Team;
  // Weight of the team's share.
  uint32_t Share = 1;
  uint32_t Queued = 0;
  // Requests in flight on runners of the zone that the report is for.
  uint32_t InFlight = 0;
  // True if the entry host's own zone has no usable runner of the entry.
  bool HasNoHomeRunner = false;

  bool operator==(const TeamDemand &) const = default;
};

// Periodic message of an entry host to the leader of one availability zone. The
// entry host holds no credits on runners that are not listed, and their limit
// is MaxPerRunner. Teams that are not listed have no demand.
struct EntryReport {
  Holder From;
  // The entry host's zone. A ledger serves the demand of its own zone's entry
  // hosts first, and that of other zones from the remaining slots.
  ZoneId HomeZone;
  // The zone whose leader the report is for.
  ZoneId Zone;
  // Increases with every report to the zone.
  uint64_t Sequence = 0;
  // Time since the entry host started.
  Duration Uptime;
  // Term and serial of the latest grant that the entry host has applied.
  Term AppliedTerm;
  uint64_t AppliedGrant = 0;
  // The most credits on a runner that is not listed.
  uint32_t MaxPerRunner = 0;
  std::vector<RunnerUse> Runners;
  std::vector<TeamDemand> Demand;

  bool operator==(const EntryReport &) const = default;
};

// How many requests an entry host may have in flight on a runner.
struct RunnerCredits {
  RunnerId Runner;
  uint32_t Credits = 0;

  bool operator==(const RunnerCredits &) const = default;
};

// The reply to a report: all credits of the holder in this zone. It has none on
// runners that are not listed.
struct CreditGrant {
  Holder To;
  ZoneId Zone;
  Term LedgerTerm;
  // Increases within a term with every grant of new contents.
  uint64_t Serial = 0;
  // Sequence number of the report that the grant answers.
  uint64_t ReportSequence = 0;
  // The credits expire this long after that report was sent.
  Duration Lease;
  // True while credits of the preceding term may still be in use. The holder
  // then gets no new credits: on each runner it keeps the lesser of the credits
  // that it has and those listed here.
  bool IsRenewal = false;
  std::vector<RunnerCredits> Credits;
  // Entries that other holders have requests queued for. The holder is to
  // return its unused credits on their runners at once.
  std::vector<EntryId> Contended;

  bool operator==(const CreditGrant &) const = default;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_MESSAGES_H_
