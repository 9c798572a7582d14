// Lets the HTTP library read one request and write its answer.
#ifndef JUJUBE_HTTP_EXCHANGE_PROCESSOR_H_
#define JUJUBE_HTTP_EXCHANGE_PROCESSOR_H_

#include <functional>

#include "httplib.h"
#include "jujube/http/exchange_server.h"
#include "jujube/http/processor.h"

namespace jujube::http {

// Used by many threads at once.
class ExchangeProcessor : private httplib::Server {
public:
  ExchangeProcessor(const ServerOptions &options, ExchangeHook answer,
                    std::function<bool()> isHealthy);

  // Serves one request; the stream's input is at its first byte.
  Disposition process(httplib::Stream &stream);

private:
  void handle(const httplib::Request &request, httplib::Response &response);

  ExchangeHook Answer;
  std::function<bool()> IsHealthy;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_EXCHANGE_PROCESSOR_H_
