// jujube-zone: one replica of the scheduler of an availability zone.
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/daemon/daemon.h"
#include "jujube/daemon/identity.h"
#include "jujube/zone/zone_tree.h"

namespace jujube {
namespace {

const std::vector<SettingSpec> Specs = {
    {"host", SettingKind::Text, "", "name of this scheduler in --peers", true},
    {"zone", SettingKind::Text, "", "availability zone", true},
    {"peers", SettingKind::Text, "",
     "the zone's schedulers as HOST=IP:PORT,...", true},
    {"keepers", SettingKind::AddressList, "", "addresses of the keepers", true},
    {"fleet-token-file", SettingKind::Text, "",
     "file with the secret of the system's processes", true},
    {"policy", SettingKind::Text, "waiting", "placement policy"},
    {"worker-lease-ms", SettingKind::Millis, "6000",
     "a worker stops its tasks this long after its last answered sync", false,
     2000, 600000},
};

Result<runtime::Supervisor> makeTree(const Settings &settings) {
  zone::ZoneOptions options;
  const auto identity = daemon::readIdentity(settings, true);
  if (!isOk(identity))
    return errorOf(identity);
  auto peers = daemon::parsePeers(settings.text("peers"));
  if (!isOk(peers))
    return errorOf(peers);
  if (valueOf(peers).size() % 2 == 0)
    return Error{
        ErrorKind::InvalidArgument,
        absl::StrCat("--peers names ", valueOf(peers).size(), " schedulers"),
        "name 1, 3 or 5; for a zone of two hosts name one elsewhere"};
  auto listen = daemon::addressOf(valueOf(peers), valueOf(identity).Self);
  if (!isOk(listen))
    return errorOf(listen);
  const auto policy =
      valueIn(placement::PolicyNameNames, settings.text("policy"));
  if (!policy)
    return Error{ErrorKind::InvalidArgument,
                 "--policy has the value '" + settings.text("policy") + "'",
                 "give one of: " + namesIn(placement::PolicyNameNames)};
  options.Self = valueOf(identity).Self;
  options.Zone = valueOf(identity).Zone;
  options.Listen = valueOf(listen);
  options.Peers = valueOf(peers);
  options.Keepers = settings.addresses("keepers");
  options.FleetToken = valueOf(identity).FleetToken;
  options.Policy = *policy;
  options.WorkerLease = settings.duration("worker-lease-ms");
  return zone::zoneTree(options);
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) {
  return jujube::daemon::runDaemon("jujube-zone [flags]", jujube::Specs,
                                   jujube::makeTree, argc, argv);
}
