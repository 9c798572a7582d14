#include "jujube/fate/sync_scopes.h"

#include <algorithm>

#include "jujube/fate/attempt_digest.h"

namespace jujube::fate {
namespace {

// How long the reply to a worker that sends no digests is held back.
constexpr Duration NoDigestSyncHold = Duration::seconds(1);
// Upper bound on how long the reply to a sync with a digest is held back; it
// takes effect with long leases.
constexpr Duration MaxDigestSyncHold = Duration::millis(1500);
// A lease spans at least this many held replies.
constexpr int64_t HoldsPerLease = 4;
// Upper bound on the time from the arrival of a report until it is journaled.
constexpr Duration MaxJournalingTime = Duration::millis(500);

} // namespace

bool digestMatches(const FateStateMachine &book, const WorkerSync &sync) {
  if (!sync.Unreported)
    return true;
  const WorkerId &worker = sync.Announcement.Worker;
  AttemptDigest expected = book.indexOn(worker).Running;
  for (const TaskReport &report : sync.Reports)
    if (book.isRunning(worker, report.Task, report.Token))
      removeAttempt(expected, report.Task, report.Token);
  return expected == *sync.Unreported;
}

// The worker leaves a reported attempt out of its next sync, possibly before
// the report is journaled, so a single mismatch doesn't show that the records
// differ.
bool SyncScopeTracker::recordComparison(WorkerState &state, bool isMatch,
                                        Instant now) {
  if (isMatch)
    state.MismatchSince.reset();
  else if (!state.MismatchSince)
    state.MismatchSince = now;
  return state.MismatchSince && now - *state.MismatchSince >= MaxJournalingTime;
}

void SyncScopeTracker::onSync(const WorkerSync &sync,
                              const FateStateMachine &book, Instant now) {
  if (!sync.Unreported)
    return;
  WorkerState &state = Workers[sync.Announcement.Worker];
  if (state.WorkerIncarnation != sync.Announcement.WorkerIncarnation)
    state = {sync.Announcement.WorkerIncarnation};
  if (sync.Unreported->Count == 0) {
    // The sync leaves out no running attempt, so it is a full sync.
    state.HasSentFullSync = true;
    state.IsFullSyncNeeded = state.IsFullSyncRequested = false;
    state.MismatchSince.reset();
  } else if (!state.HasSentFullSync ||
             recordComparison(state, digestMatches(book, sync), now)) {
    state.IsFullSyncNeeded = true;
  }
}

Duration SyncScopeTracker::replyHold(const WorkerSync &sync, Duration lease,
                                     Instant now) const {
  const auto it = Workers.find(sync.Announcement.Worker);
  // A worker known to send digests omits the digest only from a sync that
  // carries new events; the reply to such a sync is not held back.
  if (!sync.Unreported)
    return it == Workers.end() ? NoDigestSyncHold : Duration();
  if (it == Workers.end() || !it->second.RepliedAt)
    return Duration();
  const Duration maxHold = std::min(MaxDigestSyncHold, lease / HoldsPerLease);
  return std::clamp(*it->second.RepliedAt + maxHold - now, Duration(), maxHold);
}

SyncScope SyncScopeTracker::nextScope(const WorkerId &worker) const {
  const auto it = Workers.find(worker);
  return it != Workers.end() && it->second.IsFullSyncNeeded
             ? SyncScope::Full
             : SyncScope::Changes;
}

bool SyncScopeTracker::isUrgent(const WorkerId &worker) const {
  const auto it = Workers.find(worker);
  return it != Workers.end() && it->second.IsFullSyncNeeded &&
         !it->second.IsFullSyncRequested;
}

void SyncScopeTracker::onReply(const WorkerId &worker, Instant now) {
  const auto it = Workers.find(worker);
  if (it == Workers.end())
    return;
  it->second.IsFullSyncRequested = it->second.IsFullSyncNeeded;
  it->second.RepliedAt = now;
}

} // namespace jujube::fate
