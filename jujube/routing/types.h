// Runners and live requests.
#ifndef JUJUBE_ROUTING_TYPES_H_
#define JUJUBE_ROUTING_TYPES_H_

#include <cstdint>
#include <string>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::routing {

// A runner as it announces itself. It serves one catalogue entry.
struct RunnerAnnouncement {
  RunnerId Runner;
  // Higher after every start of the runner.
  Incarnation Start;
  EntryId Entry;
  ZoneId Zone;
  // Where it takes HTTP requests.
  Address Http;
  // The most requests in progress on it at once.
  uint32_t Slots = 8;
  // The most connections open to it at once.
  uint32_t Connections = 60;
  // True once it wants no new requests.
  bool IsLeaving = false;

  bool operator==(const RunnerAnnouncement &) const = default;
};

// A live request on its way to a runner.
struct LiveRequest {
  RequestId Request;
  TeamId Team;
  EntryId Entry;
  // True if it may be sent again after an outcome that is not known.
  bool IsIdempotent = false;
  // Shed after this instant of the entry host's clock.
  Instant Deadline = Instant::never();

  bool operator==(const LiveRequest &) const = default;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_TYPES_H_
