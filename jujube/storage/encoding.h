// Binary encoding of the consensus state on disk.
#ifndef JUJUBE_STORAGE_ENCODING_H_
#define JUJUBE_STORAGE_ENCODING_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"
#include "jujube/consensus/types.h"

namespace jujube::storage {

// One change of the durable state: the stored part of a consensus::Persist.
struct Change {
  std::optional<consensus::HardState> State;
  // Entries at or above this index are removed before `Entries` are appended;
  // 0 removes none.
  LogIndex TruncateFrom;
  std::vector<consensus::LogEntry> Entries;

  bool operator==(const Change &) const = default;
};

// The decoders return CorruptData for bytes that the encoders can't produce.
std::string encodeChanges(const std::vector<Change> &changes);
Result<std::vector<Change>> decodeChanges(absl::string_view bytes);

std::string encodeSnapshot(const consensus::Snapshot &snapshot);
Result<consensus::Snapshot> decodeSnapshot(absl::string_view bytes);

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_ENCODING_H_
