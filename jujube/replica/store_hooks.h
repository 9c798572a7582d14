// Adapts a store to the disk hooks of a replica.
#ifndef JUJUBE_REPLICA_STORE_HOOKS_H_
#define JUJUBE_REPLICA_STORE_HOOKS_H_

#include <vector>

#include "jujube/replica/replica.h"
#include "jujube/storage/store.h"

namespace jujube::replica {

// Returns hooks that write to `store`, which must outlive the replica.
inline DiskHooks diskHooksFor(storage::Store &store) {
  DiskHooks hooks;
  hooks.Write =
      [&store](const std::vector<consensus::Persist> &changes) -> Status {
    for (const consensus::Persist &change : changes)
      if (Status status = store.write(change); !isOk(status))
        return status;
    return store.sync();
  };
  hooks.SaveSnapshot = [&store](const consensus::Snapshot &snapshot) {
    return store.saveSnapshot(snapshot);
  };
  hooks.InstallSnapshot = [&store](const consensus::Snapshot &snapshot) {
    return store.installSnapshot(snapshot);
  };
  return hooks;
}

} // namespace jujube::replica

#endif // JUJUBE_REPLICA_STORE_HOOKS_H_
