// What a zone's leader asks its workers to report.
#ifndef JUJUBE_FATE_SYNC_SCOPES_H_
#define JUJUBE_FATE_SYNC_SCOPES_H_

#include <map>
#include <optional>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/fate/fate_book.h"
#include "jujube/fate/types.h"

namespace jujube::fate {

// True if the running attempts that the sync leaves out are those that the book
// knows to run on the worker. A sync without a digest agrees with any book.
bool agreesWith(const FateBook &book, const WorkerSync &sync);

// Asks for a full sync from every worker that has not sent one to this leader,
// and from those whose digests differ from the book for longer than a report
// takes to be journaled. Workers whose syncs carry
// no digest are not asked. Belongs to a zone's leader and is made anew by the
// next.
class SyncScopes {
public:
  // To be called with the book as it is when the sync arrives.
  void onSync(const WorkerSync &sync, const FateBook &book, Instant now);
  // What the next reply to the worker asks for.
  SyncScope wanted(const WorkerId &worker) const;
  // True if that should not wait until the reply is due.
  bool isUrgent(const WorkerId &worker) const;
  // How long the reply may wait for a directive. One to a sync with a digest is
  // due a quarter of the lease after the reply before, so that two syncs in a
  // row may be lost: a lease counts from when the worker sent its sync, and an
  // entry host sends a sync again after its SyncAttemptTimeout.
  Duration holdOf(const WorkerSync &sync, Duration lease, Instant now) const;
  // A reply with wanted() leaves.
  void onReply(const WorkerId &worker, Instant now);
  void forget(const WorkerId &worker) { Rows.erase(worker); }

private:
  struct Row {
    Incarnation Start;
    // A full sync of this start has arrived.
    bool IsListed = false;
    bool IsFullWanted = false;
    // A reply has asked for it.
    bool IsAsked = false;
    std::optional<Instant> RepliedAt;
    // The first of a row of digests that differed.
    std::optional<Instant> DiffersSince;
  };

  static bool isDifferent(Row &row, bool isAgreeing, Instant now);

  std::map<WorkerId, Row> Rows;
};

} // namespace jujube::fate

#endif // JUJUBE_FATE_SYNC_SCOPES_H_
