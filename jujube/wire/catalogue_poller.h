// Keeps a process's copy of the catalogue up to date by long polling.
#ifndef JUJUBE_WIRE_CATALOGUE_POLLER_H_
#define JUJUBE_WIRE_CATALOGUE_POLLER_H_

#include <functional>
#include <vector>

#include "jujube/catalogue/follower.h"
#include "jujube/wire/leader_client.h"
#include "jujube/wire/messages.h"

namespace jujube::wire {

// Long-polls the keepers' leader for catalogue updates, one poll at a time.
// Each poll is also this process's heartbeat. Belongs to the task that owns the
// loop.
class CataloguePoller {
public:
  struct Hooks {
    // Returns the status of this process to send with the next poll.
    std::function<HostStatus()> DescribeSelf;
    // Called when the copy has advanced to a new revision.
    std::function<void()> OnNewRevision;
    // Called after each successful poll, when hosts() is up to date.
    std::function<void()> OnHostsConfirmed = [] {};
  };

  CataloguePoller(runtime::PollLoop &loop, LeaderClient &keepers, Hooks hooks)
      : Loop(loop), Keepers(keepers), Callbacks(std::move(hooks)) {}

  void start() { poll(); }

  const catalogue::CatalogueFollower &follower() const { return Follower; }
  const catalogue::Catalogue &catalogue() const { return Follower.catalogue(); }
  // The control hosts in the latest list from the keepers.
  const std::vector<HostStatus> &hosts() const { return Hosts; }

private:
  void poll();
  void handleReply(Result<Message> reply, Instant sentAt);

  runtime::PollLoop &Loop;
  LeaderClient &Keepers;
  Hooks Callbacks;
  catalogue::CatalogueFollower Follower;
  std::vector<HostStatus> Hosts;
  HostListVersion HostsVersion;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_CATALOGUE_POLLER_H_
