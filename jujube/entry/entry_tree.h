// The supervisor tree of jujube-entry.
#ifndef JUJUBE_ENTRY_ENTRY_TREE_H_
#define JUJUBE_ENTRY_ENTRY_TREE_H_

#include "jujube/base/result.h"
#include "jujube/entry/entry_options.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::entry {

// Creates the supervisor tree: the entry task, the runner links, the transport,
// the HTTP server, and the gate task, which drains the host on an orderly stop.
Result<runtime::Supervisor> entryTree(const EntryOptions &options);

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ENTRY_TREE_H_
