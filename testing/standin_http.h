// HTTP for the stand-ins: a small server, and a client that switches to the
// next entry host after a failed call.
#ifndef TESTING_STANDIN_HTTP_H_
#define TESTING_STANDIN_HTTP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/http/client.h"
#include "jujube/runtime/supervisor.h"

namespace httplib {
class Server;
} // namespace httplib

namespace jujube::testing {

struct StandinReply {
  int Status = 200;
  std::string Body;
  // The connection is closed in the middle of the body.
  bool IsCut = false;
};

// Handles the body of one request; called on the server's threads.
using StandinRoute = std::function<StandinReply(const std::string &body)>;

// A server whose routes are fixed before it starts. It is bound at once, so
// that its port can be announced.
class StandinServer {
public:
  // `threads` bounds the connections that are served at once.
  static Result<std::shared_ptr<StandinServer>>
  bind(const Address &listen, std::size_t threads,
       const std::map<std::string, StandinRoute> &posts,
       const std::map<std::string, StandinRoute> &gets);
  ~StandinServer();

  const Address &address() const { return Bound; }
  // The server as a task; it finishes the requests in progress when stopped.
  runtime::ChildSpec asChild(std::shared_ptr<StandinServer> self) const;

private:
  StandinServer();
  Status run(runtime::TaskContext &context);
  void stopOnceRunning(runtime::PollLoop &loop);

  Address Bound;
  std::unique_ptr<httplib::Server> Server;
};

// Posts to one of several entry hosts; owned by one task.
class EntryClient {
public:
  // Speaks TLS if `tlsAuthority` names a PEM file. Begins with the entry host
  // at position `first`, modulo their number.
  EntryClient(std::vector<Address> entries, std::string fleetToken,
              std::string tlsAuthority, std::size_t first);

  // Returns the body of a response with status 200. After any other outcome,
  // the next call goes to the next entry host.
  Result<std::string> post(const std::string &path, const std::string &body,
                           Duration timeout);

private:
  std::vector<Address> Entries;
  std::string FleetToken;
  http::TransportHook Transport;
  std::size_t Current;
};

} // namespace jujube::testing

#endif // TESTING_STANDIN_HTTP_H_
