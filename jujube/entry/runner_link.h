// The tasks that own an entry host's HTTP connections to runners.
//
// Each task owns at most one connection and has at most one exchange in
// progress. The pool gives an exchange to a task that is connected to the
// runner already, so that the connections to a runner never exceed the most
// exchanges that were in progress with it at once.
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

// What a link task is told to do. Payloads are shared, because a retry or hedge
// sends the same one again.
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

// How an exchange ended. For an inquiry, Unknown means that nothing was
// learned.
struct RunnerOutcome {
  RequestId Request;
  RunnerId Runner;
  uint32_t Attempt = 1;
  routing::AttemptOutcome Outcome = routing::AttemptOutcome::Unknown;
  // The whole answer, or the reason.
  std::string Body;
  bool IsInquiry = false;
};

// What a link task reports: an outcome, or that it was started anew.
struct LinkEvent {
  std::size_t Link = 0;
  std::optional<RunnerOutcome> Outcome;
};

// Bookkeeping of the link tasks; owned by the task that owns the router.
class RunnerLinkPool {
public:
  // Fails if `links` is 0.
  static Result<RunnerLinkPool> create(std::size_t links);

  // The link tasks, to be started under a supervisor.
  std::vector<runtime::ChildSpec> children() const;
  // Watched by the owner, which passes each event to handle().
  const runtime::MailboxPtr<LinkEvent> &events() const { return Events; }

  // Starts an exchange. Overloaded if all links are busy: a request is then
  // certain not to have been sent.
  Status send(SendRequest request);
  Status inquire(SendInquiry inquiry);

  // Takes an event and returns the outcome to pass to Router::answered(), if
  // any. An exchange whose task failed ends as Unknown.
  std::optional<RunnerOutcome> handle(LinkEvent event);

  std::size_t busy() const;
  // For RouterOptions::MaxInFlight.
  std::size_t size() const { return Links.size(); }

private:
  struct Link {
    runtime::MailboxPtr<LinkCommand> Commands;
    RunnerId LastRunner;
    // What to report if the task fails.
    std::optional<RunnerOutcome> InProgress;
    uint64_t LastUse = 0;
    // Its task was started once; a later start means that it failed.
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
