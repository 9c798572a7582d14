// The shared main function of the daemons and helpers for their settings.
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

// Parses a list of group members of the form "HOST=IP:PORT,HOST=IP:PORT".
Result<std::vector<consensus::Peer>> parsePeers(absl::string_view text);

// Returns the address of `self` in `peers`, or InvalidArgument if it is not
// listed.
Result<Address> addressOf(const std::vector<consensus::Peer> &peers,
                          const HostId &self);

// Builds the supervisor tree of a daemon from its validated settings.
using TreeHook = std::function<Result<runtime::Supervisor>(const Settings &)>;

// Implements main() of a daemon: parses the settings, starts logging and runs
// the supervisor tree until SIGTERM or SIGINT. Returns the exit code: 0 after
// an orderly stop, 1 if the tree failed, UsageExitCode if the settings are
// invalid.
int runDaemon(absl::string_view usage, const std::vector<SettingSpec> &specs,
              const TreeHook &makeTree, int argc, char **argv);

} // namespace jujube::daemon

#endif // JUJUBE_DAEMON_DAEMON_H_
