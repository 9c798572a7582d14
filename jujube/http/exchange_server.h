// An HTTP server for front ends with paths of their own: the same connections
// and threads as the server of the /v1 interface, any path, any method.
#ifndef JUJUBE_HTTP_EXCHANGE_SERVER_H_
#define JUJUBE_HTTP_EXCHANGE_SERVER_H_

#include <functional>
#include <optional>
#include <string>

#include "jujube/http/server.h"

namespace jujube::http {

// A request as it arrived.
struct Exchange {
  std::string Method;
  // Without the query.
  std::string Path;
  std::string Body;
  // Returns a header's value; empty if there is none.
  std::function<std::string(const std::string &name)> Header;
};

struct ExchangeAnswer {
  int Status = 200;
  std::string Body;
  // Sent as whole seconds, rounded up.
  std::optional<Duration> RetryAfter;
  std::string ContentType = "application/json";
};

// Called on the threads of the connections, many at once; may block.
using ExchangeHook = std::function<ExchangeAnswer(const Exchange &)>;

// The server as a child called `name`. While `isHealthy` returns false,
// connections are closed after each answer and when idle. Bodies over
// `options.MaxBody` are refused with 413.
Result<runtime::ChildSpec> exchangeServerTask(const std::string &name,
                                              ServerOptions options,
                                              ExchangeHook answer,
                                              std::function<bool()> isHealthy);

} // namespace jujube::http

#endif // JUJUBE_HTTP_EXCHANGE_SERVER_H_
