// Bodies that exist on the HTTP interface only: commands whose other parts
// travel in the path, the query or the headers.
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

// What operators write in a file: the teams and entries that are wanted. Keys
// are not part of it, because their secrets must not be.
struct CatalogueFile {
  std::vector<catalogue::Team> Teams;
  std::vector<catalogue::Entry> Entries;

  bool operator==(const CatalogueFile &) const = default;
};

// What jujubectl prints of a key that it has issued.
struct IssuedKey {
  KeyId Id;
  TeamId Team;
  // "KEYID.SECRET".
  std::string Presented;
  api::EditReceipt Receipt;

  bool operator==(const IssuedKey &) const = default;
};

// The body of every answer that reports an error.
struct ErrorBody {
  Error Problem;

  bool operator==(const ErrorBody &) const = default;
};

// The answer to a command that has no other.
struct DoneBody {
  bool IsDone = true;

  bool operator==(const DoneBody &) const = default;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_BODIES_H_
