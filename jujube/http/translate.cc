#include "jujube/http/translate.h"

#include <algorithm>
#include <array>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace jujube::http {
namespace {

constexpr Duration RetryDelay = Duration::seconds(1);
constexpr absl::string_view BearerPrefix = "Bearer ";
constexpr absl::string_view IdSegment = "*";

struct StatusRow {
  ErrorKind Kind;
  int Status;
  bool MayRetry;
};

// Indexed by ErrorKind.
constexpr std::array<StatusRow, ErrorKindNames.size()> Statuses = {{
    {ErrorKind::InvalidArgument, 400, false},
    {ErrorKind::MalformedBody, 400, false},
    {ErrorKind::BodyTooLarge, 413, false},
    {ErrorKind::Unauthenticated, 401, false},
    {ErrorKind::PermissionDenied, 403, false},
    {ErrorKind::NotFound, 404, false},
    {ErrorKind::ImpossibleRequest, 422, false},
    {ErrorKind::DuplicateRequest, 409, false},
    {ErrorKind::RevisionConflict, 409, false},
    {ErrorKind::LimitExceeded, 429, true},
    {ErrorKind::Overloaded, 503, true},
    {ErrorKind::DeadlineExceeded, 504, false},
    {ErrorKind::Unavailable, 503, true},
    {ErrorKind::NotLeader, 503, true},
    {ErrorKind::StaleData, 503, true},
    {ErrorKind::StorageFull, 507, false},
    {ErrorKind::StorageFailed, 500, false},
    {ErrorKind::CorruptData, 500, false},
    {ErrorKind::Cancelled, 409, false},
    {ErrorKind::Internal, 500, false},
    {ErrorKind::NotRun, 503, true},
    {ErrorKind::RunFailed, 502, false},
    {ErrorKind::OutcomeUnknown, 504, false},
    {ErrorKind::Gone, 410, false},
}};

constexpr bool isOrdered() {
  for (std::size_t i = 0; i < Statuses.size(); ++i)
    if (static_cast<std::size_t>(Statuses[i].Kind) != i)
      return false;
  return true;
}
static_assert(isOrdered());

struct RouteRow {
  Route Target;
  Method Verb;
  absl::string_view Pattern;
};

constexpr std::array<RouteRow, RouteNames.size()> Routes = {{
    {Route::Submit, Method::Post, "/v1/requests"},
    {Route::GetFate, Method::Get, "/v1/requests/*"},
    {Route::Cancel, Method::Post, "/v1/requests/*/cancel"},
    {Route::CallLive, Method::Post, "/v1/entries/*/call"},
    {Route::EditCatalogue, Method::Post, "/v1/catalogue/edits"},
    {Route::GetCatalogue, Method::Get, "/v1/catalogue"},
    {Route::GetHistory, Method::Get, "/v1/catalogue/history"},
    {Route::GetStatus, Method::Get, "/v1/status"},
    {Route::MetricsText, Method::Get, "/metrics"},
    {Route::GetMetrics, Method::Get, "/v1/metrics"},
    {Route::SyncWorker, Method::Post, "/v1/workers/sync"},
    {Route::AnnounceRunner, Method::Post, "/v1/runners/announce"},
    {Route::Health, Method::Get, "/healthz"},
}};

// Returns the path segment that matches the pattern's `*` (empty if the pattern
// has none), or nullopt if `path` does not match.
std::optional<std::string> matchPattern(absl::string_view pattern,
                                        absl::string_view path) {
  const std::vector<absl::string_view> expected = absl::StrSplit(pattern, '/');
  const std::vector<absl::string_view> given = absl::StrSplit(path, '/');
  if (expected.size() != given.size())
    return std::nullopt;
  std::string id;
  for (std::size_t i = 0; i < expected.size(); ++i) {
    if (expected[i] == IdSegment)
      id = std::string(given[i]);
    else if (expected[i] != given[i])
      return std::nullopt;
  }
  return id;
}

Result<std::string> bearerToken(const HttpRequest &request) {
  if (request.Authorization.empty())
    return std::string();
  absl::string_view token = request.Authorization;
  if (!absl::ConsumePrefix(&token, BearerPrefix) || token.empty())
    return Error{ErrorKind::Unauthenticated,
                 "the Authorization header is not a bearer token",
                 "send it as 'Authorization: Bearer KEYID.SECRET'"};
  return std::string(token);
}

Result<int64_t> queryNumber(const HttpRequest &request, const std::string &name,
                            int64_t defaultValue, int64_t max) {
  const auto it = request.Query.find(name);
  if (it == request.Query.end())
    return defaultValue;
  int64_t n = 0;
  if (!absl::SimpleAtoi(it->second, &n) || n < 0 || n > max)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("the query field ", name,
                              " is not a whole number in range"),
                 absl::StrCat("give a whole number from 0 to ", max)};
  return n;
}

