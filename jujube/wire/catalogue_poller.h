// Keeps a process's copy of the catalogue up to date.
#ifndef JUJUBE_WIRE_CATALOGUE_POLLER_H_
#define JUJUBE_WIRE_CATALOGUE_POLLER_H_

#include <functional>
#include <vector>

#include "jujube/catalogue/follower.h"
#include "jujube/wire/leader_client.h"
#include "jujube/wire/messages.h"

namespace jujube::wire {

// Polls the keepers' leader without pause; polls double as the heartbeat of
// this process. Belongs to the task that owns the loop.
class CataloguePoller {
public:
  struct Hooks {
    // What this process says of itself in the next poll.
    std::function<HostStatus()> Describe;
    // The copy has a new revision.
    std::function<void()> OnNewRevision;
    // A keeper confirmed hosts(), or changed it.
    std::function<void()> OnHosts = [] {};
  };

  CataloguePoller(runtime::PollLoop &loop, LeaderClient &keepers, Hooks hooks)
      : Loop(loop), Keepers(keepers), Callbacks(std::move(hooks)) {}

  void start() { poll(); }

  const catalogue::CatalogueFollower &follower() const { return Follower; }
  const catalogue::Catalogue &catalogue() const { return Follower.catalogue(); }
  // The control hosts that the keepers listed last.
  const std::vector<HostStatus> &hosts() const { return Hosts; }

private:
  void poll();
  void take(Result<Message> reply, Instant sentAt);

  runtime::PollLoop &Loop;
  LeaderClient &Keepers;
  Hooks Callbacks;
  catalogue::CatalogueFollower Follower;
  std::vector<HostStatus> Hosts;
  HostListVersion HostsAt;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_CATALOGUE_POLLER_H_
