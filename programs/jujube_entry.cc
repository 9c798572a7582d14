// jujube-entry: an entry host; serves callers, operators, workers and runners.
#include <string>
#include <vector>

#include "jujube/base/secret_file.h"
#include "jujube/daemon/daemon.h"
#include "jujube/daemon/identity.h"
#include "jujube/entry/entry_tree.h"

namespace jujube {
namespace {

const std::vector<SettingSpec> Specs = {
    {"host", SettingKind::Text, "", "name of this entry host", true},
    {"zone", SettingKind::Text, "", "availability zone", true},
    {"listen", SettingKind::AddressText, "",
     "address for the system's processes", true},
    {"http", SettingKind::AddressText, "", "address of the HTTP server", true},
    {"zone-peers", SettingKind::AddressList, "",
     "addresses of the schedulers of this zone", true},
    {"keepers", SettingKind::AddressList, "", "addresses of the keepers", true},
    {"fleet-token-file", SettingKind::Text, "",
     "file with the secret of the system's processes, workers and runners",
     true},
    {"operator-token-file", SettingKind::Text, "",
     "file with the operators' secret", true},
    {"tls-cert", SettingKind::Text, "",
     "PEM certificate chain; empty for plain HTTP"},
    {"tls-key", SettingKind::Text, "", "PEM private key of --tls-cert"},
    {"links", SettingKind::Integer, "64",
     "maximum number of live requests in transit to runners", false, 1, 1000},
    {"leave-ms", SettingKind::Millis, "2000",
     "time for which the health check fails before connections are refused",
     false, 0, 600000},
};

Result<entry::EntryOptions> readOptions(const Settings &settings) {
  entry::EntryOptions options;
  const auto identity = daemon::readIdentity(settings, true);
  if (!isOk(identity))
    return errorOf(identity);
  auto operators = readSecretFile(settings.text("operator-token-file"));
  if (!isOk(operators))
    return errorOf(operators);
  options.Self = valueOf(identity).Self;
  options.Zone = valueOf(identity).Zone;
  options.FleetToken = valueOf(identity).FleetToken;
  options.OperatorToken = valueOf(operators);
  options.Listen = settings.address("listen");
  options.Http = settings.address("http");
  options.ZonePeers = settings.addresses("zone-peers");
  options.Keepers = settings.addresses("keepers");
  options.Links = static_cast<std::size_t>(settings.integer("links"));
  options.DrainDelay = settings.duration("leave-ms");
  if (settings.text("tls-cert").empty() != settings.text("tls-key").empty())
    return Error{ErrorKind::InvalidArgument,
                 "only one of --tls-cert and --tls-key is given",
                 "give both to serve HTTPS, or neither"};
  if (!settings.text("tls-cert").empty())
    options.Tls =
        http::TlsFiles{settings.text("tls-cert"), settings.text("tls-key")};
  return options;
}

Result<runtime::Supervisor> makeTree(const Settings &settings) {
  const auto options = readOptions(settings);
  if (!isOk(options))
    return errorOf(options);
  return entry::entryTree(valueOf(options));
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) {
  return jujube::daemon::runDaemon("jujube-entry [flags]", jujube::Specs,
                                   jujube::makeTree, argc, argv);
}
