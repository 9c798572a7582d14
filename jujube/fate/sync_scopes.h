// Decides what a zone's leader asks its workers to report.
#ifndef JUJUBE_FATE_SYNC_SCOPES_H_
#define JUJUBE_FATE_SYNC_SCOPES_H_

#include <map>
#include <optional>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/fate/fate_state_machine.h"
#include "jujube/fate/types.h"

namespace jujube::fate {

// Returns true if the running attempts that the sync leaves out are exactly the
// other attempts recorded as running on the worker in `book`. A sync without a
// digest matches any book.
bool digestMatches(const FateStateMachine &book, const WorkerSync &sync);

// Requests a full sync from every worker that has not sent one to this leader,
// and from every worker whose digests differ from the FateStateMachine for
// longer than a report takes to be journaled. Workers whose syncs carry no
// digest are never asked. Owned by a zone's leader; a new leader starts with an
// empty object.
class SyncScopeTracker {
public:
  // Processes a sync. `book` is the FateStateMachine at the arrival of the
  // sync, before its reports are applied.
  void onSync(const WorkerSync &sync, const FateStateMachine &book,
              Instant now);
  // Returns the scope that the next reply asks the worker for.
  SyncScope nextScope(const WorkerId &worker) const;
  // Returns true if a full sync is needed and has not been requested yet; the
  // reply should then be sent at once.
  bool isUrgent(const WorkerId &worker) const;
  // Returns how long the reply may be held back to wait for a directive. The
  // reply to a sync with a digest is due at most a quarter of the lease after
  // the previous reply, so that the lease survives the loss of two syncs in a
  // row: the lease starts when the worker sends the sync, and an entry host
  // resends a sync after its SyncAttemptTimeout.
  Duration replyHold(const WorkerSync &sync, Duration lease, Instant now) const;
  // Records that a reply that asks for nextScope() is being sent.
  void onReply(const WorkerId &worker, Instant now);
  void forget(const WorkerId &worker) { Workers.erase(worker); }

private:
  struct WorkerState {
    Incarnation WorkerIncarnation;
    // True once a full sync of this incarnation has arrived.
    bool HasSentFullSync = false;
    bool IsFullSyncNeeded = false;
    // True once a reply has asked for the full sync.
    bool IsFullSyncRequested = false;
    std::optional<Instant> RepliedAt;
    // Arrival of the first digest of the current series of mismatches.
    std::optional<Instant> MismatchSince;
  };

  // Records whether a digest matched. Returns true if the digests have differed
  // for at least the time that a report takes to be journaled.
  static bool recordComparison(WorkerState &state, bool isMatch, Instant now);

  std::map<WorkerId, WorkerState> Workers;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_SYNC_SCOPES_H_
