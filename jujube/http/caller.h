// The task that makes HTTP calls to many addresses on one poll loop: no thread
// waits for an answer, and kept connections cost nothing while they are idle.
//
// The HTTP library's client blocks a thread for each call in flight; the leader
// keeps a call waiting at every worker, so answers are parsed by the
// incremental parser of Boost.Beast instead.
#ifndef JUJUBE_HTTP_CALLER_H_
#define JUJUBE_HTTP_CALLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/poll_loop.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::http {

// One call to be sent.
struct OutboundCall {
  Address To;
  std::string Method;
  // Path with query.
  std::string Target;
  std::vector<std::pair<std::string, std::string>> Headers;
  // Sent as JSON unless it is empty.
  std::string Body;
  // From when the call is made to its whole answer.
  Duration Timeout;
  // The peer holds the answer back on purpose; no other call waits for it.
  bool IsLongPoll = false;
};

struct OutboundAnswer {
  int Status = 0;
  std::string Body;
};

// The answer; Unavailable if the call surely was not sent, or OutcomeUnknown if
// it may have been carried out.
using OutboundResult = Result<OutboundAnswer>;

struct CallRequest {
  uint64_t Id = 0;
  OutboundCall What;
};
struct CallResult {
  uint64_t Id = 0;
  OutboundResult Outcome;
};

using CallMailbox = runtime::MailboxPtr<CallRequest>;
using CallResults = runtime::MailboxPtr<CallResult>;

struct CallerOptions {
  // Most connections to one address; further calls wait for a free one.
  std::size_t MaxPerAddress = 8;
  // How long a call waits for the connection of one that is under way before
  // another connection is opened. Source: ten round trips between zones.
  Duration OpenDelay = Duration::millis(20);
  // A kept connection that was not used for this span is closed. Source: the
  // workers' own idle timeout is 15 s.
  Duration KeepIdle = Duration::seconds(10);
};

// The child that makes the calls posted to `calls` and posts to `results`.
runtime::ChildSpec callerTask(CallerOptions options, CallMailbox calls,
                              CallResults results);

// The owner's side of a caller: pairs results with the hooks of their calls.
// Belongs to the task that owns `loop`.
class CallDesk {
public:
  using Done = std::function<void(OutboundResult)>;

  CallDesk(runtime::PollLoop &loop, CallMailbox calls, CallResults results);

  // `done` is called on the loop's thread, never within call().
  void call(OutboundCall what, Done done);

private:
  runtime::PollLoop &Loop;
  CallMailbox Calls;
  std::map<uint64_t, Done> Waiting;
  uint64_t LastId = 0;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_CALLER_H_
