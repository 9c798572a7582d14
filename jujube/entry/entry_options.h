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
  // Where other processes of the system reach this entry host.
  Address Listen;
  // Where callers, operators, workers and runners reach it.
  Address Http;
  std::optional<http::TlsFiles> Tls;
  // The schedulers of its own availability zone.
  std::vector<Address> ZonePeers;
  std::vector<Address> Keepers;
  // Secret of the system's processes, workers and runners.
  std::string FleetToken;
  // Secret of the operators.
  std::string OperatorToken;
  // Most live requests that are on their way to runners at once.
  std::size_t Links = 64;
  // How long it fails the balancer's health check before it refuses
  // connections.
  Duration LeaveDelay = Duration::seconds(2);
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ENTRY_OPTIONS_H_
