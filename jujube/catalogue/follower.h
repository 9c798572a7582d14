// A copy of the catalogue on an entry host or a zone's scheduler.
#ifndef JUJUBE_CATALOGUE_FOLLOWER_H_
#define JUJUBE_CATALOGUE_FOLLOWER_H_

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/catalogue.h"

namespace jujube::catalogue {

// How old the keepers' confirmation of a copy may be for keyed work to be
// accepted on it.
inline constexpr Duration FreshnessBound = Duration::seconds(3);

// Applies updates in order and never goes back to an older revision. Owned by
// one task; instants are those of this host's monotonic clock.
class CatalogueFollower {
public:
  explicit CatalogueFollower(Duration bound = FreshnessBound) : Bound(bound) {}

  // Applies an update that answers a poll sent at `sentAt`. StaleData if it is
  // older than the copy or leaves a gap; the copy is unchanged then and the
  // remedy is to poll again.
  Result<Revision> receive(const Update &update, Instant sentAt);

  // True if a keeper majority confirmed the copy within the bound.
  bool isFresh(Instant now) const;
  // The same as an error that tells the caller what to do.
  Status checkFresh(Instant now) const;
  // Since the last confirmation; Duration of `now` if there was none.
  Duration age(Instant now) const;

  // Authenticates only on a fresh copy; Unavailable otherwise.
  Result<TeamId> authenticate(absl::string_view presented, Instant now) const;

  const Catalogue &catalogue() const { return Copy; }
  Revision latest() const { return Copy.latest(); }

private:
  // Takes in what the update holds beyond the copy.
  Status advance(const Update &update);

  Duration Bound;
  Catalogue Copy;
  bool IsEverConfirmed = false;
  Instant ConfirmedAt;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_FOLLOWER_H_
