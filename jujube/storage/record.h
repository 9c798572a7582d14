// Record format of storage files: a header with a marker, the payload length
// and a checksum, followed by the payload.
#ifndef JUJUBE_STORAGE_RECORD_H_
#define JUJUBE_STORAGE_RECORD_H_

#include <cstddef>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"

namespace jujube::storage {

// Size of the header: marker, length and checksum of 4 bytes each.
inline constexpr std::size_t RecordHeaderBytes = 12;
// A header with a longer payload length counts as damaged.
inline constexpr std::size_t MaxRecordBytes = std::size_t{1} << 30;

// Appends a record with `payload` to `out`.
void appendRecord(absl::string_view payload, std::string &out);

// Result of scanning a file for records.
struct ScanResult {
  // Total size of the intact records at the start of the file.
  std::size_t IntactBytes = 0;
  // True if an intact record follows the first damage, which therefore can't be
  // a torn last write.
  bool HasRecordAfterDamage = false;
};

// Calls `visit` with the payload of each intact record, in file order, up to
// the first damage.
ScanResult scanRecords(absl::string_view file,
                       const std::function<void(absl::string_view)> &visit);

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_RECORD_H_
