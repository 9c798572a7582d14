// The control hosts that have recently contacted the keepers' leader.
#ifndef JUJUBE_KEEPER_HOST_ROSTER_H_
#define JUJUBE_KEEPER_HOST_ROSTER_H_

#include <map>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/wire/messages.h"

namespace jujube::keeper {

// A list of hosts with a version, so that the list is sent only to hosts that
// have a different version. Owned by the fleet task.
class HostRoster {
public:
  // A host that has been silent for `timeout` is removed by expire().
  explicit HostRoster(Duration timeout) : Timeout(timeout) {}

  // Called when this keeper becomes the leader. Versions from other leaders
  // compare as different from then on.
  void lead(Term term);
  // Records the status that a host reported about itself. Returns true if the
  // host is new to the list.
  bool record(const wire::HostStatus &status, Instant now);
  // Removes silent hosts. Called about once a second.
  void expire(Instant now);

  wire::HostListVersion version() const { return Version; }
  // All listed hosts, ordered by id.
  std::vector<wire::HostStatus> hosts() const;

private:
  struct HostEntry {
    wire::HostStatus Status;
    Instant LastSeen;
  };

  Duration Timeout;
  std::map<HostId, HostEntry> Entries;
  wire::HostListVersion Version;
};

} // namespace jujube::keeper

#endif // JUJUBE_KEEPER_HOST_ROSTER_H_
