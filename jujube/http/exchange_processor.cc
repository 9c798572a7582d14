#include "jujube/http/exchange_processor.h"

#include <string>
#include <utility>

namespace jujube::http {

ExchangeProcessor::ExchangeProcessor(const ServerOptions &options,
                                     RawRequestHook answer,
                                     std::function<bool()> isHealthy)
    : Answer(std::move(answer)), IsHealthy(std::move(isHealthy)) {
  set_payload_max_length(options.MaxBody);
  set_keep_alive_timeout(options.KeepAlive.millis() / 1000);
  const auto serve = [this](const httplib::Request &request,
                            httplib::Response &response) {
    handle(request, response);
  };
  Get(".*", serve);
  Post(".*", serve);
  Put(".*", serve);
  Delete(".*", serve);
  set_exception_handler([](const httplib::Request &,
                           httplib::Response &response,
                           const std::exception_ptr &) {
    response.status = 500;
    response.set_content("{}", "application/json");
  });
}

Disposition ExchangeProcessor::process(httplib::Stream &stream) {
  const bool closeAfter = !IsHealthy();
  bool isClosed = false;
  const auto prepare = [](httplib::Request &request) {
    // Disables the library's range responses and compression, which the
    // interface does not offer.
    request.ranges.clear();
    request.headers.erase("Accept-Encoding");
  };
  const bool isServed = process_request(stream, closeAfter, isClosed, prepare);
  if (!isServed)
    return Disposition::DrainAndClose;
  return isClosed || closeAfter ? Disposition::Close : Disposition::Reuse;
}

void ExchangeProcessor::handle(const httplib::Request &request,
                               httplib::Response &response) {
  const RawRequest exchange{request.method, request.path, request.body,
                            [&request](const std::string &name) {
                              return request.get_header_value(name);
                            }};
  const RawResponse answer = Answer(exchange);
  response.status = answer.Status;
  response.set_content(answer.Body, answer.ContentType);
  if (answer.RetryAfter)
    response.set_header(
        "Retry-After",
        std::to_string((answer.RetryAfter->millis() + 999) / 1000));
}

} // namespace jujube::http
