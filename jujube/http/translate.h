// Translation between HTTP requests and typed commands. Pure: no sockets, no
// clock, no state.
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

// What the interface offers; docs/API.md describes each.
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

// The parts of an HTTP request that matter here; the path is percent-decoded.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  // The Authorization header; empty if there is none.
  std::string Authorization;
  std::string Body;
};

struct HttpAnswer {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::optional<Duration> RetryAfter;
};

// Bounds that requests are checked against.
struct RequestLimits {
  std::size_t MaxPayload = std::size_t{64} << 10;
  // Of GET /v1/requests/ID?wait_ms= and of live requests.
  Duration MaxWait = Duration::seconds(60);
  uint32_t MaxHistoryLines = 10000;
};

// A path and method that the interface offers.
struct RouteMatch {
  Route Target = Route::Health;
  // The part of the path that stands for an id; empty if there is none.
  std::string Id;
};

// Returns NotFound for a path or method that the interface does not have.
Result<RouteMatch> matchRoute(absl::string_view method, absl::string_view path);

// Returns the command that the request asks for, or why it can't be made.
// Precondition: match.Target is not Health.
Result<api::Command> toCommand(const RouteMatch &match,
                               const HttpRequest &request,
                               const RequestLimits &limits);

// Returns the answer that carries a reply, as text for Route::MetricsText.
HttpAnswer toAnswer(Route route, const api::Reply &reply);

// Returns the answer that carries an error, with the status of its kind.
HttpAnswer toAnswer(const Error &error);

// The HTTP status of an error kind.
int statusOf(ErrorKind kind);

} // namespace jujube::http

#endif // JUJUBE_HTTP_TRANSLATE_H_
