// The supervisor tree of jujube-keeper.
#ifndef JUJUBE_KEEPER_KEEPER_TREE_H_
#define JUJUBE_KEEPER_KEEPER_TREE_H_

#include "jujube/base/result.h"
#include "jujube/keeper/fleet_task.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::keeper {

// Returns the tree: the fleet task, then the transport that feeds it.
Result<runtime::Supervisor> keeperTree(const KeeperOptions &options);

} // namespace jujube::keeper

#endif // JUJUBE_KEEPER_KEEPER_TREE_H_
