#include "jujube/fate/sync_scopes.h"

#include <algorithm>

#include "jujube/fate/attempt_digest.h"

namespace jujube::fate {
namespace {

constexpr Duration FullSyncHold = Duration::seconds(1);
// Bounds the hold of a sync with a digest also under a long lease.
constexpr Duration MaxDigestSyncHold = Duration::millis(1500);
constexpr int64_t HoldsPerLease = 4;

} // namespace

bool agreesWith(const FateBook &book, const WorkerSync &sync) {
  if (!sync.Unreported)
    return true;
  const WorkerId &worker = sync.Announcement.Worker;
  AttemptDigest expected = book.onWorker(worker).Running;
  for (const TaskReport &report : sync.Reports)
    if (book.isRunning(worker, report.Task, report.Token))
      removeAttempt(expected, report.Task, report.Token);
  return expected == *sync.Unreported;
}

void SyncScopes::onSync(const WorkerSync &sync, const FateBook &book) {
  if (!sync.Unreported)
    return;
  Row &row = Rows[sync.Announcement.Worker];
  if (row.Start != sync.Announcement.Start)
    row = {sync.Announcement.Start};
  if (sync.Unreported->Count == 0) {
    // Nothing is left out, so nothing more is to be had.
    row.IsListed = true;
    row.IsFullWanted = row.IsAsked = false;
  } else if (!row.IsListed || !agreesWith(book, sync)) {
    row.IsFullWanted = true;
  }
}

Duration SyncScopes::holdOf(const WorkerSync &sync, Duration lease,
                            Instant now) const {
  if (!sync.Unreported)
    return FullSyncHold;
  const auto it = Rows.find(sync.Announcement.Worker);
  if (it == Rows.end() || !it->second.RepliedAt)
    return Duration();
  const Duration most = std::min(MaxDigestSyncHold, lease / HoldsPerLease);
  return std::clamp(*it->second.RepliedAt + most - now, Duration(), most);
}

SyncScope SyncScopes::wanted(const WorkerId &worker) const {
  const auto it = Rows.find(worker);
  return it != Rows.end() && it->second.IsFullWanted ? SyncScope::Full
                                                     : SyncScope::Changes;
}

bool SyncScopes::isUrgent(const WorkerId &worker) const {
  const auto it = Rows.find(worker);
  return it != Rows.end() && it->second.IsFullWanted && !it->second.IsAsked;
}

void SyncScopes::onReply(const WorkerId &worker, Instant now) {
  const auto it = Rows.find(worker);
  if (it == Rows.end())
    return;
  it->second.IsAsked = it->second.IsFullWanted;
  it->second.RepliedAt = now;
}

} // namespace jujube::fate
