#include "jujube/fate/sync_scopes.h"

#include "jujube/fate/attempt_digest.h"

namespace jujube::fate {

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

SyncScope SyncScopes::wanted(const WorkerId &worker) const {
  const auto it = Rows.find(worker);
  return it != Rows.end() && it->second.IsFullWanted ? SyncScope::Full
                                                     : SyncScope::Changes;
}

bool SyncScopes::isUrgent(const WorkerId &worker) const {
  const auto it = Rows.find(worker);
  return it != Rows.end() && it->second.IsFullWanted && !it->second.IsAsked;
}

void SyncScopes::onReply(const WorkerId &worker) {
  const auto it = Rows.find(worker);
  if (it != Rows.end())
    it->second.IsAsked = it->second.IsFullWanted;
}

} // namespace jujube::fate
