// The HTTP/JSON front end: translates requests under /v1 into typed commands
// and their replies back. It decides nothing itself.
#ifndef JUJUBE_HTTP_SERVER_H_
#define JUJUBE_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "jujube/api/commands.h"
#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::http {

// Paths of a certificate chain and its private key, both PEM.
struct TlsFiles {
  std::string Certificate;
  std::string PrivateKey;
};

struct ServerOptions {
  // Port 0 takes any free port; see OnListening.
  Address Listen;
  // Most open connections; the one that was idle longest makes room for a new
  // one.
  std::size_t MaxConnections = 900;
  // Most requests in progress, long polls included. Each holds one thread;
  // threads are started when they are needed and end when they are idle.
  std::size_t MaxRequests = 640;
  // A connection without a request for this span is closed.
  Duration KeepAlive = Duration::seconds(30);
  // A request whose bytes stop coming for this span is given up.
  Duration ReadTimeout = Duration::seconds(10);
  std::size_t MaxBody = std::size_t{1} << 20;
  // Payloads of submitted and live requests.
  std::size_t MaxPayload = std::size_t{64} << 10;
  std::optional<TlsFiles> Tls;
  // Called on the server's task with the port once connections are accepted.
  std::function<void(uint16_t)> OnListening;
};

// The server as a child of a supervisor. Its task owns the listening socket and
// the connections on which no request has arrived.
// When asked to stop it refuses new connections, closes idle ones, finishes
// the requests in progress and ends. `execute` is called on the threads of the
// connections, many at once. While `isHealthy` returns false GET /healthz
// answers 503, and connections are closed after each answer and when idle.
// Fails if the options can't be served: no address, unreadable TLS files.
Result<runtime::ChildSpec> serverTask(ServerOptions options,
                                      api::ExecuteHook execute,
                                      std::function<bool()> isHealthy);

} // namespace jujube::http

#endif // JUJUBE_HTTP_SERVER_H_