Status checkPayload(const std::string &payload, const RequestLimits &limits) {
  if (payload.size() <= limits.MaxPayload)
    return Ok{};
  return Error{
      ErrorKind::BodyTooLarge,
      absl::StrCat("the payload has ", payload.size(), " bytes"),
      absl::StrCat("send at most ", limits.MaxPayload,
                   " bytes; put larger data in your own store and send its "
                   "name")};
}

Result<api::Command> makeSubmit(std::string token, const HttpRequest &request,
                                const RequestLimits &limits) {
  Result<SubmitBody> body = fromJson<SubmitBody>(request.Body);
  if (!isOk(body))
    return errorOf(body);
  auto &[id, entry, payload, tasks, startWithin] = valueOf(body);
  if (Status status = checkPayload(payload, limits); !isOk(status))
    return errorOf(status);
  return api::Submit{std::move(token),   std::move(id), std::move(entry),
                     std::move(payload), tasks,         startWithin};
}

Result<api::Command> makeCall(std::string token, const std::string &entryText,
                              const HttpRequest &request,
                              const RequestLimits &limits) {
  Result<EntryId> entry = EntryId::parse(entryText);
  if (!isOk(entry))
    return errorOf(entry);
  Result<CallBody> body = fromJson<CallBody>(request.Body);
  if (!isOk(body))
    return errorOf(body);
  auto &[id, payload, timeout] = valueOf(body);
  if (Status status = checkPayload(payload, limits); !isOk(status))
    return errorOf(status);
  if (timeout <= Duration() || timeout > limits.MaxWait)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("timeout_ms is ", timeout.millis()),
                 absl::StrCat("give 1 to ", limits.MaxWait.millis())};
  return api::CallLive{std::move(token), std::move(id),
                       valueOf(std::move(entry)), std::move(payload), timeout};
}

Result<api::Command> makeGetFate(std::string token, RequestId id,
                                 const HttpRequest &request,
                                 const RequestLimits &limits) {
  const Result<int64_t> wait =
      queryNumber(request, "wait_ms", 0, limits.MaxWait.millis());
  if (!isOk(wait))
    return errorOf(wait);
  return api::GetFate{std::move(token), std::move(id),
                      Duration::millis(valueOf(wait))};
}

Result<api::Command> makeForRequest(const RouteMatch &match, std::string token,
                                    const HttpRequest &request,
                                    const RequestLimits &limits) {
  Result<RequestId> id = RequestId::parse(match.Id);
  if (!isOk(id))
    return errorOf(id);
  if (match.Target == Route::Cancel)
    return api::Cancel{std::move(token), valueOf(std::move(id))};
  return makeGetFate(std::move(token), valueOf(std::move(id)), request, limits);
}

Result<api::Command> makeEdit(std::string token, const HttpRequest &request) {
  const Result<int64_t> dryRun = queryNumber(request, "dry_run", 0, 1);
  if (!isOk(dryRun))
    return errorOf(dryRun);
  Result<catalogue::Edit> edit = fromJson<catalogue::Edit>(request.Body);
  if (!isOk(edit))
    return errorOf(edit);
  return api::EditCatalogue{std::move(token), valueOf(std::move(edit)),
                            valueOf(dryRun) == 1};
}

