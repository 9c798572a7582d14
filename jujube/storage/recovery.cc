// Recovery of a store: loads the snapshot, replays the journal segments and
// truncates a torn last write.
#include "jujube/storage/store.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "jujube/storage/record.h"

namespace jujube::storage {

namespace {

Error corrupt(const std::string &path, const std::string &problem) {
  return Error{ErrorKind::CorruptData, absl::StrCat(path, ": ", problem),
               "the other members hold the state: clear this data folder and "
               "let the host join again; without them restore the folder from "
               "a backup"};
}

// The numbers of the journal segments in `folder`, in order.
Result<std::vector<uint64_t>> listSegments(const std::string &folder) {
  std::vector<uint64_t> numbers;
  std::error_code ec;
  for (std::filesystem::directory_iterator it(folder, ec), end;
       !ec && it != end; it.increment(ec)) {
    const std::string name = it->path().filename().string();
    absl::string_view digits = name;
    uint64_t number = 0;
    if (absl::ConsumePrefix(&digits, "journal-") &&
        absl::SimpleAtoi(digits, &number))
      numbers.push_back(number);
  }
  if (ec)
    return fileError("list", folder, ec.value());
  std::ranges::sort(numbers);
  return numbers;
}

// Truncates a file to the `bytes` that were replayed from it and syncs it. The
// sync is needed because a process that ended before its last sync leaves bytes
// that can be read but that a power failure may still lose. It also keeps a
// power failure from restoring the truncated part.
Status truncateAndSync(const FileHooks &hooks, const std::string &path,
                       std::size_t bytes) {
  const OwnedFd fd(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
  if (fd.get() < 0 || ::ftruncate(fd.get(), static_cast<off_t>(bytes)) != 0)
    return fileError("truncate", path, errno);
  return hooks.Sync(fd.get());
}

} // namespace

Status Store::recover() {
  if (Status status = recoverSnapshot(); !isOk(status))
    return status;
  Result<std::vector<uint64_t>> listed = listSegments(Folder.path());
  if (!isOk(listed))
    return errorOf(listed);
  const std::vector<uint64_t> &numbers = valueOf(listed);
  for (const uint64_t number : numbers) {
    if (!Segments.empty() && number != Segments.back().Number + 1)
      if (Status status = removeReappearedSegments(); !isOk(status))
        return status;
    if (Status status = recoverSegment(number, number == numbers.back());
        !isOk(status))
      return status;
  }
  Report.Segments = Segments.size();
  Report.JournalBytes = journalBytes();
  Recovered.Hard = Hard;
  // A run never appends to a segment of an earlier run, so that a segment
  // damaged by this run can be told apart from one that was intact before it.
  return beginSegment();
}

// Removes segments again whose removal a power failure undid. Segments that a
// snapshot covers are removed one by one without a folder sync, so that some of
// them can reappear and leave a gap in the segment numbers. A gap after a
// segment that the snapshot does not cover is corruption.
Status Store::removeReappearedSegments() {
  const LogIndex base =
      Recovered.LatestSnapshot ? Recovered.LatestSnapshot->Last : LogIndex{};
  const bool isCovered = std::ranges::all_of(
      Segments, [base](const Segment &it) { return it.Highest <= base; });
  if (!isCovered)
    return corrupt(segmentPath(Segments.back().Number + 1),
                   "the journal segment is missing");
  for (const Segment &segment : Segments)
    if (Status status = Settings.Hooks.Remove(segmentPath(segment.Number));
        !isOk(status))
      return status;
  Segments.clear();
  return Ok{};
}

Status Store::recoverSnapshot() {
  const std::string path = absl::StrCat(Folder.path(), "/snapshot");
  if (::access(path.c_str(), F_OK) != 0)
    return Ok{};
  Result<std::string> file = readFile(path);
  if (!isOk(file))
    return errorOf(file);
  std::optional<Result<consensus::Snapshot>> decoded;
  scanRecords(valueOf(file), [&](absl::string_view payload) {
    decoded = decodeSnapshot(payload);
  });
  if (!decoded || !isOk(*decoded))
    return corrupt(path, "the snapshot file is damaged");
  Recovered.LatestSnapshot = valueOf(std::move(*decoded));
  return Ok{};
}

Status Store::recoverSegment(uint64_t number, bool isLast) {
  const std::string path = segmentPath(number);
  Result<std::string> file = readFile(path);
  if (!isOk(file))
    return errorOf(file);
  Segment segment{number, 0, {}};
  Status replayed = Ok{};
  const auto visit = [&](absl::string_view payload) {
    Result<std::vector<Change>> changes = decodeChanges(payload);
    if (!isOk(changes) && isOk(replayed))
      replayed = corrupt(path, "a journal record can't be decoded");
    if (!isOk(replayed))
      return;
    for (const Change &change : valueOf(changes))
      if (isOk(replayed))
        replayed = replay(change, segment);
  };
  const ScanResult scan = scanRecords(valueOf(file), visit);
  if (!isOk(replayed))
    return replayed;
  const uint64_t torn = valueOf(file).size() - scan.IntactBytes;
  if (scan.HasRecordAfterDamage || (torn > 0 && !isLast))
    return corrupt(path, absl::StrCat("the journal is damaged at byte ",
                                      scan.IntactBytes));
  if (isLast)
    if (Status status = truncateAndSync(Settings.Hooks, path, scan.IntactBytes);
        !isOk(status))
      return status;
  segment.Bytes = scan.IntactBytes;
  Report.TornBytes += torn;
  Segments.push_back(segment);
  return Ok{};
}

Status Store::replay(const Change &change, Segment &segment) {
  if (change.State)
    Hard = *change.State;
  std::vector<consensus::LogEntry> &entries = Recovered.Entries;
  const LogIndex base =
      Recovered.LatestSnapshot ? Recovered.LatestSnapshot->Last : LogIndex{};
  if (change.TruncateFrom.Value != 0)
    while (!entries.empty() && entries.back().Index >= change.TruncateFrom)
      entries.pop_back();
  for (const consensus::LogEntry &entry : change.Entries) {
    segment.Highest = std::max(segment.Highest, entry.Index);
    if (entry.Index <= base)
      continue;
    const LogIndex last = entries.empty() ? base : entries.back().Index;
    if (entry.Index != last.next())
      return corrupt(segmentPath(segment.Number),
                     absl::StrCat("log entry ", entry.Index.Value,
                                  " follows entry ", last.Value));
    entries.push_back(entry);
  }
  return Ok{};
}

} // namespace jujube::storage
