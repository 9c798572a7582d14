// Records of a file: a header with length and checksum, then the payload.
#ifndef JUJUBE_STORAGE_RECORD_H_
#define JUJUBE_STORAGE_RECORD_H_

#include <cstddef>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"

namespace jujube::storage {

// Bytes that a record takes beside its payload.
inline constexpr std::size_t RecordHeaderBytes = 12;
// A longer length is taken for damage.
inline constexpr std::size_t MaxRecordBytes = std::size_t{1} << 30;

// Appends a record with `payload` to `out`.
void appendRecord(absl::string_view payload, std::string &out);

// How far a file could be read.
struct ScanResult {
  // Bytes of whole, intact records from the start.
  std::size_t IntactBytes = 0;
  // Damage was found before an intact record: it can't be a torn write.
  bool IsDamagedInside = false;
};

// Calls `visit` for the payload of each intact record, in order, up to the
// first damage.
ScanResult scanRecords(absl::string_view file,
                       const std::function<void(absl::string_view)> &visit);

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_RECORD_H_
