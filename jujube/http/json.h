// The JSON encoding of the types that cross the HTTP interface.
//
// Keys are the struct's field names in snake_case; enums are written by their
// name tables; spans and instants are whole milliseconds in keys that end in
// _ms, and Instant::never() is null. Ids that are empty are left out. Byte
// strings that are not UTF-8 are written as base64 in a key that ends in
// _base64. docs/API.md lists every field.
#ifndef JUJUBE_HTTP_JSON_H_
#define JUJUBE_HTTP_JSON_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/api/commands.h"
#include "jujube/base/result.h"

namespace jujube::http {

// Deepest nesting of objects and arrays that a body may have.
inline constexpr int MaxJsonDepth = 16;

// Decodes a body. Returns MalformedBody, naming the field and the remedy, for
// text that is not JSON, missing and unknown fields, wrong types, and numbers
// that are out of range. Never throws.
template <typename T> Result<T> fromJson(absl::string_view body);

// Encodes a value on one line.
template <typename T> std::string toJson(const T &value);

// The same over several lines, for files that people edit.
template <typename T> std::string toIndentedJson(const T &value);

// A field that differs between two encoded values.
struct FieldChange {
  // For example "ceiling.milli_cpu".
  std::string Name;
  // Encoded; empty if the field was absent.
  std::string Before;
  std::string After;
};

// Returns the fields of `after` that `before` lacks or holds otherwise, by
// name. Both are encoded values.
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
