// The control group's own HTTP interface for evacuations:
//   GET  /v1/zones                 lists the evacuated zones
//   POST /v1/zones/ZONE/evacuate   starts no further task in the zone
//   POST /v1/zones/ZONE/restore    withdraws the evacuation
// Responses are those of the /v1 interface, see docs/API.md.
#ifndef JUJUBE_CONTROL_ZONE_CALLS_H_
#define JUJUBE_CONTROL_ZONE_CALLS_H_

#include <optional>

#include "jujube/base/result.h"
#include "jujube/http/exchange_server.h"
#include "jujube/jobs/commands.h"

namespace jujube::control {

// Returns the command of a call about zones, or nullopt for other paths.
std::optional<Result<jobs::Command>>
decodeZoneCall(const http::RawRequest &exchange);

// Encodes the reply to a command of decodeZoneCall().
http::RawResponse encodeZoneAnswer(const Result<jobs::Reply> &reply);

} // namespace jujube::control

#endif // JUJUBE_CONTROL_ZONE_CALLS_H_
