// The supervisor tree of jujube-keeper.
#ifndef JUJUBE_KEEPER_KEEPER_TREE_H_
#define JUJUBE_KEEPER_KEEPER_TREE_H_

#include "jujube/base/result.h"
#include "jujube/keeper/fleet_task.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::keeper {

// Returns a supervisor of the fleet task and of the transport that delivers
// messages to it, in this order.
Result<runtime::Supervisor> keeperTree(const KeeperOptions &options);

} // namespace jujube::keeper

#endif // JUJUBE_KEEPER_KEEPER_TREE_H_
