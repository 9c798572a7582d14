#include "jujube/daemon/identity.h"

#include "jujube/base/secret_file.h"

namespace jujube::daemon {

Result<Identity> readIdentity(const Settings &settings, bool hasZone) {
  Identity identity;
  auto self = HostId::parse(settings.text("host"));
  if (!isOk(self))
    return errorOf(self);
  identity.Self = valueOf(self);
  if (hasZone) {
    auto zone = ZoneId::parse(settings.text("zone"));
    if (!isOk(zone))
      return errorOf(zone);
    identity.Zone = valueOf(zone);
  }
  auto token = readSecretFile(settings.text("fleet-token-file"));
  if (!isOk(token))
    return errorOf(token);
  identity.FleetToken = valueOf(token);
  return identity;
}

} // namespace jujube::daemon
