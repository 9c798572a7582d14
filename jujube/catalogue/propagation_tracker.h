// Determines when a revision is in force on every copy of the catalogue.
#ifndef JUJUBE_CATALOGUE_PROPAGATION_TRACKER_H_
#define JUJUBE_CATALOGUE_PROPAGATION_TRACKER_H_

#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::catalogue {

// Tracks which catalogue revisions the followers hold. A revision is in force
// once every follower either has applied it or can no longer be fresh without
// it (see CatalogueFollower::isFresh()). Owned by the keepers' leader, kept
// only in memory; instants are those of the leader's clock.
class PropagationTracker {
public:
  // `takeover` is the time when this leader took over. Followers known only to
  // the previous leader stop being fresh `bound` + `drift` after it, where
  // `bound` is the followers' freshness bound and `drift` allows for clock
  // drift.
  PropagationTracker(Instant takeover, Duration bound, Duration drift)
      : Takeover(takeover), ConfirmationLifetime(bound + drift) {}

  // Records that a confirmation of revision `to` is sent to a follower that has
  // applied revision `has`. Call this before sending the reply.
  void onReply(const HostId &host, Revision has, Revision to, Instant now);

  // Records the poll of a follower that has applied revision `has`.
  void onPoll(const HostId &host, Revision has);

  bool isInForce(Revision revision, Instant now) const;

  // Returns the followers that were sent a reply within `bound` + `drift`.
  std::vector<HostId> freshHosts(Instant now) const;

  // Removes followers that were sent no reply for longer than `span`, but not
  // before their confirmations have expired.
  void forgetInactive(Instant now, Duration span);

private:
  // A confirmation that the follower may have received.
  struct Confirmation {
    Revision To;
    Instant SentAt;
  };
  struct Follower {
    Revision Has;
    Instant LastReply;
    // Confirmations that may still keep the follower fresh, oldest first.
    std::vector<Confirmation> Sent;
  };

  Instant Takeover;
  // Time after which a confirmation can no longer keep a follower fresh.
  Duration ConfirmationLifetime;
  absl::btree_map<HostId, Follower> Followers;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_PROPAGATION_TRACKER_H_
