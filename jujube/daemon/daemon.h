// What the mains of the daemons have in common.
#ifndef JUJUBE_DAEMON_DAEMON_H_
#define JUJUBE_DAEMON_DAEMON_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"
#include "jujube/base/settings.h"
#include "jujube/consensus/types.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::daemon {

// Parses "HOST=IP:PORT,HOST=IP:PORT".
Result<std::vector<consensus::Peer>> parsePeers(absl::string_view text);

// The address of the peer called `self`, or an error that names the list.
Result<Address> addressOf(const std::vector<consensus::Peer> &peers,
                          const HostId &self);

// Builds the tree of a daemon from its checked settings.
using TreeHook = std::function<Result<runtime::Supervisor>(const Settings &)>;

// The body of a daemon's main: parses settings, starts logging, runs the tree
// until SIGTERM or SIGINT and returns the exit code: 0 after an orderly end, 1
// if the tree gave up, UsageExitCode if the settings were refused.
int runDaemon(absl::string_view usage, const std::vector<SettingSpec> &specs,
              const TreeHook &makeTree, int argc, char **argv);

} // namespace jujube::daemon

#endif // JUJUBE_DAEMON_DAEMON_H_
