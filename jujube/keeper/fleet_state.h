// The fleet log's state machine: the catalogue and the ledger of slices.
#ifndef JUJUBE_KEEPER_FLEET_STATE_H_
#define JUJUBE_KEEPER_FLEET_STATE_H_

#include <string>

#include "jujube/base/result.h"
#include "jujube/catalogue/catalogue.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/wire/messages.h"

namespace jujube::keeper {

// Applies fleet commands; the same commands in the same order give the same
// state on every keeper.
class FleetState {
public:
  // An accepted edit of a team also changes its ceiling in the ledger.
  void apply(const wire::FleetCommand &command);

  const catalogue::Catalogue &catalogue() const { return Entries; }
  const limits::SliceLedger &slices() const { return Slices; }

  // The first answer to an edit that was applied; precondition: it was.
  Result<Revision> answerTo(const catalogue::Edit &edit);

  // True if the ceiling that the edit sets, if any, holds over all zones.
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
