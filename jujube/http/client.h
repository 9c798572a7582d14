// A blocking client of the HTTP interface with failover between entry hosts.
#ifndef JUJUBE_HTTP_CLIENT_H_
#define JUJUBE_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/http/json.h"
#include "jujube/http/translate.h"

namespace jujube::http {

// A request to the HTTP interface.
struct HttpCall {
  Method Verb = Method::Get;
  // Path with query, for example "/v1/requests/z.a?wait_ms=1000".
  std::string Target;
  // Sent as a bearer token unless it is empty.
  std::string Token;
  std::string Body;
  // Maximum time until the response.
  Duration Timeout = Duration::seconds(10);
  // Whether the call may be resent after its response was lost. The server
  // detects duplicates by the request id.
  bool MayResend = true;
};

struct HttpResult {
  int Status = 0;
  std::string Body;
};

// Returns true for errors that are worth a retry, at another server or later at
// the same server.
bool isRetryable(ErrorKind kind);

// The reason why there is no response.
enum class TransportFailure {
  // The request was not sent.
  NotConnected,
  // No response arrived; the request may have been executed.
  NoAnswer,
  // The request was not sent: the TLS connection could not be established or
  // the server's certificate was rejected.
  NotTrusted,
};

using TransportOutcome = std::variant<HttpResult, TransportFailure>;

// Sends a call to one address.
using TransportHook =
    std::function<TransportOutcome(const Address &, const HttpCall &)>;

// Returns a transport based on the HTTP library, with one keep-alive connection
// per address. `tlsAuthority` is the path of a certificate authority's PEM
// file: the transport then uses TLS and verifies the server's certificate. With
// an empty path it uses plain HTTP. The hook is not thread-safe.
TransportHook makeTransport(std::string tlsAuthority);

// Sends each call to one of several entry hosts. Not thread-safe.
class Client {
public:
  struct Options {
    std::vector<Address> Servers;
    TransportHook Transport;
    // Sleeps between rounds over all servers; replaceable for tests.
    std::function<void(Duration)> Sleep;
    int Rounds = 5;
    Duration RoundPause = Duration::millis(300);
    // No attempt starts later than this after the start of call().
    Duration RetryWindow = Duration::seconds(30);
    Clock Time = Clock::monotonic();
  };

  // Returns InvalidArgument if `options.Servers` is empty.
  static Result<Client> create(Options options);

  // Returns the body of a response with status 200, or the error in the
  // response. Tries the servers in turn while they are unreachable, lose the
  // response or return a retryable error; starts with the server that answered
  // last.
  Result<std::string> call(const HttpCall &call);

  // Like call(), with the body decoded from JSON.
  template <typename T> Result<T> callFor(const HttpCall &request) {
    Result<std::string> body = call(request);
    if (!isOk(body))
      return errorOf(body);
    return fromJson<T>(valueOf(body));
  }

  // Returns one client per server, each of which makes a single attempt.
  std::vector<Client> ofEachServer() const;

  // True if no server answered the last call.
  bool isUnreachable() const { return IsUnreachable; }

private:
  explicit Client(Options options) : Settings(std::move(options)) {}
  // Tries each server once; nullopt if another round is worth trying.
  std::optional<Result<std::string>> tryEachServer(const HttpCall &call,
                                                   Error &lastError);

  Options Settings;
  std::size_t PreferredServer = 0;
  bool IsUnreachable = false;
  Instant Deadline;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_CLIENT_H_
