// The HTTP/JSON front end: translates requests under /v1 into typed commands
// and replies into responses. It contains no scheduling decisions.
#ifndef JUJUBE_HTTP_SERVER_H_
#define JUJUBE_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "jujube/api/commands.h"
#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::http {

// Paths of the PEM files of a certificate chain and its private key.
struct TlsFiles {
  std::string Certificate;
  std::string PrivateKey;
};

struct ServerOptions {
  // Port 0 selects any free port; see OnListening.
  Address Listen;
  // Maximum number of open connections. At the limit, a new connection replaces
  // the connection that has been idle longest, or, if none is idle, the one
  // whose request or response has been incomplete longest.
  std::size_t MaxConnections = 900;
  // Maximum number of requests in progress, including long polls. Each occupies
  // a thread; threads are started on demand and end when idle.
  std::size_t MaxRequests = 640;
  // Idle connections are closed after this time.
  Duration KeepAlive = Duration::seconds(30);
  // A request is abandoned if no byte of it arrives for this long, and a
  // response if the client takes none of it for this long.
  Duration ReadTimeout = Duration::seconds(10);
  // A request is abandoned if it is not complete after this time.
  Duration ReceiveTimeout = Duration::seconds(30);
  // Maximum size of the request line and the header fields.
  std::size_t MaxHead = std::size_t{32} << 10;
  // Maximum memory of the incomplete requests and unsent responses of all
  // connections. Beyond it, the connections are closed whose request or
  // response has been incomplete longest.
  std::size_t MaxBufferedBytes = std::size_t{64} << 20;
  // Maximum memory that the requests on threads may need. Further requests
  // wait, and are refused after ReadyTimeout; small ones may pass larger ones.
  std::size_t MaxWorkBytes = std::size_t{256} << 20;
  Duration ReadyTimeout = Duration::seconds(2);
  // Expected size of the response to a request with this head; null for small
  // responses.
  std::function<std::size_t(std::string_view head)> ResponseBytes;
  std::size_t MaxBody = std::size_t{1} << 20;
  // Maximum payload of submitted and live requests, in bytes.
  std::size_t MaxPayload = std::size_t{64} << 10;
  std::optional<TlsFiles> Tls;
  // Called on the server's task with the bound port when the server listens.
  std::function<void(uint16_t)> OnListening;
};

// Returns the server as a child task of a supervisor. The task owns the
// listening socket and the idle connections. On a stop request it refuses new
// connections, closes idle connections, finishes the requests in progress and
// ends. `execute` is called concurrently on the threads of the connections.
// While `isHealthy` returns false, GET /healthz returns status 503, and
// connections are closed after each response and when idle. Fails if the
// options have no address or the TLS files can't be loaded.
Result<runtime::ChildSpec> serverTask(ServerOptions options,
                                      api::ExecuteHook execute,
                                      std::function<bool()> isHealthy);

} // namespace jujube::http

#endif // JUJUBE_HTTP_SERVER_H_
