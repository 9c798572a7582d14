// Request and response bodies that only the HTTP interface has. The remaining
// fields of these commands are in the path, the query or the headers.
#ifndef JUJUBE_HTTP_BODIES_H_
#define JUJUBE_HTTP_BODIES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jujube/api/commands.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/types.h"

namespace jujube::http {

// POST /v1/requests.
struct SubmitBody {
  RequestId Request;
  EntryId Entry;
  std::string Payload;
  std::optional<uint32_t> Tasks;
  Duration StartWithin;

  bool operator==(const SubmitBody &) const = default;
};

// POST /v1/entries/ENTRY/call.
struct CallBody {
  RequestId Request;
  std::string Payload;
  Duration Timeout;

  bool operator==(const CallBody &) const = default;
};

// A file in which operators declare the desired teams and entries. It has no
// keys, because secrets must not be stored in it.
struct DesiredCatalogue {
  std::vector<catalogue::Team> Teams;
  std::vector<catalogue::Entry> Entries;

  bool operator==(const DesiredCatalogue &) const = default;
};

// The output of jujubectl for a newly issued key.
struct IssuedKey {
  KeyId Id;
  TeamId Team;
  // "KEYID.SECRET".
  std::string Presented;
  api::EditReceipt Receipt;

  bool operator==(const IssuedKey &) const = default;
};

// The body of every error response.
struct ErrorBody {
  Error Problem;

  bool operator==(const ErrorBody &) const = default;
};

// GET /v1/zones of the control group.
struct ZoneList {
  // Zones whose workers take no further tasks.
  std::vector<ZoneId> Evacuated;

  bool operator==(const ZoneList &) const = default;
};

// The response to a command that returns no data.
struct DoneBody {
  bool IsDone = true;

  bool operator==(const DoneBody &) const = default;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_BODIES_H_
