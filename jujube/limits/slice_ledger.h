// The keepers' side of ceilings: each team's ceiling split into slices of the
// zones, whose sum never exceeds it.
#ifndef JUJUBE_LIMITS_SLICE_LEDGER_H_
#define JUJUBE_LIMITS_SLICE_LEDGER_H_

#include <optional>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

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

// Everything that a snapshot of the ledger holds.
struct LedgerState {
  SlicePolicy Policy;
  GrantVersion Latest;
  std::vector<ZoneId> Zones;
  std::vector<LedgerTeam> Teams;
};

// Replicated state machine of the fleet log; knows no time. When a lease has
// ended is decided by the keepers' leader with a LeaseTable<ZoneId>: it sends a
// reply only if renew() allows it, and proposes ReclaimBorrowed when hasEnded()
// says so and `holdsBorrowed()`; after that is applied it calls reset().
class SliceLedger {
public:
  explicit SliceLedger(SlicePolicy policy = {}) : Policy(policy) {}

  void apply(const SliceCommand &command);

  // The command that a report calls for, or nothing if it changes nothing. Its
  // lines are only those that matter.
  std::optional<SliceCommand> commandFor(const SliceReport &report) const;

  // The answer to a report, from the applied state.
  SliceReply replyTo(const SliceReport &report) const;

  bool hasZone(const ZoneId &zone) const { return Zones.contains(zone); }
  bool holdsBorrowed(const ZoneId &zone) const;

  // The ceiling as last set; zero for an unknown team.
  Resources ceiling(const TeamId &team) const;
  // The sum of the zones' slices.
  Resources held(const TeamId &team) const;
  // True if the zones hold no more than the ceiling.
  bool isInForce(const TeamId &team) const;

  LedgerState state() const;
  static Result<SliceLedger> fromState(const LedgerState &state);

private:
  struct Part {
    Slice Held;
    Resources Wanted;
  };
  struct TeamLine {
    Resources Ceiling;
    absl::btree_map<ZoneId, Part> Parts;
  };

  void on(const AddZone &command);
  void on(const RetireZone &command);
  void on(const SetCeiling &command);
  void on(const ApplyReport &command);
  void on(const ReclaimBorrowed &command);

  Resources entitlement(const TeamLine &line) const;
  bool isContended(const TeamLine &line) const;
  bool matters(const SliceReport &report, const ReportLine &line) const;
  std::optional<Guidance> guidanceFor(const TeamId &team, const TeamLine &line,
                                      const ZoneId &zone) const;
  // Hands out what is free.
  void distribute(TeamLine &line);
  void restoreGuaranteed(TeamLine &line, Resources &freePart);
  void lendFree(TeamLine &line, Resources &freePart);
  void raise(Part &part, const Resources &guaranteed,
             const Resources &borrowed);

  SlicePolicy Policy;
  GrantVersion Latest;
  absl::btree_set<ZoneId> Zones;
  absl::btree_map<TeamId, TeamLine> Teams;
};

} // namespace jujube::limits

#endif // JUJUBE_LIMITS_SLICE_LEDGER_H_
