#include "jujube/storage/store.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "jujube/storage/record.h"

namespace jujube::storage {

namespace {
constexpr char SnapshotName[] = "snapshot";
} // namespace

Store::Store(StoreOptions options, DataFolder folder)
    : Settings(std::move(options)), Folder(std::move(folder)) {}

Result<Store> Store::open(StoreOptions options, Instant wallNow) {
  Result<DataFolder> folder = DataFolder::open(
      options.Folder, options.Hooks, wallNow, options.ChecksFolderAccess);
  if (!isOk(folder))
    return errorOf(folder);
  Store store(std::move(options), valueOf(std::move(folder)));
  if (Status status = store.recover(); !isOk(status))
    return errorOf(status);
  return store;
}

Status Store::write(const consensus::Persist &change) {
  if (Failure)
    return *Failure;
  if (change.State)
    Hard = *change.State;
  Unsynced.push_back(Change{change.State, change.TruncateFrom, change.Entries});
  return Ok{};
}

Status Store::sync() {
  if (Failure)
    return *Failure;
  if (Unsynced.empty())
    return Ok{};
  if (Segments.back().Bytes > Settings.SegmentBytes)
    if (Status status = beginSegment(); !isOk(status))
      return fail(status);
  std::string record;
  appendRecord(encodeChanges(Unsynced), record);
  if (Status status = Settings.Hooks.Write(Current.get(), record);
      !isOk(status))
    return fail(status);
  if (Status status = Settings.Hooks.Sync(Current.get()); !isOk(status))
    return fail(status);
  Segment &segment = Segments.back();
  segment.Bytes += record.size();
  for (const Change &change : Unsynced)
    if (!change.Entries.empty())
      segment.Highest = std::max(segment.Highest, change.Entries.back().Index);
  Unsynced.clear();
  return Ok{};
}

Status Store::beginSegment() {
  const uint64_t number = Segments.empty() ? 1 : Segments.back().Number + 1;
  const std::string path = segmentPath(number);
  OwnedFd fd(::open(path.c_str(),
                    O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600));
  if (fd.get() < 0)
    return fileError("create", path, errno);
  std::string record;
  appendRecord(encodeChanges({Change{Hard, {}, {}}}), record);
  if (Status status = Settings.Hooks.Write(fd.get(), record); !isOk(status))
    return status;
  if (Status status = Settings.Hooks.Sync(fd.get()); !isOk(status))
    return status;
  if (Status status = Settings.Hooks.SyncFolder(Folder.path()); !isOk(status))
    return status;
  Segments.push_back(Segment{number, record.size(), {}});
  Current = std::move(fd);
  return Ok{};
}

Status Store::saveSnapshot(const consensus::Snapshot &snapshot) {
  if (Status status = sync(); !isOk(status))
    return status;
  std::string record;
  appendRecord(encodeSnapshot(snapshot), record);
  if (Status status =
          replaceFile(Settings.Hooks, Folder.path(), SnapshotName, record);
      !isOk(status))
    return fail(status);
  return removeCoveredSegments(snapshot.Last);
}

Status Store::installSnapshot(const consensus::Snapshot &snapshot) {
  // Entries after the snapshot may conflict with the leader's log. They are
  // truncated first, so that a crash before the snapshot is stored leaves a
  // shorter but consistent log.
  consensus::Persist cut;
  cut.TruncateFrom = snapshot.Last.next();
  if (Status status = write(cut); !isOk(status))
    return status;
  return saveSnapshot(snapshot);
}

Status Store::removeCoveredSegments(LogIndex upTo) {
  // The newest segment is kept, because it repeats the hard state of the
  // removed ones.
  while (Segments.size() > 1 && Segments.front().Highest <= upTo) {
    if (Status status =
            Settings.Hooks.Remove(segmentPath(Segments.front().Number));
        !isOk(status))
      return fail(status);
    Segments.pop_front();
  }
  return Ok{};
}

Status Store::fail(const Status &status) {
  Failure = errorOf(status);
  Failure->Message = absl::StrCat(Folder.path(), ": ", Failure->Message);
  return *Failure;
}

uint64_t Store::journalBytes() const {
  uint64_t bytes = 0;
  for (const Segment &segment : Segments)
    bytes += segment.Bytes;
  return bytes;
}

std::string Store::segmentPath(uint64_t number) const {
  return absl::StrFormat("%s/journal-%020d", Folder.path(), number);
}

} // namespace jujube::storage
