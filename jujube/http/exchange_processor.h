// Reads one request with the HTTP library and writes the response.
#ifndef JUJUBE_HTTP_EXCHANGE_PROCESSOR_H_
#define JUJUBE_HTTP_EXCHANGE_PROCESSOR_H_

#include <functional>
#include <string>

#include "httplib.h"
#include "jujube/http/exchange_server.h"
#include "jujube/http/request_assembler.h"
#include "jujube/http/request_processor.h"

namespace jujube::http {

// Adapts the HTTP library to a RawRequestHook. process() is thread-safe.
class ExchangeProcessor : private httplib::Server {
public:
  ExchangeProcessor(const ServerOptions &options, RawRequestHook answer,
                    std::function<bool()> isHealthy);

  // Serves one request and appends the response to `output`.
  Disposition process(AssembledRequest request, std::string &output);

private:
  void handle(const httplib::Request &request, httplib::Response &response);

  RawRequestHook Answer;
  std::function<bool()> IsHealthy;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_EXCHANGE_PROCESSOR_H_
