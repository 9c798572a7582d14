// The keepers' side of ceilings: the division of each team's ceiling into one
// slice per zone. Grants never raise the sum of the slices above the ceiling.
#ifndef JUJUBE_LIMITS_SLICE_LEDGER_H_
#define JUJUBE_LIMITS_SLICE_LEDGER_H_

#include <optional>
#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/result.h"
#include "jujube/limits/types.h"

namespace jujube::limits {

// A slice and the need that its zone last reported.
struct SliceEntry {
  ZoneId Zone;
  Slice Held;
  Resources Wanted;

  bool operator==(const SliceEntry &) const = default;
};

// The ceiling of a team and its slices.
struct LedgerTeam {
  TeamId Team;
  Resources Ceiling;
  std::vector<SliceEntry> Slices;

  bool operator==(const LedgerTeam &) const = default;
};

// A zone and the last report from it that was applied.
struct LedgerZone {
  ZoneId Zone;
  Term LeaderTerm;
  uint64_t Sequence = 0;

  bool operator==(const LedgerZone &) const = default;
};

// The content of a snapshot of the ledger.
struct LedgerState {
  GrantVersion Latest;
  std::vector<LedgerZone> Zones;
  std::vector<LedgerTeam> Teams;

  bool operator==(const LedgerState &) const = default;
};

// Replicated state machine of the fleet log; its result does not depend on
// time. The keepers' leader tracks the leases of the zones in a
// LeaseTable<ZoneId>, which it creates once it has applied the first log entry
// of its own term. To answer a report, the leader does the following:
//   1. propose commandFor(report), if any, and wait until it is applied;
//   2. if the table's renew() returns false and holdsBorrowed(): propose
//      ReclaimBorrowed with latest() and wait until it is applied;
//   3. if renew() returned false, reset() the lease;
//   4. send replyTo(report), while it holds the leader lease of its group.
// Once a second the leader proposes ReclaimBorrowed for every zone that is
// ended() and holdsBorrowed().
class SliceLedger {
public:
  explicit SliceLedger(SlicePolicy policy = {}) : Policy(policy) {}

  void apply(const SliceCommand &command);

  // The command that a report requires: AddZone for an unknown zone, otherwise
  // ApplyReport with the lines that change the ledger. Nothing if the report
  // changes nothing.
  std::optional<SliceCommand> commandFor(const SliceReport &report) const;

  // The reply to a report, computed from the applied state. Must be sent only
  // after the command of the report was applied.
  SliceReply replyTo(const SliceReport &report) const;

  // The version of the latest grant.
  GrantVersion latest() const { return Latest; }
  bool hasZone(const ZoneId &zone) const { return Zones.contains(zone); }
  // True if the zone holds a borrowed part of any ceiling.
  bool holdsBorrowed(const ZoneId &zone) const;

  // The ceiling as last set; zero for an unknown team.
  Resources ceiling(const TeamId &team) const;
  // The sum of the slices of all zones.
  Resources held(const TeamId &team) const;
  // True if the sum of the slices does not exceed the ceiling.
  bool isCeilingMet(const TeamId &team) const;

  LedgerState state() const;
  // Fails if a team does not have exactly one slice for each zone.
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
    // True if any zone needs more than it holds.
    bool hasUnmetNeed() const;
  };
  // Orders the reports of a zone.
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

  // The guaranteed part to which each zone is entitled: an equal division of
  // the guaranteed percentage of the ceiling.
  Resources entitlement(const TeamAccount &account) const;
  // The most that the zone should hold while the zones want more than the
  // ceiling.
  Resources limitOf(const TeamAccount &account, const ZoneId &zone) const;
  // The part of limitOf() that the zone gets before the rest of the ceiling is
  // divided.
  Resources baseLimitOf(const TeamAccount &account,
                        const SliceRecord &record) const;
  // The guidance for the zone; nothing if its slice is not limited.
  std::optional<SliceLimit> sliceLimitFor(const TeamId &team,
                                          const TeamAccount &account,
                                          const ZoneId &zone) const;

  // Grants the unallocated part of the ceiling.
  void distribute(TeamAccount &account);
  void restoreGuaranteed(TeamAccount &account, Resources &unallocated);
  void lend(TeamAccount &account, Resources &unallocated);
  // Makes the slice the latest grant.
  void assignVersion(Slice &slice);

  SlicePolicy Policy;
  GrantVersion Latest;
  absl::btree_map<ZoneId, ReportPosition> Zones;
  absl::btree_map<TeamId, TeamAccount> Teams;
};

} // namespace jujube::limits

#endif // JUJUBE_LIMITS_SLICE_LEDGER_H_
