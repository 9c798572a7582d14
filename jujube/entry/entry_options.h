// Settings of an entry host.
#ifndef JUJUBE_ENTRY_ENTRY_OPTIONS_H_
#define JUJUBE_ENTRY_ENTRY_OPTIONS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/http/server.h"

namespace jujube::entry {

struct EntryOptions {
  HostId Self;
  ZoneId Zone;
  // Address for other processes of the system.
  Address Listen;
  // Address of the HTTP server for callers, operators, workers and runners.
  Address Http;
  std::optional<http::TlsFiles> Tls;
  // The schedulers of this host's availability zone.
  std::vector<Address> ZonePeers;
  std::vector<Address> Keepers;
  // Secret shared by the processes of the system, the workers and the runners.
  std::string FleetToken;
  // Secret of the operators.
  std::string OperatorToken;
  // Maximum number of concurrent exchanges with runners; each link owns one
  // HTTP connection.
  std::size_t Links = 64;
  // Time for which a leaving host fails the load balancer's health check, but
  // still accepts connections, before it starts to drain.
  Duration DrainDelay = Duration::seconds(2);
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ENTRY_OPTIONS_H_
