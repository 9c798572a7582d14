// Reads requests off a stream with the HTTP library, has them executed and
// writes the answers.
#ifndef JUJUBE_HTTP_PROCESSOR_H_
#define JUJUBE_HTTP_PROCESSOR_H_

#include <cstddef>
#include <functional>

#include "httplib.h"
#include "jujube/api/commands.h"
#include "jujube/base/clock.h"
#include "jujube/http/translate.h"

namespace jujube::http {

// What becomes of a connection after a request.
enum class Disposition {
  Reuse,
  Close,
  // Part of the request is unread: the answer would be lost if the connection
  // were closed at once.
  DrainAndClose,
};

// The HTTP library's parser and writer without its listener and threads.
// Threads may share one; process() is safe to call from many at once.
class Processor : private httplib::Server {
public:
  struct Options {
    RequestLimits Limits;
    std::size_t MaxBody = 0;
    Duration KeepAlive;
    api::ExecuteHook Execute;
    std::function<bool()> IsHealthy;
  };

  explicit Processor(Options options);

  // Serves one request.
  Disposition process(httplib::Stream &stream);

private:
  void handle(const httplib::Request &request, std::string body,
              httplib::Response &response) const;
  void handlePost(const httplib::Request &request, httplib::Response &response,
                  const httplib::ContentReader &reader) const;
  // Answers what needs no body; false if the body has to be read first.
  bool handleEarly(const httplib::Request &request,
                   httplib::Response &response) const;
  HttpAnswer answer(const HttpRequest &request) const;

  Options Settings;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_PROCESSOR_H_
