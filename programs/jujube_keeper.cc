// jujube-keeper: one replica of the consensus group that stores the fleet log.
#include <string>
#include <vector>

#include "jujube/daemon/daemon.h"
#include "jujube/daemon/identity.h"
#include "jujube/keeper/keeper_tree.h"

namespace jujube {
namespace {

const std::vector<SettingSpec> Specs = {
    {"host", SettingKind::Text, "", "name of this keeper in --keepers", true},
    {"keepers", SettingKind::Text, "", "all keepers as HOST=IP:PORT,...", true},
    {"data", SettingKind::Text, "", "folder for the journal and snapshots",
     true},
    {"fleet-token-file", SettingKind::Text, "",
     "file with the secret of the system's processes", true},
};

Result<runtime::Supervisor> makeTree(const Settings &settings) {
  keeper::KeeperOptions options;
  const auto identity = daemon::readIdentity(settings, false);
  if (!isOk(identity))
    return errorOf(identity);
  auto keepers = daemon::parsePeers(settings.text("keepers"));
  if (!isOk(keepers))
    return errorOf(keepers);
  auto listen = daemon::addressOf(valueOf(keepers), valueOf(identity).Self);
  if (!isOk(listen))
    return errorOf(listen);
  options.Self = valueOf(identity).Self;
  options.Listen = valueOf(listen);
  options.Keepers = valueOf(keepers);
  options.DataFolder = settings.text("data");
  options.FleetToken = valueOf(identity).FleetToken;
  return keeper::keeperTree(options);
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) {
  return jujube::daemon::runDaemon("jujube-keeper [flags]", jujube::Specs,
                                   jujube::makeTree, argc, argv);
}
