// Reads requests of the /v1 interface from a stream with the HTTP library,
// executes them and writes the responses.
#ifndef JUJUBE_HTTP_REQUEST_PROCESSOR_H_
#define JUJUBE_HTTP_REQUEST_PROCESSOR_H_

#include <cstddef>
#include <functional>

#include "httplib.h"
#include "jujube/api/commands.h"
#include "jujube/base/clock.h"
#include "jujube/http/translate.h"

namespace jujube::http {

// How to proceed with a connection after a request.
enum class Disposition {
  Reuse,
  Close,
  // Part of the request is unread. Closing at once would reset the connection,
  // and the client could lose the response.
  DrainAndClose,
};

// Uses the HTTP library's parser and writer without its listener and threads.
// process() is thread-safe.
class RequestProcessor : private httplib::Server {
public:
  struct Options {
    RequestLimits Limits;
    std::size_t MaxBody = 0;
    Duration KeepAlive;
    api::ExecuteHook Execute;
    std::function<bool()> IsHealthy;
  };

  explicit RequestProcessor(Options options);

  // Serves one request.
  Disposition process(httplib::Stream &stream);

private:
  void handle(const httplib::Request &request, std::string body,
              httplib::Response &response) const;
  void handlePost(const httplib::Request &request, httplib::Response &response,
                  const httplib::ContentReader &reader) const;
  // Writes the response if it does not depend on the body. Returns false if the
  // body has to be read first.
  bool handleEarly(const httplib::Request &request,
                   httplib::Response &response) const;
  HttpResponse answer(const HttpRequest &request) const;

  Options Settings;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_REQUEST_PROCESSOR_H_
