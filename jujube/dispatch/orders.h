// Orders to workers that take calls, and what they answer. Encodings of them
// are a matter of the front end that speaks a worker's protocol.
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

// A worker does nothing for an order whose fence is lower than the highest that
// it has seen: the term of the leader that gives it.
struct StartOrder {
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  std::string Payload;
  // End of the lease on the worker's clock.
  Instant Expires;
  uint64_t Fence = 0;
  std::string Checkpoint;
  // The approval; empty if none is needed.
  std::string Ticket;
};
struct StopOrder {
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  uint64_t Fence = 0;
};
// Renews the lease of all that runs on the worker and asks what runs and what
// has ended; the answer waits for an end.
struct LeaseOrder {
  std::optional<Instant> Expires;
  uint64_t Fence = 0;
  // Ends up to this number are stored and may be forgotten.
  uint64_t AckedEnds = 0;
  Duration Wait;
};

// Lets a running task work at a share of its speed.
struct PaceOrder {
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  // 0 to 100; a task starts at 100.
  int Percent = 100;
  uint64_t Fence = 0;
};

struct Order {
  WorkerId To;
  Address At;
  std::variant<StartOrder, StopOrder, LeaseOrder, PaceOrder> What;
};

enum class OrderVerdict {
  Accepted,
  // Another leader has given orders under a higher fence.
  StaleFence,
  // That attempt or a later one was stopped or has ended there.
  Superseded,
  // The lease was over on arrival; nothing was done.
  TooLate,
  NoRoom,
  BadTicket,
  // Another life of the worker answered; nothing was done.
  OtherLife,
  // The worker refused for now; nothing was done.
  Unhealthy,
  Invalid,
  // It may have been carried out, or may yet be.
  NoAnswer,
};

inline constexpr NameTable<OrderVerdict, 10> OrderVerdictNames = {{
    {OrderVerdict::Accepted, "accepted"},
    {OrderVerdict::StaleFence, "stale_fence"},
    {OrderVerdict::Superseded, "superseded"},
    {OrderVerdict::TooLate, "too_late"},
    {OrderVerdict::NoRoom, "no_room"},
    {OrderVerdict::BadTicket, "bad_ticket"},
    {OrderVerdict::OtherLife, "other_life"},
    {OrderVerdict::Unhealthy, "unhealthy"},
    {OrderVerdict::Invalid, "invalid"},
    {OrderVerdict::NoAnswer, "no_answer"},
}};
static_assert(isComplete(OrderVerdictNames));

struct RunningRow {
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  std::string Checkpoint;
  // Progress, 0 to 100.
  int32_t Percent = 0;
  // Of a task that serves, the tail of its response times.
  std::optional<Duration> Tail;
};
struct EndedRow {
  uint64_t Number = 0;
  jobs::TaskKey Task;
  uint32_t Attempt = 0;
  jobs::EndKind How = jobs::EndKind::Failed;
  std::string Checkpoint;
};

struct OrderAnswer {
  OrderVerdict Verdict = OrderVerdict::NoAnswer;
  std::optional<Instant> WorkerClock;
  // Which life of the worker answered, if it said so.
  std::optional<Incarnation> Life;
  // Of a LeaseOrder.
  std::vector<RunningRow> Running;
  // False if rows could not be read: what is missing may run.
  bool IsRunningWhole = true;
  std::vector<EndedRow> Ended;
};

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_ORDERS_H_
