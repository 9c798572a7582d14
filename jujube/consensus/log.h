// The log entries that a member holds, and the membership that they define.
#ifndef JUJUBE_CONSENSUS_LOG_H_
#define JUJUBE_CONSENSUS_LOG_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "jujube/base/ids.h"
#include "jujube/consensus/types.h"

namespace jujube::consensus {

// The approximate size of an entry in memory and in a message, in bytes.
std::size_t sizeOf(const LogEntry &entry);

// The log of a member: a snapshot and the contiguous entries after it. Some of
// the entries that the snapshot covers are retained, so that a member that lags
// slightly does not need the snapshot. Owned by a Node.
class Log {
public:
  Log() = default;
  explicit Log(DurableState state);

  // Index of the newest entry; the index of the snapshot if no entry is held.
  LogIndex last() const;
  Term lastTerm() const { return *termAt(last()); }
  // Index of the oldest retained entry.
  LogIndex first() const { return LogIndex{PreviousIndex.Value + 1}; }
  // The term of the entry at `index`, which has to be retained or directly
  // precede first(); otherwise nothing.
  std::optional<Term> termAt(LogIndex index) const;
  // Precondition: first() <= index <= last().
  const LogEntry &at(LogIndex index) const;
  // The entries from `from` on, up to `maxBytes`, but at least one entry if any
  // is held.
  std::vector<LogEntry> slice(LogIndex from, std::size_t maxBytes) const;
  // The largest index below `index` whose entry has another term. Stops at the
  // position before first().
  LogIndex lastIndexBeforeTermOf(LogIndex index) const;

  // Precondition: entry.Index follows last().
  void append(LogEntry entry);
  // Removes the entries from `from` on.
  void truncateFrom(LogIndex from);
  // Replaces the entries up to `upTo` by a snapshot, but retains the newest of
  // them that fit into `retainBytes`.
  void compact(LogIndex upTo, std::string data, std::size_t retainBytes);
  // Replaces the whole log by `snapshot`.
  void restore(Snapshot snapshot);

  // The latest snapshot; null if there is none.
  const std::shared_ptr<const Snapshot> &base() const { return Base; }
  // Index of the snapshot; 0 if there is none.
  LogIndex snapshotIndex() const { return Base ? Base->Last : LogIndex{}; }
  // The latest membership, committed or not.
  const Membership &membership() const { return Memberships.back().second; }
  // Index of the entry that defines membership(); 0 if the log is empty.
  LogIndex membershipIndex() const { return Memberships.back().first; }
  // The membership in force at `index`.
  const Membership &membershipAt(LogIndex index) const;

private:
  std::shared_ptr<const Snapshot> Base;
  // Index and term of the entry before the oldest retained entry.
  LogIndex PreviousIndex;
  Term PreviousTerm;
  std::deque<LogEntry> Entries;
  // Memberships with the index of the entry that defines each, oldest first.
  // Never empty.
  std::vector<std::pair<LogIndex, Membership>> Memberships{{}};
};

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_LOG_H_
