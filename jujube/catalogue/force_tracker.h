// Tells when a revision is in force on every copy of the catalogue.
#ifndef JUJUBE_CATALOGUE_FORCE_TRACKER_H_
#define JUJUBE_CATALOGUE_FORCE_TRACKER_H_

#include <vector>

#include "absl/container/btree_map.h"

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::catalogue {

// Kept in memory by the keepers' leader, on its own clock. A revision is in
// force once every follower has it or can't be fresh without it any more.
class ForceTracker {
public:
  // `takeover`: when this leader began to lead. Followers that only its
  // predecessor knew stop being fresh `bound` + `drift` after it.
  ForceTracker(Instant takeover, Duration bound, Duration drift)
      : Takeover(takeover), Grace(bound + drift) {}

  // A follower that has applied `has` was sent a confirmation of `to` now.
  // Call it before the reply leaves.
  void onReply(const HostId &host, Revision has, Revision to, Instant now);

  // A poll of a follower that has applied `has` arrived.
  void onPoll(const HostId &host, Revision has);

  bool isInForce(Revision revision, Instant now) const;

  // Followers seen within the bound.
  std::vector<HostId> freshHosts(Instant now) const;

  // Drops followers that were silent for longer than `span`.
  void forgetSilent(Instant now, Duration span);

private:
  // A confirmation that the follower may hold.
  struct Confirmation {
    Revision To;
    Instant SentAt;
  };
  struct Follower {
    Revision Has;
    Instant LastReply;
    // Confirmations not yet known to be superseded, oldest first.
    std::vector<Confirmation> Sent;
  };

  Instant Takeover;
  Duration Grace;
  absl::btree_map<HostId, Follower> Followers;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_FORCE_TRACKER_H_
