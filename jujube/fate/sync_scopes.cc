#include "jujube/fate/sync_scopes.h"

#include <algorithm>

#include "jujube/fate/attempt_digest.h"

namespace jujube::fate {
namespace {

constexpr Duration FullSyncHold = Duration::seconds(1);
// Bounds the hold of a sync with a digest also under a long lease.
constexpr Duration MaxDigestSyncHold = Duration::millis(1500);
constexpr int64_t HoldsPerLease = 4;
// A report is journaled within this span.
constexpr Duration JournalingTime = Duration::millis(500);

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

// A worker that was told of a start may leave it out before its report is
// journaled, so a single digest that differs means nothing.
bool SyncScopes::isDifferent(Row &row, bool isAgreeing, Instant now) {
  if (isAgreeing)
    row.DiffersSince.reset();
  else if (!row.DiffersSince)
    row.DiffersSince = now;
  return row.DiffersSince && now - *row.DiffersSince >= JournalingTime;
}

void SyncScopes::onSync(const WorkerSync &sync, const FateBook &book,
                        Instant now) {
  if (!sync.Unreported)
    return;
  Row &row = Rows[sync.Announcement.Worker];
  if (row.Start != sync.Announcement.Start)
    row = {sync.Announcement.Start};
  if (sync.Unreported->Count == 0) {
    // Nothing is left out, so nothing more is to be had.
    row.IsListed = true;
    row.IsFullWanted = row.IsAsked = false;
    row.DiffersSince.reset();
  } else if (!row.IsListed || isDifferent(row, agreesWith(book, sync), now)) {
    row.IsFullWanted = true;
  }
}

Duration SyncScopes::holdOf(const WorkerSync &sync, Duration lease,
                            Instant now) const {
  const auto it = Rows.find(sync.Announcement.Worker);
  // A worker that sends digests leaves them out of news only.
  if (!sync.Unreported)
    return it == Rows.end() ? FullSyncHold : Duration();
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
