// The JSON encoding of the types of the HTTP interface.
//
// Keys are in snake_case. Enumerators are encoded by their names in the name
// tables. Durations and instants are whole milliseconds in keys that end in
// _ms; Instant::never() is null. Empty ids are omitted. Byte strings that are
// not UTF-8 are encoded as base64 in a key that ends in _base64. docs/API.md
// lists every field.
#ifndef JUJUBE_HTTP_JSON_H_
#define JUJUBE_HTTP_JSON_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/api/commands.h"
#include "jujube/base/result.h"

namespace jujube::http {

// Maximum nesting depth of objects and arrays in a body.
inline constexpr int MaxJsonDepth = 16;

// Decodes a body. Returns MalformedBody with the field and a remedy if the text
// is not JSON, a field is missing or unknown, a type is wrong or a number is
// out of range. Never throws.
template <typename T> Result<T> fromJson(absl::string_view body);

// Encodes a value on one line.
template <typename T> std::string toJson(const T &value);

// Encodes a value with indentation, for files that people edit.
template <typename T> std::string toIndentedJson(const T &value);

// A field that differs between two encoded values.
struct FieldChange {
  // For example "ceiling.milli_cpu".
  std::string Name;
  // Encoded; empty if the field was absent.
  std::string Before;
  std::string After;
};

// Returns the fields of `after` that are absent from `before` or have another
// value there, ordered by name. Both arguments are encoded values.
std::vector<FieldChange> changedFields(absl::string_view before,
                                       absl::string_view after);

// The templates are instantiated for:
//   catalogue::{Team, Entry, Key, Edit, Contents}
//   std::vector<catalogue::HistoryLine>
//   fate::{WorkerSync, SyncReply, FateView}
//   routing::RunnerAnnouncement
//   metrics::Snapshot
//   api::{LiveAnswer, EditReceipt, FleetStatus}
//   and for the bodies of jujube/http/bodies.h.

} // namespace jujube::http

#endif // JUJUBE_HTTP_JSON_H_
