// Durable state of one consensus node: a journal in segments and a snapshot.
#ifndef JUJUBE_STORAGE_STORE_H_
#define JUJUBE_STORAGE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/consensus/actions.h"
#include "jujube/consensus/types.h"
#include "jujube/storage/data_folder.h"
#include "jujube/storage/encoding.h"
#include "jujube/storage/file_hooks.h"
#include "jujube/storage/owned_fd.h"

namespace jujube::storage {

struct StoreOptions {
  std::string Folder;
  // A segment that has grown past this is closed and a new one is begun.
  std::size_t SegmentBytes = std::size_t{4} * 1024 * 1024;
  FileHooks Hooks;
  // False for disks that keep no owners and modes of files.
  bool ChecksAccess = true;
};

// What opening a store found and repaired.
struct RecoveryReport {
  uint64_t Segments = 0;
  uint64_t JournalBytes = 0;
  // Bytes of an unfinished last write that were cut off; they were never
  // acknowledged.
  uint64_t TornBytes = 0;

  bool operator==(const RecoveryReport &) const = default;
};

// Belongs to one task. Nothing counts as stored before sync() returned Ok.
//
// After any error the store refuses all further calls with that error: what the
// disk holds is not known any more. Opening it again finds out.
class Store {
public:
  // Recovers the state. A torn last write is cut off; damage before it is
  // refused with CorruptData.
  static Result<Store> open(StoreOptions options, Instant wallNow);

  // Incarnation of the data folder, for consensus::Options::Start.
  Incarnation start() const { return Folder.start(); }
  const RecoveryReport &report() const { return Report; }
  // The recovered state, handed out once.
  consensus::DurableState takeRecovered() { return std::move(Recovered); }

  // Adds a change to the next sync.
  Status write(const consensus::Persist &change);
  // Writes all changes since the last sync as one record and syncs: a group
  // commit. Does nothing without changes.
  Status sync();
  // Stores a snapshot of applied entries and drops segments that it covers.
  Status saveSnapshot(const consensus::Snapshot &snapshot);
  // Stores a leader's snapshot in place of the whole log.
  Status installSnapshot(const consensus::Snapshot &snapshot);

  // Bytes of the segments that are kept.
  uint64_t journalBytes() const;

private:
  struct Segment {
    uint64_t Number = 0;
    uint64_t Bytes = 0;
    // The highest entry index in it.
    LogIndex Highest;
  };

  Store(StoreOptions options, DataFolder folder);

  Status recover();
  Status dropReturned();
  Status recoverSnapshot();
  Status recoverSegment(uint64_t number, bool isLast);
  Status replay(const Change &change, Segment &segment);
  Status beginSegment();
  Status dropCovered(LogIndex upTo);
  Status fail(const Status &status);
  std::string segmentPath(uint64_t number) const;

  StoreOptions Settings;
  DataFolder Folder;
  consensus::DurableState Recovered;
  RecoveryReport Report;
  // The newest state, repeated at the start of each segment.
  consensus::HardState Hard;
  std::deque<Segment> Segments;
  OwnedFd Current;
  std::vector<Change> Unsynced;
  std::optional<Error> Failure;
};

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_STORE_H_
