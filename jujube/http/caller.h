// An asynchronous HTTP client: one task makes calls to many addresses on one
// poll loop. No thread blocks on a response, and idle keep-alive connections
// use no processor time.
//
// The HTTP library's client blocks one thread per call in flight, and the
// leader keeps a long poll open at every worker. Responses are therefore parsed
// with the incremental parser of Boost.Beast.
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

// An HTTP request to a peer.
struct OutboundCall {
  Address To;
  std::string Method;
  // Path with query.
  std::string Target;
  std::vector<std::pair<std::string, std::string>> Headers;
  // Sent with the content type JSON unless empty.
  std::string Body;
  // From the start of the call until the complete response has arrived.
  Duration Timeout;
  // The peer may delay its response on purpose, so no other call waits for this
  // connection to become free.
  bool IsLongPoll = false;
};

struct OutboundResponse {
  int Status = 0;
  std::string Body;
};

// The response; Unavailable if the call was certainly not sent, OutcomeUnknown
// if the peer may have executed it.
using OutboundResult = Result<OutboundResponse>;

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
  // Maximum number of connections to one address; further calls are queued.
  std::size_t MaxConnectionsPerAddress = 8;
  // Maximum number of connections to all addresses. At the limit, a call that
  // needs a new connection takes the place of the connection that has been idle
  // longest, or is queued if none is idle.
  std::size_t MaxConnections = 3000;
  // How long a queued call waits for a busy connection before another one is
  // opened: ten round trips between zones.
  Duration OpenDelay = Duration::millis(20);
  // Connections that were idle for longer are closed; shorter than the workers'
  // own idle timeout of 15 s.
  Duration IdleTimeout = Duration::seconds(10);
};

// Returns the child task that makes the calls posted to `calls` and posts their
// outcomes to `results`.
runtime::ChildSpec httpCallerTask(CallerOptions options, CallMailbox calls,
                                  CallResults results);

// The interface to a caller task for the task that owns `loop`: matches each
// result to the hook of its call. Not thread-safe.
class CallerClient {
public:
  using Done = std::function<void(OutboundResult)>;

  CallerClient(runtime::PollLoop &loop, CallMailbox calls, CallResults results);

  // Calls `done` once with the outcome, on the loop's thread and never from
  // within call().
  void call(OutboundCall what, Done done);

private:
  runtime::PollLoop &Loop;
  CallMailbox Calls;
  std::map<uint64_t, Done> Waiting;
  uint64_t LastId = 0;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_CALLER_H_
