// Which workers may run the steps of queues that need approval, and the tickets
// that prove it. Kept by the leader only; a new one asks again.
#ifndef JUJUBE_DISPATCH_APPROVALS_H_
#define JUJUBE_DISPATCH_APPROVALS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "jujube/base/clock.h"
#include "jujube/jobs/commands.h"
#include "jujube/jobs/types.h"

namespace jujube::dispatch {

// What is known of one worker for one step.
enum class ApprovalState {
  Unknown,
  Denied,
  // It may run the step, but its ticket has expired or its life is over.
  Expired,
  Valid,
};

inline constexpr NameTable<ApprovalState, 4> ApprovalStateNames = {{
    {ApprovalState::Unknown, "unknown"},
    {ApprovalState::Denied, "denied"},
    {ApprovalState::Expired, "expired"},
    {ApprovalState::Valid, "valid"},
}};
static_assert(isComplete(ApprovalStateNames));

class Approvals {
public:
  // What the service has said of one worker for one step.
  struct Verdict {
    bool IsApproved = false;
    std::string Ticket;
    Instant ValidUntil;
  };
  struct Step {
    jobs::QueueId Queue;
    bool IsAsking = false;
    absl::flat_hash_map<WorkerId, Verdict> Workers;

    ApprovalState stateOf(const WorkerId &worker, Instant now) const;
  };

  // A query was sent at `now`; no other is sent for the step before it ends.
  void begin(const jobs::ApprovalQuery &query, const jobs::QueueId &queue);
  // The answer to a query that was sent at `sentAt`; tickets count from then.
  void finish(const jobs::ApprovalQuery &query,
              const jobs::ApprovalAnswer &answer, Instant sentAt);
  // The query got no answer.
  void abandon(const jobs::StepKey &step);
  bool isAsking(const jobs::StepKey &step) const;

  // Null if nothing was asked for the step.
  const Step *find(const jobs::StepKey &step) const;
  ApprovalState stateOf(const jobs::StepKey &step, const WorkerId &worker,
                        Instant now) const;
  // Valid tickets only.
  std::optional<std::string> ticket(const jobs::StepKey &step,
                                    const WorkerId &worker, Instant now) const;
  // A worker refused the ticket, or started anew.
  void expire(const jobs::StepKey &step, const WorkerId &worker);
  void expireWorker(const WorkerId &worker);
  // Forgets steps for which `isWanted` is false.
  void retain(const std::function<bool(const jobs::StepKey &)> &isWanted);

  // The share of the workers named in queries of the queue that were approved,
  // as far as it has been seen.
  double approvalRate(const jobs::QueueId &queue) const;

private:
  struct Rate {
    double Asked = 2;
    double Approved = 1;
  };

  absl::flat_hash_map<jobs::StepKey, Step> Steps;
  std::map<jobs::QueueId, Rate> Rates;
};

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_APPROVALS_H_
