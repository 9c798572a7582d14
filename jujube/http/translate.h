// Translation between HTTP messages and typed commands. Pure functions: no
// sockets, no clock, no state.
#ifndef JUJUBE_HTTP_TRANSLATE_H_
#define JUJUBE_HTTP_TRANSLATE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/api/commands.h"
#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"
#include "jujube/base/result.h"

namespace jujube::http {

enum class Method { Get, Post };

inline constexpr NameTable<Method, 2> MethodNames = {{
    {Method::Get, "GET"},
    {Method::Post, "POST"},
}};
static_assert(isComplete(MethodNames));

// The operations of the interface, described in docs/API.md.
enum class Route {
  Submit,
  GetFate,
  Cancel,
  CallLive,
  EditCatalogue,
  GetCatalogue,
  GetHistory,
  GetStatus,
  MetricsText,
  GetMetrics,
  SyncWorker,
  AnnounceRunner,
  Health,
};

inline constexpr NameTable<Route, 13> RouteNames = {{
    {Route::Submit, "submit"},
    {Route::GetFate, "get_fate"},
    {Route::Cancel, "cancel"},
    {Route::CallLive, "call_live"},
    {Route::EditCatalogue, "edit_catalogue"},
    {Route::GetCatalogue, "get_catalogue"},
    {Route::GetHistory, "get_history"},
    {Route::GetStatus, "get_status"},
    {Route::MetricsText, "metrics_text"},
    {Route::GetMetrics, "get_metrics"},
    {Route::SyncWorker, "sync_worker"},
    {Route::AnnounceRunner, "announce_runner"},
    {Route::Health, "health"},
}};
static_assert(isComplete(RouteNames));

// The parts of an HTTP request that the translation uses. The path is
// percent-decoded.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  // The Authorization header; empty if there is none.
  std::string Authorization;
  std::string Body;
};

struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::optional<Duration> RetryAfter;
};

// Limits that requests are checked against.
struct RequestLimits {
  std::size_t MaxPayload = std::size_t{64} << 10;
  // Maximum of wait_ms in GET /v1/requests/ID and of the timeout of live
  // requests.
  Duration MaxWait = Duration::seconds(60);
  uint32_t MaxHistoryLines = 10000;
};

// The route of a request.
struct RouteMatch {
  Route Target = Route::Health;
  // The id in the path; empty if the route has none.
  std::string Id;
};

// Returns NotFound if no route has this path or the path does not take this
// method.
Result<RouteMatch> matchRoute(absl::string_view method, absl::string_view path);

// Returns the command of the request, or the error that makes it invalid.
// Precondition: match.Target is not Health.
Result<api::Command> toCommand(const RouteMatch &match,
                               const HttpRequest &request,
                               const RequestLimits &limits);

// Returns the response for a reply: text for Route::MetricsText, otherwise
// JSON.
HttpResponse toResponse(Route route, const api::Reply &reply);

// Returns the response for an error, with the status of its kind.
HttpResponse toResponse(const Error &error);

// Returns the HTTP status of an error kind.
int statusOf(ErrorKind kind);

} // namespace jujube::http

#endif // JUJUBE_HTTP_TRANSLATE_H_
