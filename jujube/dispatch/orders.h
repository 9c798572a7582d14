// Orders that the leader sends to workers, and their answers. The front end for
// the worker protocol encodes them.
#ifndef JUJUBE_DISPATCH_ORDERS_H_
#define JUJUBE_DISPATCH_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/jobs/types.h"

namespace jujube::dispatch {

// The number of bits of a fence that are not part of the term.
inline constexpr int FenceNumberBits = 24;

// The fence of an order: workers refuse orders with a fence lower than the
// highest that they have seen. It increases with the term of the leader and,
// within a term, with each incarnation of the worker: an order to an earlier
// incarnation that arrives late would otherwise be carried out by the next one.
constexpr uint64_t fenceOf(uint64_t term, uint64_t number) {
  return (term << FenceNumberBits) + number;
}

// Starts a task.
struct StartOrder {
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  std::string Payload;
  // End of the lease on the worker's clock.
  Instant Expires;
  uint64_t Fence = 0;
  // Where to resume; empty to start from the beginning.
  std::string Checkpoint;
  // Proof of the approval; empty if none is needed.
  std::string Ticket;
};
// Stops an attempt.
struct StopOrder {
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  uint64_t Fence = 0;
};
// Renews the leases of all attempts on the worker and asks for its running and
// ended attempts. The worker delays its answer until an attempt ends, for at
// most `Wait`.
struct LeaseOrder {
  // New end of the lease on the worker's clock; unset to leave it as it is.
  std::optional<Instant> Expires;
  uint64_t Fence = 0;
  // Reports of ended attempts up to this number are replicated; the worker may
  // drop them.
  uint64_t AckedEnds = 0;
  Duration Wait;
};

// Limits the speed of a running task.
struct ThrottleOrder {
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  // 0 to 100 per cent of full speed; a task starts at 100.
  int Percent = 100;
  uint64_t Fence = 0;
};

using OrderBody =
    std::variant<StartOrder, StopOrder, LeaseOrder, ThrottleOrder>;

// An order and the worker that it is sent to.
struct Order {
  WorkerId To;
  Address At;
  OrderBody What;
};

// The outcome of an order.
enum class OrderVerdict {
  Accepted,
  // The worker has seen a higher fence, from a newer leader.
  StaleFence,
  // This attempt or a later one was stopped or has ended on the worker.
  Superseded,
  // The lease had expired when the order arrived; the worker did nothing.
  TooLate,
  // The worker lacks the capacity.
  InsufficientCapacity,
  // The worker refused the ticket.
  BadTicket,
  // Another incarnation of the worker answered; it did nothing.
  OtherIncarnation,
  // The worker refuses orders for now; it did nothing.
  Unhealthy,
  Invalid,
  // No usable answer arrived: the worker may have carried out the order, or may
  // still do so.
  NoAnswer,
};

inline constexpr NameTable<OrderVerdict, 10> OrderVerdictNames = {{
    {OrderVerdict::Accepted, "accepted"},
    {OrderVerdict::StaleFence, "stale_fence"},
    {OrderVerdict::Superseded, "superseded"},
    {OrderVerdict::TooLate, "too_late"},
    {OrderVerdict::InsufficientCapacity, "no_room"},
    {OrderVerdict::BadTicket, "bad_ticket"},
    {OrderVerdict::OtherIncarnation, "other_life"},
    {OrderVerdict::Unhealthy, "unhealthy"},
    {OrderVerdict::Invalid, "invalid"},
    {OrderVerdict::NoAnswer, "no_answer"},
}};
static_assert(isComplete(OrderVerdictNames));

// An attempt that runs on the worker.
struct ReportedAttempt {
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  std::string Checkpoint;
  // Progress, 0 to 100.
  int32_t Percent = 0;
  // Tail of the response times. Meaningful for serving tasks only: for other
  // tasks the worker reports another figure in this place.
  std::optional<Duration> TailLatency;
};
// An attempt that has ended on the worker.
struct ReportedEnd {
  // Acknowledged by LeaseOrder::AckedEnds.
  uint64_t Number = 0;
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  jobs::EndKind How = jobs::EndKind::Failed;
  std::string Checkpoint;
};

// A worker's answer to an order.
struct OrderAnswer {
  OrderVerdict Verdict = OrderVerdict::NoAnswer;
  // The worker's steady clock; unset if the answer does not give it.
  std::optional<Instant> WorkerClock;
  // The incarnation that answered; unset if the answer does not give it.
  std::optional<Incarnation> WorkerIncarnation;
  // Attempts that run on the worker; only in answers to a LeaseOrder.
  std::vector<ReportedAttempt> Running;
  // False if some rows of Running could not be read: attempts that are missing
  // from it may still run.
  bool IsRunningComplete = true;
  // Attempts that have ended; only in answers to a LeaseOrder.
  std::vector<ReportedEnd> Ended;
  // False if the worker may hold more ends than it lists, or some rows could
  // not be read: attempts that are in neither list may have ended.
  bool IsEndedComplete = true;
};

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_ORDERS_H_
