// The identity settings that all daemons share.
#ifndef JUJUBE_DAEMON_IDENTITY_H_
#define JUJUBE_DAEMON_IDENTITY_H_

#include <string>

#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/base/settings.h"

namespace jujube::daemon {

// The identity of a process and the secret that all processes of the fleet
// share.
struct Identity {
  HostId Self;
  // Empty for keepers, which do not belong to an availability zone.
  ZoneId Zone;
  std::string FleetToken;
};

// Reads --host, --fleet-token-file and, if `hasZone` is true, --zone.
Result<Identity> readIdentity(const Settings &settings, bool hasZone);

} // namespace jujube::daemon

#endif // JUJUBE_DAEMON_IDENTITY_H_
