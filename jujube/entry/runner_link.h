// The tasks that own an entry host's HTTP connections to runners.
//
// Each task owns at most one connection and has at most one exchange in
// progress. The pool prefers a task that is already connected to the runner, so
// that the connections to a runner never exceed the maximum number of
// concurrent exchanges with it.
#ifndef JUJUBE_ENTRY_RUNNER_LINK_H_
#define JUJUBE_ENTRY_RUNNER_LINK_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/routing/actions.h"
#include "jujube/routing/types.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::entry {

// Commands for a link task. The payload is shared, because a retry or a hedged
// request sends the same payload again.
struct SendRequest {
  routing::Dispatch Dispatch;
  EntryId Entry;
  TeamId Team;
  std::shared_ptr<const std::string> Payload;
};
struct SendInquiry {
  routing::Inquire Inquiry;
};
using LinkCommand = std::variant<SendRequest, SendInquiry>;

// The result of an exchange. For an inquiry, Unknown means that the state of
// the attempt is still unknown.
struct RunnerOutcome {
  RequestId Request;
  RunnerId Runner;
  uint32_t Attempt = 1;
  routing::AttemptOutcome Outcome = routing::AttemptOutcome::Unknown;
  // The answer of the runner, or why there is none.
  std::string Body;
  bool IsInquiry = false;
};

// An event from a link task: the outcome of an exchange, or, if `Outcome` is
// empty, the start or restart of the task.
struct LinkEvent {
  std::size_t Link = 0;
  std::optional<RunnerOutcome> Outcome;
};

// Assigns exchanges to the link tasks and tracks their progress. Owned by the
// task that owns the router.
class RunnerLinkPool {
public:
  // Creates a pool of `links` link tasks; InvalidArgument if `links` is 0.
  static Result<RunnerLinkPool> create(std::size_t links);

  // Specifications of the link tasks for their supervisor.
  std::vector<runtime::ChildSpec> children() const;
  // The mailbox of events; the owner must pass each event to handle().
  const runtime::MailboxPtr<LinkEvent> &events() const { return Events; }

  // Starts an exchange. Fails with Overloaded if all links are busy. After an
  // error the request was certainly not sent.
  Status send(SendRequest request);
  Status inquire(SendInquiry inquiry);

  // Processes an event. Returns the outcome to pass to
  // Router::handleAttemptOutcome(); empty if no exchange ended. An exchange
  // whose task failed ends as Unknown.
  std::optional<RunnerOutcome> handle(LinkEvent event);

  // Number of links with an exchange in progress.
  std::size_t busy() const;
  // Number of links; the value for RouterOptions::MaxInFlight.
  std::size_t size() const { return Links.size(); }

private:
  struct Link {
    runtime::MailboxPtr<LinkCommand> Commands;
    RunnerId LastRunner;
    // The current exchange, reported as Unknown if the task fails.
    std::optional<RunnerOutcome> InProgress;
    uint64_t LastUse = 0;
    // Whether the task has started; a second start means that it failed.
    bool HasStarted = false;
  };

  RunnerLinkPool() = default;
  Link *choose(const RunnerId &runner);
  Status start(RunnerOutcome pending, LinkCommand command);

  std::vector<Link> Links;
  runtime::MailboxPtr<LinkEvent> Events;
  uint64_t Uses = 0;
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_RUNNER_LINK_H_
