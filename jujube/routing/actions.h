// What a router asks its entry host to do, and what it is told of attempts.
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

// How an attempt ended, as seen from the entry host.
enum class AttemptOutcome {
  // A whole answer whose request and attempt match.
  Answered,
  // The runner ran the request and reports that it failed.
  Failed,
  // The runner refused it before starting.
  Refused,
  // It never left: no connection, or it was too late to send it.
  NotSent,
  // It left and no whole answer came: it may have run, or still run.
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

// Send the request to the runner, unless SendBefore has passed (NotSent).
struct Dispatch {
  RequestId Request;
  RunnerId Runner;
  // The start of the runner that it is meant for; another one refuses it.
  Incarnation Start;
  Address Http;
  uint32_t Attempt = 1;
  // The runner has to end it within this span.
  Duration Timeout;
  // The credit is valid until then.
  Instant SendBefore;

  bool operator==(const Dispatch &) const = default;
};

// Journal that this entry host may send a request that is not idempotent, then
// call Router::offerJournaled(). Asked for once per request, while it waits for
// a slot if it has to wait.
struct JournalOffer {
  RequestId Request;

  bool operator==(const JournalOffer &) const = default;
};

// Answer the caller that the request was not run. It is certain that it was
// not.
struct Shed {
  RequestId Request;
  Error Why;
  // When it is worth trying again.
  Duration RetryAfter;

  bool operator==(const Shed &) const = default;
};

// Answer the caller with the body that this attempt brought, or keep it if the
// caller is gone.
struct Deliver {
  RequestId Request;
  RunnerId Runner;
  uint32_t Attempt = 1;

  bool operator==(const Deliver &) const = default;
};

// Answer the caller that the request ran and failed.
struct Fail {
  RequestId Request;
  RunnerId Runner;
  uint32_t Attempt = 1;
  Error Why;

  bool operator==(const Fail &) const = default;
};

// Answer the caller that the outcome is not known; the request is not tried
// again. A later Deliver, Fail or Shed of the request resolves it.
struct MarkUnresolved {
  RequestId Request;
  RunnerId Runner;
  uint32_t Attempt = 1;
  Error Why;

  bool operator==(const MarkUnresolved &) const = default;
};

// Ask the runner what became of a lost attempt, and report the reply with
// Router::answered(). A runner that has not seen the attempt must refuse it
// from then on, so that Refused is certain.
// A runner that was started anew does not know, and says so.
struct Inquire {
  RequestId Request;
  RunnerId Runner;
  // The start of the runner that the attempt was sent to.
  Incarnation Start;
  Address Http;
  uint32_t Attempt = 1;

  bool operator==(const Inquire &) const = default;
};

// Pass the request on to another entry host: this one is draining and it has
// not left yet.
struct HandOver {
  RequestId Request;

  bool operator==(const HandOver &) const = default;
};

// Send a report to the leader of this zone without waiting for the next period.
struct ReportNow {
  ZoneId Zone;

  bool operator==(const ReportNow &) const = default;
};

using RouterAction = std::variant<Dispatch, JournalOffer, Shed, Deliver, Fail,
                                  MarkUnresolved, Inquire, HandOver, ReportNow>;
using RouterActions = std::vector<RouterAction>;

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_ACTIONS_H_
