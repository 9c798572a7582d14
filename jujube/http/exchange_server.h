// An HTTP server for front ends that define their own paths. Handles
// connections and threads like the server of the /v1 interface, but accepts any
// path and the methods GET, HEAD, POST, PUT and DELETE.
#ifndef JUJUBE_HTTP_EXCHANGE_SERVER_H_
#define JUJUBE_HTTP_EXCHANGE_SERVER_H_

#include <functional>
#include <optional>
#include <string>

#include "jujube/http/server.h"

namespace jujube::http {

// An HTTP request before any translation into a command.
struct RawRequest {
  std::string Method;
  // Without the query.
  std::string Path;
  std::string Body;
  // Returns the value of a header; empty if the header is absent.
  std::function<std::string(const std::string &name)> Header;
};

struct RawResponse {
  int Status = 200;
  std::string Body;
  // The Retry-After header, sent in whole seconds, rounded up.
  std::optional<Duration> RetryAfter;
  std::string ContentType = "application/json";
};

// Called concurrently on the threads of the connections; may block.
using RawRequestHook = std::function<RawResponse(const RawRequest &)>;

// Returns the server as a child task called `name`. While `isHealthy` returns
// false, connections are closed after each response and when idle. Bodies
// larger than `options.MaxBody` are rejected with status 413.
Result<runtime::ChildSpec> exchangeServerTask(const std::string &name,
                                              ServerOptions options,
                                              RawRequestHook answer,
                                              std::function<bool()> isHealthy);

} // namespace jujube::http

#endif // JUJUBE_HTTP_EXCHANGE_SERVER_H_
