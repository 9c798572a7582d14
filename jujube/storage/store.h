// Durable state of one consensus node: a segmented journal and a snapshot.
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
  // Once the current segment exceeds this size, the next sync starts a new one.
  std::size_t SegmentBytes = std::size_t{4} * 1024 * 1024;
  FileHooks Hooks;
  // Whether the folder's owner and mode are checked. False for file systems
  // without owners and modes.
  bool ChecksFolderAccess = true;
};

// Statistics of the recovery when a store was opened.
struct RecoveryReport {
  uint64_t Segments = 0;
  uint64_t JournalBytes = 0;
  // Bytes of an incomplete last write that were truncated; that write was never
  // acknowledged.
  uint64_t TornBytes = 0;

  bool operator==(const RecoveryReport &) const = default;
};

// The journal and the snapshot of one consensus node. Owned and used by one
// task. A change is durable only once sync() has returned Ok.
//
// After an error the content of the disk is uncertain, so that all further
// calls fail with the same error. Opening the store again recovers the state.
class Store {
public:
  // Opens the folder and recovers the state. Truncates a torn last write; any
  // other damage fails with CorruptData. `wallNow` as for DataFolder::open().
  static Result<Store> open(StoreOptions options, Instant wallNow);

  // The incarnation of the data folder, for
  // consensus::Options::HostIncarnation.
  Incarnation incarnation() const { return Folder.incarnation(); }
  const RecoveryReport &report() const { return Report; }
  // Returns the recovered state; valid once, since the state is moved out.
  consensus::DurableState takeRecovered() { return std::move(Recovered); }

  // Buffers a change until the next sync().
  Status write(const consensus::Persist &change);
  // Group commit: writes all buffered changes as one record and syncs the
  // journal. Does nothing if there are no changes.
  Status sync();
  // Stores a snapshot of applied entries and removes the segments that it
  // covers.
  Status saveSnapshot(const consensus::Snapshot &snapshot);
  // Replaces the whole log with a snapshot from the leader.
  Status installSnapshot(const consensus::Snapshot &snapshot);

  // Total size in bytes of the journal segments.
  uint64_t journalBytes() const;

private:
  struct Segment {
    uint64_t Number = 0;
    uint64_t Bytes = 0;
    // The highest log index in the segment.
    LogIndex Highest;
  };

  Store(StoreOptions options, DataFolder folder);

  Status recover();
  Status removeReappearedSegments();
  Status recoverSnapshot();
  Status recoverSegment(uint64_t number, bool isLast);
  Status replay(const Change &change, Segment &segment);
  Status beginSegment();
  Status removeCoveredSegments(LogIndex upTo);
  Status fail(const Status &status);
  std::string segmentPath(uint64_t number) const;

  StoreOptions Settings;
  DataFolder Folder;
  consensus::DurableState Recovered;
  RecoveryReport Report;
  // The latest hard state, written again at the start of each segment so that
  // older segments can be removed.
  consensus::HardState Hard;
  std::deque<Segment> Segments;
  OwnedFd Current;
  std::vector<Change> Unsynced;
  std::optional<Error> Failure;
};

} // namespace jujube::storage

#endif // JUJUBE_STORAGE_STORE_H_
