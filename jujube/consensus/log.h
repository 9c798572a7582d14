// The entries that a member holds, and the membership they put in force.
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

// Approximate bytes that an entry takes in memory and in a message.
std::size_t sizeOf(const LogEntry &entry);

// Contiguous entries, the older ones replaced by a snapshot. Some entries that
// the snapshot covers are kept, so that a member that lags a little does not
// need the snapshot.
class Log {
public:
  Log() = default;
  explicit Log(DurableState state);

  // Index of the newest entry; that of the snapshot if there is none.
  LogIndex last() const;
  Term lastTerm() const { return *termAt(last()); }
  // Index of the oldest entry that is held.
  LogIndex first() const { return LogIndex{PreviousIndex.Value + 1}; }
  // Nothing if the entry is not held and is not the one before first().
  std::optional<Term> termAt(LogIndex index) const;
  // Precondition: first() <= index <= last().
  const LogEntry &at(LogIndex index) const;
  // Entries from `from` on, at least one if there is one, up to `maxBytes`.
  std::vector<LogEntry> slice(LogIndex from, std::size_t maxBytes) const;
  // The largest index below `index` whose term differs from that of `index`.
  LogIndex lastIndexBeforeTermOf(LogIndex index) const;

  // Precondition: entry.Index follows last().
  void append(LogEntry entry);
  // Drops the entries from `from` on.
  void truncateFrom(LogIndex from);
  // Replaces entries up to `upTo` by a snapshot; those of them that fit into
  // `retainBytes` stay.
  void compact(LogIndex upTo, std::string data, std::size_t retainBytes);
  // Replaces everything.
  void restore(Snapshot snapshot);

  // The newest snapshot; null if there is none.
  const std::shared_ptr<const Snapshot> &base() const { return Base; }
  // Index of the snapshot; 0 if there is none.
  LogIndex baseIndex() const { return Base ? Base->Last : LogIndex{}; }
  // The newest membership, whether it is committed or not.
  const Membership &membership() const { return Memberships.back().second; }
  // The entry that put it in force; 0 if the log is empty.
  LogIndex membershipIndex() const { return Memberships.back().first; }
  const Membership &membershipAt(LogIndex index) const;

private:
  std::shared_ptr<const Snapshot> Base;
  // Position before the oldest entry.
  LogIndex PreviousIndex;
  Term PreviousTerm;
  std::deque<LogEntry> Entries;
  // Memberships by the index that put them in force, oldest first; never empty.
  std::vector<std::pair<LogIndex, Membership>> Memberships{{}};
};

} // namespace jujube::consensus

#endif // JUJUBE_CONSENSUS_LOG_H_
