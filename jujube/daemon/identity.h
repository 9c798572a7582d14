// The settings that every daemon needs to know who it is.
#ifndef JUJUBE_DAEMON_IDENTITY_H_
#define JUJUBE_DAEMON_IDENTITY_H_

#include <string>

#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/base/settings.h"

namespace jujube::daemon {

// Who a process is and the secret that it shares with the others.
struct Identity {
  HostId Self;
  // Empty for keepers, which belong to no availability zone.
  ZoneId Zone;
  std::string FleetToken;
};

// Reads --host, --fleet-token-file and, for `hasZone`, --zone.
Result<Identity> readIdentity(const Settings &settings, bool hasZone);

} // namespace jujube::daemon

#endif // JUJUBE_DAEMON_IDENTITY_H_
