// A copy of the catalogue on an entry host or a zone's scheduler.
#ifndef JUJUBE_CATALOGUE_FOLLOWER_H_
#define JUJUBE_CATALOGUE_FOLLOWER_H_

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/catalogue.h"

namespace jujube::catalogue {

// Maximum age of the keepers' confirmation of a copy for which requests that
// need a key are accepted.
inline constexpr Duration FreshnessBound = Duration::seconds(3);

// A read-only copy of the catalogue that applies updates in order and never
// goes back to an older revision. Owned by one task; not thread-safe. Instants
// are those of this host's monotonic clock.
class CatalogueFollower {
public:
  explicit CatalogueFollower(Duration bound = FreshnessBound) : Bound(bound) {}

  // Applies an update that answers a poll sent at `sentAt`, and returns the
  // revision of the copy. Fails with StaleData, and leaves the copy unchanged,
  // if the update is older than the copy or leaves a gap; the caller should
  // poll again.
  Result<Revision> receive(const Update &update, Instant sentAt);

  // Returns true if a majority of keepers confirmed the copy within the bound,
  // counted from the time at which the confirmed poll was sent.
  bool isFresh(Instant now) const;
  // Returns Unavailable, with a remedy for the caller, if the copy is not
  // fresh.
  Status checkFresh(Instant now) const;
  // Returns the time since the last confirmation or, if there was none, since
  // the origin of the clock.
  Duration age(Instant now) const;

  // Same as Catalogue::authenticate(), but fails with Unavailable if the copy
  // is not fresh.
  Result<TeamId> authenticate(absl::string_view presented, Instant now) const;

  const Catalogue &catalogue() const { return Copy; }
  Revision latest() const { return Copy.latest(); }

private:
  // Applies the part of the update that the copy lacks.
  Status applyUpdate(const Update &update);

  Duration Bound;
  Catalogue Copy;
  bool HasBeenConfirmed = false;
  Instant ConfirmedAt;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_FOLLOWER_H_
