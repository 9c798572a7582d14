// The control hosts that the keepers' leader has heard from lately.
#ifndef JUJUBE_KEEPER_HOST_ROSTER_H_
#define JUJUBE_KEEPER_HOST_ROSTER_H_

#include <map>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/wire/messages.h"

namespace jujube::keeper {

// Gives each state of the list a version, so that it is sent only to those who
// have another. Belongs to the fleet task.
class HostRoster {
public:
  // A host that was silent for `timeout` is not listed any more.
  explicit HostRoster(Duration timeout) : Timeout(timeout) {}

  // This keeper leads from now on: versions of other leaders are void.
  void lead(Term term);
  // The host has said this of itself. Returns true if it was not listed.
  bool note(const wire::HostStatus &status, Instant now);
  // Takes silent hosts off the list; about once a second.
  void expire(Instant now);

  wire::HostListVersion version() const { return Version; }
  // In order of id.
  std::vector<wire::HostStatus> hosts() const;

private:
  struct Row {
    wire::HostStatus Status;
    Instant LastSeen;
  };

  Duration Timeout;
  std::map<HostId, Row> Rows;
  wire::HostListVersion Version;
};

} // namespace jujube::keeper

#endif // JUJUBE_KEEPER_HOST_ROSTER_H_
