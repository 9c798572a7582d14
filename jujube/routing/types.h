// Data types for runners and live requests.
#ifndef JUJUBE_ROUTING_TYPES_H_
#define JUJUBE_ROUTING_TYPES_H_

#include <cstdint>
#include <string>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::routing {

// Heartbeat in which a runner describes itself. A runner serves one catalogue
// entry.
struct RunnerAnnouncement {
  RunnerId Runner;
  // Increases with every start of the runner.
  Incarnation Start;
  EntryId Entry;
  ZoneId Zone;
  // Address of the runner's HTTP server.
  Address Http;
  // The most requests that may be in progress on the runner at once.
  uint32_t Slots = 8;
  // The most connections that may be open to the runner at once.
  uint32_t Connections = 60;
  // True once the runner accepts no new requests.
  bool IsLeaving = false;

  bool operator==(const RunnerAnnouncement &) const = default;
};

// A live request to be sent to a runner.
struct LiveRequest {
  RequestId Request;
  TeamId Team;
  EntryId Entry;
  // True if the request may be sent again while the outcome of an earlier
  // attempt is unknown.
  bool IsIdempotent = false;
  // On the entry host's clock. A queued request that is not expected to finish
  // by then is shed, and attempts time out then at the latest.
  Instant Deadline = Instant::never();

  bool operator==(const LiveRequest &) const = default;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_TYPES_H_