Result<api::Command> makeGetHistory(std::string token,
                                    const HttpRequest &request,
                                    const RequestLimits &limits) {
  api::GetHistory command{std::move(token)};
  const Result<int64_t> lines = queryNumber(
      request, "max_lines", command.MaxLines, limits.MaxHistoryLines);
  if (!isOk(lines))
    return errorOf(lines);
  command.MaxLines = static_cast<uint32_t>(valueOf(lines));
  return command;
}

Result<api::Command> makeSync(std::string token, const HttpRequest &request) {
  Result<fate::WorkerSync> sync = fromJson<fate::WorkerSync>(request.Body);
  if (!isOk(sync))
    return errorOf(sync);
  return api::SyncWorker{std::move(token), valueOf(std::move(sync))};
}

Result<api::Command> makeAnnounce(std::string token,
                                  const HttpRequest &request) {
  auto announcement = fromJson<routing::RunnerAnnouncement>(request.Body);
  if (!isOk(announcement))
    return errorOf(announcement);
  return api::AnnounceRunner{std::move(token),
                             valueOf(std::move(announcement))};
}

// Encodes every alternative of a reply.
struct ReplyEncoder {
  std::string operator()(const Ok &) const { return toJson(DoneBody{}); }
  template <typename T> std::string operator()(const T &reply) const {
    return toJson(reply);
  }
};

} // namespace

Result<RouteMatch> matchRoute(absl::string_view method,
                              absl::string_view path) {
  const absl::string_view verb = method == "HEAD" ? "GET" : method;
  std::string allowed;
  for (const RouteRow &row : Routes) {
    std::optional<std::string> id = matchPattern(row.Pattern, path);
    if (!id)
      continue;
    if (nameIn(MethodNames, row.Verb) == verb)
      return RouteMatch{row.Target, *std::move(id)};
    allowed = std::string(nameIn(MethodNames, row.Verb));
  }
  if (allowed.empty())
    return Error{ErrorKind::NotFound, "there is no such path",
                 "see docs/API.md for the paths under /v1"};
  return Error{ErrorKind::NotFound, "the path does not take this method",
               absl::StrCat("use ", allowed)};
}

Result<api::Command> toCommand(const RouteMatch &match,
                               const HttpRequest &request,
                               const RequestLimits &limits) {
  Result<std::string> bearer = bearerToken(request);
  if (!isOk(bearer))
    return errorOf(bearer);
  std::string &token = valueOf(bearer);
  switch (match.Target) {
  case Route::Submit:
    return makeSubmit(std::move(token), request, limits);
  case Route::GetFate:
  case Route::Cancel:
    return makeForRequest(match, std::move(token), request, limits);
  case Route::CallLive:
    return makeCall(std::move(token), match.Id, request, limits);
  case Route::EditCatalogue:
    return makeEdit(std::move(token), request);
  case Route::GetCatalogue:
    return api::GetCatalogue{std::move(token)};
  case Route::GetHistory:
    return makeGetHistory(std::move(token), request, limits);
  case Route::GetStatus:
    return api::GetStatus{};
  case Route::MetricsText:
  case Route::GetMetrics:
    return api::GetMetrics{};
  case Route::SyncWorker:
    return makeSync(std::move(token), request);
  case Route::AnnounceRunner:
    return makeAnnounce(std::move(token), request);
  case Route::Health:
    break;
  }
  return Error{ErrorKind::NotFound, "the path has no command",
               "see docs/API.md for the paths under /v1"};
}

HttpResponse toResponse(Route route, const api::Reply &reply) {
  if (const auto *snapshot = std::get_if<metrics::Snapshot>(&reply);
      snapshot && route == Route::MetricsText)
    return {200, metrics::renderText(*snapshot), "text/plain; charset=utf-8"};
  return {200, std::visit(ReplyEncoder{}, reply)};
}

HttpResponse toResponse(const Error &error) {
  const StatusRow &row = Statuses[static_cast<std::size_t>(error.Kind)];
  HttpResponse answer{row.Status, toJson(ErrorBody{error})};
  if (error.RetryAfter > Duration())
    answer.RetryAfter = error.RetryAfter;
  else if (row.MayRetry)
    answer.RetryAfter = RetryDelay;
  return answer;
}

int statusOf(ErrorKind kind) {
  return Statuses[static_cast<std::size_t>(kind)].Status;
}

} // namespace jujube::http
