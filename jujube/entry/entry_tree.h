// The supervisor tree of jujube-entry.
#ifndef JUJUBE_ENTRY_ENTRY_TREE_H_
#define JUJUBE_ENTRY_ENTRY_TREE_H_

#include "jujube/base/result.h"
#include "jujube/entry/entry_options.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::entry {

// Returns the tree: the entry task, the links to runners, the transport, the
// HTTP server, and the gate that makes an orderly end.
Result<runtime::Supervisor> entryTree(const EntryOptions &options);

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ENTRY_TREE_H_
