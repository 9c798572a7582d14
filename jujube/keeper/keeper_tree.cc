#include "jujube/keeper/keeper_tree.h"

#include "jujube/wire/member_tree.h"

namespace jujube::keeper {

Result<runtime::Supervisor> keeperTree(const KeeperOptions &options) {
  return wire::makeMemberSupervisor<FleetTask>("keeper", options);
}

} // namespace jujube::keeper
