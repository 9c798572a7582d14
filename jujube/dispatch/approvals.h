// Cache of the approvals that the approval services have given for steps of
// queues that need approval.
#ifndef JUJUBE_DISPATCH_APPROVALS_H_
#define JUJUBE_DISPATCH_APPROVALS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "jujube/base/clock.h"
#include "jujube/jobs/commands.h"
#include "jujube/jobs/types.h"

namespace jujube::dispatch {

// Whether one worker is approved to run one step.
enum class ApprovalState {
  // No answer has covered the worker.
  Unknown,
  Denied,
  // The worker was approved, but its ticket has expired or was invalidated.
  Expired,
  Valid,
};

// Tickets are not used this shortly before they expire: the start has to be
// replicated and to reach the worker first.
inline constexpr Duration TicketMargin = Duration::millis(150);

inline constexpr NameTable<ApprovalState, 4> ApprovalStateNames = {{
    {ApprovalState::Unknown, "unknown"},
    {ApprovalState::Denied, "denied"},
    {ApprovalState::Expired, "expired"},
    {ApprovalState::Valid, "valid"},
}};
static_assert(isComplete(ApprovalStateNames));

// Answers of the approval services, by step and worker, with the tickets that
// prove the approvals. Owned by the leader and never replicated: a new leader
// starts empty and sends its queries again. Several queries of a step may be in
// flight, but a worker is named by one of them at most.
class Approvals {
public:
  // The proof that a worker may run a step.
  struct Ticket {
    std::string Value;
    Instant ValidUntil;
  };
  struct Step {
    jobs::QueueId Queue;
    // The approved workers; a worker stays approved when its ticket expires.
    absl::flat_hash_map<WorkerId, Ticket> Approved;
    absl::flat_hash_set<WorkerId> Denied;
    // Workers that queries in flight name.
    absl::flat_hash_set<WorkerId> Pending;

    ApprovalState stateOf(const WorkerId &worker, Instant now) const;
  };

  // Records that `query` was sent. No other query for its step may name one of
  // its workers until finish() or abandon().
  void begin(const jobs::ApprovalQuery &query, const jobs::QueueId &queue);
  // Records the answer to a query. `issuedAt` is the earliest time at which the
  // tickets can have been issued; their validity counts from it.
  void finish(const jobs::ApprovalQuery &query,
              const jobs::ApprovalAnswer &answer, Instant issuedAt);
  // Records that a query ended without an answer.
  void abandon(const jobs::ApprovalQuery &query);
  // True while a query of the step is in flight.
  bool isQueryPending(const jobs::StepKey &step) const;

  // Returns null if no query has been sent for the step.
  const Step *find(const jobs::StepKey &step) const;
  ApprovalState stateOf(const jobs::StepKey &step, const WorkerId &worker,
                        Instant now) const;
  // Returns the worker's ticket for the step, or empty if it has none that is
  // valid at `now`.
  std::optional<std::string> ticket(const jobs::StepKey &step,
                                    const WorkerId &worker, Instant now) const;
  // Invalidates the ticket of one worker for one step, after the worker refused
  // it.
  void expire(const jobs::StepKey &step, const WorkerId &worker);
  // Invalidates all tickets of a worker, after it restarted.
  void expireWorker(const WorkerId &worker);
  // Drops the steps for which `isWanted` returns false, except those with a
  // query in flight.
  void retain(const std::function<bool(const jobs::StepKey &)> &isWanted);

  // Estimates the fraction, 0 to 1, of the workers named in the queue's queries
  // that are approved. Starts at 0.5.
  double approvalRate(const jobs::QueueId &queue) const;

private:
  // Counts behind approvalRate(). The initial values weigh as much as two
  // workers, one of them approved.
  struct Rate {
    double Asked = 2;
    double Approved = 1;
  };

  static void expire(Step &step, const WorkerId &worker);

  absl::flat_hash_map<jobs::StepKey, Step> Steps;
  std::map<jobs::QueueId, Rate> Rates;
};

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_APPROVALS_H_
