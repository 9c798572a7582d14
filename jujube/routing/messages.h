// Messages between the routers of entry hosts and the credit ledger of an
// availability zone's leader.
//
// Both sides tolerate loss, duplication and reordering: reports carry a
// sequence, grants a serial, and all amounts are absolute.
#ifndef JUJUBE_ROUTING_MESSAGES_H_
#define JUJUBE_ROUTING_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::routing {

// Identifies one start of an entry host. A restarted host is another holder,
// because it does not know what its predecessor had in flight.
struct Holder {
  HostId Host;
  Incarnation Start;

  auto operator<=>(const Holder &) const = default;
};

// What an entry host holds and uses of one runner.
struct RunnerUse {
  RunnerId Runner;
  // Credits it keeps; at least InFlight. What it held beyond is given back.
  uint32_t Held = 0;
  uint32_t InFlight = 0;
  // The most credits it can use: fewer for a slow or failing runner.
  uint32_t Limit = 0;

  bool operator==(const RunnerUse &) const = default;
};

// What a team wants of the runners of a catalogue entry at one entry host.
struct TeamDemand {
  EntryId Entry;
  TeamId Team;
  // Weight of the team's share.
  uint32_t Share = 1;
  uint32_t Queued = 0;
  // On runners of the zone that the report goes to.
  uint32_t InFlight = 0;
  // The entry host's own zone has no runner of the entry.
  bool IsStranded = false;

  bool operator==(const TeamDemand &) const = default;
};

// Periodic message of an entry host to the leader of one availability zone.
// Runners that are not listed are not used, and their limit is MaxPerRunner;
// teams that are not listed demand nothing.
struct EntryReport {
  Holder From;
  // Of the entry host. Others' zones get what its own entry hosts leave.
  ZoneId HomeZone;
  // Whose leader the report is for.
  ZoneId Zone;
  // Higher in every report.
  uint64_t Sequence = 0;
  // Since the entry host started.
  Duration UpFor;
  // The grant that was applied last.
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

// The answer to a report: all credits of the holder in this zone. Runners that
// are not listed have none.
struct CreditGrant {
  Holder To;
  ZoneId Zone;
  Term LedgerTerm;
  // Higher in every grant of a term with other contents.
  uint64_t Serial = 0;
  uint64_t AnswersReport = 0;
  // The credits run out this span after the answered report was sent.
  Duration Lease;
  // True while the ledger waits out its predecessor: the holder keeps the
  // lesser of its credits and these.
  bool IsRenewal = false;
  std::vector<RunnerCredits> Credits;
  // Entries that requests of other holders wait for: credits that the holder
  // does not use are wanted back at once.
  std::vector<EntryId> Contended;

  bool operator==(const CreditGrant &) const = default;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_MESSAGES_H_
