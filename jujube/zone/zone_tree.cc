#include "jujube/zone/zone_tree.h"

#include "jujube/wire/member_tree.h"

namespace jujube::zone {

Result<runtime::Supervisor> zoneTree(const ZoneOptions &options) {
  return wire::makeMemberSupervisor<ZoneTask>("zone", options);
}

} // namespace jujube::zone
