// The supervisor tree of jujube-zone.
#ifndef JUJUBE_ZONE_ZONE_TREE_H_
#define JUJUBE_ZONE_ZONE_TREE_H_

#include "jujube/base/result.h"
#include "jujube/runtime/supervisor.h"
#include "jujube/zone/zone_task.h"

namespace jujube::zone {

// Returns a supervisor of the zone task and of the transport that delivers
// messages to it, in this order.
Result<runtime::Supervisor> zoneTree(const ZoneOptions &options);

} // namespace jujube::zone

#endif // JUJUBE_ZONE_ZONE_TREE_H_
