#include "jujube/http/request_processor.h"

#include <exception>
#include <optional>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace jujube::http {
namespace {

// Longer paths are rejected before the library matches them.
constexpr std::size_t MaxPathBytes = 512;
constexpr int StatusPayloadTooLarge = 413;

bool hasBody(const httplib::Request &request) {
  return request.has_header("Content-Length") ||
         request.has_header("Transfer-Encoding");
}

bool isPost(const httplib::Request &request) {
  return request.method == nameIn(MethodNames, Method::Post);
}

bool isTooLarge(const httplib::Request &request, std::size_t maxBody) {
  uint64_t n = 0;
  const std::string length = request.get_header_value("Content-Length");
  return !length.empty() && (!absl::SimpleAtoi(length, &n) || n > maxBody);
}

Error bodyTooLarge(std::size_t maxBody) {
  return Error{ErrorKind::BodyTooLarge, "the body is too large",
               absl::StrCat("send at most ", maxBody, " bytes")};
}

// Returns the error that rejects a request before its body is read; nullopt if
// the request is acceptable so far.
std::optional<Error> earlyError(const httplib::Request &request,
                                std::size_t maxBody) {
  if (request.path.size() > MaxPathBytes)
    return Error{ErrorKind::NotFound, "the path is too long",
                 "see docs/API.md for the paths under /v1"};
  const auto route = matchRoute(request.method, request.path);
  if (!isOk(route))
    return errorOf(route);
  if (isPost(request) && isTooLarge(request, maxBody))
    return bodyTooLarge(maxBody);
  return std::nullopt;
}

// Returns true if the response may be written before the whole body is read.
// Bodies of undeclared length are abandoned once they exceed the limit.
bool mayLeaveBodyUnread(const httplib::Request &request, std::size_t maxBody) {
  return hasBody(request) &&
         (!isPost(request) || earlyError(request, maxBody) ||
          request.has_header("Transfer-Encoding") ||
          request.has_header("Content-Encoding"));
}

void write(const HttpResponse &answer, httplib::Response &response) {
  response.status = answer.Status;
  response.set_content(answer.Body, answer.ContentType);
  // The header is in whole seconds; the body has the milliseconds.
  if (answer.RetryAfter)
    response.set_header(
        "Retry-After",
        std::to_string((answer.RetryAfter->millis() + 999) / 1000));
}

// Returns the error for a status that the HTTP library set by itself.
Error errorOfStatus(int status) {
  if (status == StatusPayloadTooLarge)
    return Error{ErrorKind::BodyTooLarge, "the body is too large",
                 "send a smaller body"};
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("not a well-formed HTTP request, status ", status),
               "send HTTP/1.1 with a valid request line, headers and body"};
}

HttpRequest toRequest(const httplib::Request &request, std::string body) {
  HttpRequest parts{request.method, request.path};
  for (const auto &[name, value] : request.params)
    parts.Query[name] = value;
  parts.Authorization = request.get_header_value("Authorization");
  parts.Body = std::move(body);
  return parts;
}

} // namespace

RequestProcessor::RequestProcessor(Options options)
    : Settings(std::move(options)) {
  set_payload_max_length(Settings.MaxBody);
  set_keep_alive_timeout(Settings.KeepAlive.millis() / 1000);
  set_pre_routing_handler(
      [this](const httplib::Request &request, httplib::Response &response) {
        return handleEarly(request, response) ? HandlerResponse::Handled
                                              : HandlerResponse::Unhandled;
      });
  Post(".*",
       [this](const httplib::Request &request, httplib::Response &response,
              const httplib::ContentReader &reader) {
         handlePost(request, response, reader);
       });
  set_error_handler([](const httplib::Request &, httplib::Response &response) {
    if (response.body.empty()) {
      const int status = response.status;
      write(toResponse(errorOfStatus(status)), response);
      response.status = status;
    }
  });
  set_exception_handler([](const httplib::Request &,
                           httplib::Response &response,
                           const std::exception_ptr &) {
    write(
        toResponse(Error{ErrorKind::Internal, "the request could not be served",
                         "resend it with the same id"}),
        response);
  });
}

Disposition RequestProcessor::process(httplib::Stream &stream) {
  const bool closeAfter = !Settings.IsHealthy();
  bool isClosed = false;
  // Stays true if the library rejects the request before it calls `prepare`.
  bool isUnread = true;
  const auto prepare = [&](httplib::Request &request) {
    // Disables the library's range responses, compression and multipart
    // parsing, which the interface does not offer.
    request.ranges.clear();
    request.headers.erase("Accept-Encoding");
    request.headers.erase("Content-Type");
    isUnread = mayLeaveBodyUnread(request, Settings.MaxBody);
    if (isUnread) {
      request.headers.erase("Connection");
      request.headers.emplace("Connection", "close");
    }
  };
  const bool isServed = process_request(stream, closeAfter, isClosed, prepare);
  if (isUnread)
    return Disposition::DrainAndClose;
  return isServed && !isClosed && !closeAfter ? Disposition::Reuse
                                              : Disposition::Close;
}

bool RequestProcessor::handleEarly(const httplib::Request &request,
                                   httplib::Response &response) const {
  if (std::optional<Error> error = earlyError(request, Settings.MaxBody)) {
    write(toResponse(*error), response);
    return true;
  }
  if (isPost(request) && hasBody(request))
    return false;
  handle(request, {}, response);
  return true;
}

void RequestProcessor::handlePost(const httplib::Request &request,
                                  httplib::Response &response,
                                  const httplib::ContentReader &reader) const {
  // Enforces the limit for chunked and compressed bodies, too.
  std::string body;
  bool isTooLong = false;
  const bool isRead = reader([&](const char *data, size_t n) {
    isTooLong = body.size() + n > Settings.MaxBody;
    if (!isTooLong)
      body.append(data, n);
    return !isTooLong;
  });
  if (isTooLong)
    write(toResponse(bodyTooLarge(Settings.MaxBody)), response);
  else if (isRead)
    handle(request, std::move(body), response);
}

void RequestProcessor::handle(const httplib::Request &request, std::string body,
                              httplib::Response &response) const {
  write(answer(toRequest(request, std::move(body))), response);
}

HttpResponse RequestProcessor::answer(const HttpRequest &request) const {
  const Result<RouteMatch> match = matchRoute(request.Method, request.Path);
  if (!isOk(match))
    return toResponse(errorOf(match));
  const Route route = valueOf(match).Target;
  if (route == Route::Health) {
    if (Settings.IsHealthy())
      return {200, "ok\n", "text/plain"};
    return toResponse(Error{ErrorKind::Unavailable,
                            "this entry host is leaving",
                            "use another entry host"});
  }
  Result<api::Command> command =
      toCommand(valueOf(match), request, Settings.Limits);
  if (!isOk(command))
    return toResponse(errorOf(command));
  const Result<api::Reply> reply =
      Settings.Execute(valueOf(std::move(command)));
  return isOk(reply) ? toResponse(route, valueOf(reply))
                     : toResponse(errorOf(reply));
}

} // namespace jujube::http
