// The supervisor tree of jujube-zone.
#ifndef JUJUBE_ZONE_ZONE_TREE_H_
#define JUJUBE_ZONE_ZONE_TREE_H_

#include "jujube/base/result.h"
#include "jujube/runtime/supervisor.h"
#include "jujube/zone/zone_task.h"

namespace jujube::zone {

// Returns the tree: the zone task, then the transport that feeds it.
Result<runtime::Supervisor> zoneTree(const ZoneOptions &options);

} // namespace jujube::zone

#endif // JUJUBE_ZONE_ZONE_TREE_H_
