// The state machine of the fleet log: the catalogue and the slice ledger.
#ifndef JUJUBE_KEEPER_FLEET_STATE_H_
#define JUJUBE_KEEPER_FLEET_STATE_H_

#include <string>

#include "jujube/base/result.h"
#include "jujube/catalogue/catalogue.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/wire/messages.h"

namespace jujube::keeper {

// The replicated state of the keepers, owned by the fleet task. Deterministic:
// the same commands in the same order give the same state on every keeper.
class FleetState {
public:
  // Applies a committed command. An accepted edit of a team also changes the
  // team's ceiling in the ledger.
  void apply(const wire::FleetCommand &command);

  const catalogue::Catalogue &catalogue() const { return Entries; }
  const limits::SliceLedger &slices() const { return Slices; }

  // Returns the result that `edit` had when it was first applied. The edit must
  // have been applied.
  Result<Revision> answerTo(const catalogue::Edit &edit);

  // True if the edit sets no ceiling, or if its ceiling is in force in all
  // zones.
  bool isCeilingInForce(const catalogue::Edit &edit) const;

  wire::FleetState capture() const;
  static Result<FleetState> restore(const wire::FleetState &state);

private:
  void applyEdit(const catalogue::Edit &edit);

  catalogue::Catalogue Entries;
  limits::SliceLedger Slices;
};

} // namespace jujube::keeper

#endif // JUJUBE_KEEPER_FLEET_STATE_H_
