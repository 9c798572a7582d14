// Actions that a Router asks its entry host to carry out, and the outcomes of
// attempts that the entry host reports back.
#ifndef JUJUBE_ROUTING_ACTIONS_H_
#define JUJUBE_ROUTING_ACTIONS_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/result.h"

namespace jujube::routing {

// How an attempt ended, as observed by the entry host.
enum class AttemptOutcome {
  // A complete response arrived, and its request id and attempt number match.
  Answered,
  // The runner ran the request and reports that it failed.
  Failed,
  // The runner refused the request before starting it.
  Refused,
  // The request was not sent: there was no connection, or SendBefore had
  // passed.
  NotSent,
  // The request was sent but no complete response arrived. It may have run, or
  // may still be running.
  Unknown,
};

inline constexpr NameTable<AttemptOutcome, 5> AttemptOutcomeNames = {{
    {AttemptOutcome::Answered, "answered"},
    {AttemptOutcome::Failed, "failed"},
    {AttemptOutcome::Refused, "refused"},
    {AttemptOutcome::NotSent, "not_sent"},
    {AttemptOutcome::Unknown, "unknown"},
}};
static_assert(isComplete(AttemptOutcomeNames));

// Send the request to the runner. Once SendBefore has passed, the entry host
// must not send it and reports AttemptOutcome::NotSent.
struct Dispatch {
  RequestId Request;
  RunnerId Runner;
  // The runner incarnation that the request is addressed to; any other
  // incarnation refuses it.
  Incarnation Start;
  Address Http;
  uint32_t Attempt = 1;
  // The runner must finish the request within this time.
  Duration Timeout;
  // When the credit that the attempt uses expires.
  Instant SendBefore;

  bool operator==(const Dispatch &) const = default;
};

// Record in the journal that this entry host may send a request that is not
// idempotent, then call Router::handleOfferJournaled(). Emitted once per
// request; if the request has to wait for a slot, the journal write overlaps
// the wait.
struct JournalOffer {
  RequestId Request;

  bool operator==(const JournalOffer &) const = default;
};

// Tell the caller that the request was not run. Emitted only if it certainly
// was not.
struct Shed {
  RequestId Request;
  Error Why;
  // Suggested delay before the caller retries.
  Duration RetryAfter;

  bool operator==(const Shed &) const = default;
};

// Send the response of this attempt to the caller, or store it if the caller
// has disconnected.
struct Deliver {
  RequestId Request;
  RunnerId Runner;
  uint32_t Attempt = 1;

  bool operator==(const Deliver &) const = default;
};

// Tell the caller that the request ran and failed.
struct Fail {
  RequestId Request;
  RunnerId Runner;
  uint32_t Attempt = 1;
  Error Why;

  bool operator==(const Fail &) const = default;
};

// Tell the caller that the outcome is unknown. The request is not retried; a
// later Deliver, Fail or Shed for it reports the actual outcome.
struct MarkUnresolved {
  RequestId Request;
  RunnerId Runner;
  uint32_t Attempt = 1;
  Error Why;

  bool operator==(const MarkUnresolved &) const = default;
};

// Ask the runner for the outcome of a lost attempt, and pass the reply to
// Router::handleAttemptOutcome(). A runner that has not seen the attempt must
// refuse it from then on, so that a reply of Refused is final. A runner that
// has restarted since the attempt was sent does not know the outcome, and
// replies so.
struct Inquire {
  RequestId Request;
  RunnerId Runner;
  // The runner incarnation that the attempt was sent to.
  Incarnation Start;
  Address Http;
  uint32_t Attempt = 1;

  bool operator==(const Inquire &) const = default;
};

// Forward the request to another entry host. Emitted while this entry host
// drains, for requests that it has not sent to a runner.
struct HandOver {
  RequestId Request;

  bool operator==(const HandOver &) const = default;
};

// Send a report (Router::report()) to the leader of this zone now.
struct SendReport {
  ZoneId Zone;

  bool operator==(const SendReport &) const = default;
};

using RouterAction =
    std::variant<Dispatch, JournalOffer, Shed, Deliver, Fail, MarkUnresolved,
                 Inquire, HandOver, SendReport>;
using RouterActions = std::vector<RouterAction>;

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_ACTIONS_H_
