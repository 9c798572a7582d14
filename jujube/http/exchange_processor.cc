#include "jujube/http/exchange_processor.h"

#include "jujube/http/memory_stream.h"

#include <string>
#include <utility>

namespace jujube::http {

ExchangeProcessor::ExchangeProcessor(const ServerOptions &options,
                                     RawRequestHook answer,
                                     std::function<bool()> isHealthy)
    : Answer(std::move(answer)), IsHealthy(std::move(isHealthy)) {
  set_keep_alive_timeout(options.KeepAlive.millis() / 1000);
  // Before the library matches the path by a regular expression, which recurses
  // once per character, and before it reads a body.
  set_pre_routing_handler(
      [this](const httplib::Request &request, httplib::Response &response) {
        handle(request, response);
        return HandlerResponse::Handled;
      });
  set_exception_handler([](const httplib::Request &,
                           httplib::Response &response,
                           const std::exception_ptr &) {
    response.status = 500;
    response.set_content("{}", "application/json");
  });
}

Disposition ExchangeProcessor::process(AssembledRequest request,
                                       std::string &output) {
  const bool closeAfter = !IsHealthy();
  bool isClosed = false;
  MemoryStream stream(request.Head, output);
  const auto prepare = [&request](httplib::Request &parsed) {
    parsed.body = std::move(request.Body);
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
