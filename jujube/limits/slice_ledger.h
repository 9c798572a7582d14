// The keepers' side of ceilings: each team's ceiling split into slices of the
// zones, whose sum never exceeds it.
#ifndef JUJUBE_LIMITS_SLICE_LEDGER_H_
#define JUJUBE_LIMITS_SLICE_LEDGER_H_

#include <optional>
#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/result.h"
#include "jujube/limits/types.h"

namespace jujube::limits {

// One slice and what its zone last said that it wants.
struct SliceEntry {
  ZoneId Zone;
  Slice Held;
  Resources Wanted;

  bool operator==(const SliceEntry &) const = default;
};

// One team's line in the ledger.
struct LedgerTeam {
  TeamId Team;
  Resources Ceiling;
  std::vector<SliceEntry> Slices;

  bool operator==(const LedgerTeam &) const = default;
};

// A zone and the last report that changed its lines.
struct LedgerZone {
  ZoneId Zone;
  Term LeaderTerm;
  uint64_t Sequence = 0;

  bool operator==(const LedgerZone &) const = default;
};

// Everything that a snapshot of the ledger holds.
struct LedgerState {
  GrantVersion Latest;
  std::vector<LedgerZone> Zones;
  std::vector<LedgerTeam> Teams;

  bool operator==(const LedgerState &) const = default;
};

// Replicated state machine of the fleet log; knows no time. When a lease has
// ended is decided by the keepers' leader with a LeaseTable<ZoneId>, made when
// it has applied its first own entry of the log. To answer a report:
//   1. propose commandFor(report), if any, and wait until it is applied;
//   2. if the table's renew() refuses and holdsBorrowed(): propose
//      ReclaimBorrowed with latest() and wait until it is applied;
//   3. if renew() refused, reset() the lease;
//   4. send replyTo(report), under the leader lease of the keepers' group.
// Once a second it proposes ReclaimBorrowed for every zone that is ended() and
// holdsBorrowed().
class SliceLedger {
public:
  explicit SliceLedger(SlicePolicy policy = {}) : Policy(policy) {}

  void apply(const SliceCommand &command);

  // The command that a report calls for, or nothing if it changes nothing:
  // AddZone for an unknown zone, else ApplyReport with the lines that matter.
  std::optional<SliceCommand> commandFor(const SliceReport &report) const;

  // The answer to a report, from the applied state. Send it only after the
  // report's command was applied.
  SliceReply replyTo(const SliceReport &report) const;

  // The version of the newest grant.
  GrantVersion latest() const { return Latest; }
  bool hasZone(const ZoneId &zone) const { return Zones.contains(zone); }
  bool holdsBorrowed(const ZoneId &zone) const;

  // The ceiling as last set; zero for an unknown team.
  Resources ceiling(const TeamId &team) const;
  // The sum of the zones' slices.
  Resources held(const TeamId &team) const;
  // True if the zones hold no more than the ceiling.
  bool isInForce(const TeamId &team) const;

  LedgerState state() const;
  static Result<SliceLedger> fromState(const LedgerState &state,
                                       SlicePolicy policy = {});

private:
  struct SliceRecord {
    Slice Held;
    Resources Wanted;

    // True if the zone wants more than it holds.
    bool needsMore() const { return !Wanted.fitsIn(Held.total()); }
  };
  struct TeamAccount {
    Resources Ceiling;
    absl::btree_map<ZoneId, SliceRecord> Slices;

    Resources held() const;
    bool hasUnmetNeed() const;
  };
  struct ReportPosition {
    Term LeaderTerm;
    uint64_t Sequence = 0;

    auto operator<=>(const ReportPosition &) const = default;
  };

  void applyCommand(const AddZone &command);
  void applyCommand(const RetireZone &command);
  void applyCommand(const SetCeiling &command);
  void applyCommand(const ApplyReport &command);
  void applyCommand(const ReclaimBorrowed &command);

  const TeamAccount *findTeam(const TeamId &team) const;
  bool isOutdated(const SliceReport &report) const;
  bool changesLedger(const ZoneId &zone, const ReportLine &reported) const;

  // A zone's guaranteed part when nothing else speaks against it.
  Resources entitlement(const TeamAccount &account) const;
  // What a zone should hold while there is too little for all.
  Resources limitOf(const TeamAccount &account, const ZoneId &zone) const;
  // The part of limitOf() that does not depend on what is left over.
  Resources baseLimitOf(const TeamAccount &account,
                        const SliceRecord &record) const;
  std::optional<Guidance> guidanceFor(const TeamId &team,
                                      const TeamAccount &account,
                                      const ZoneId &zone) const;

  // Hands out what is free.
  void distribute(TeamAccount &account);
  void restoreGuaranteed(TeamAccount &account, Resources &unallocated);
  void lend(TeamAccount &account, Resources &unallocated);
  void assignVersion(Slice &slice);

  SlicePolicy Policy;
  GrantVersion Latest;
  absl::btree_map<ZoneId, ReportPosition> Zones;
  absl::btree_map<TeamId, TeamAccount> Teams;
};

} // namespace jujube::limits

#endif // JUJUBE_LIMITS_SLICE_LEDGER_H_
