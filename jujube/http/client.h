// A client of the HTTP interface that knows several entry hosts.
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

// One call of the interface.
struct HttpCall {
  Method Verb = Method::Get;
  // With the query, for example "/v1/requests/z.a?wait_ms=1000".
  std::string Target;
  // Sent as a bearer token unless it is empty.
  std::string Token;
  std::string Body;
  // How long the answer may take.
  Duration Timeout = Duration::seconds(10);
  // True if the call may be sent again when its answer was lost: the interface
  // recognises a resend by its id.
  bool MayResend = true;
};

struct HttpReply {
  int Status = 0;
  std::string Body;
};

// True for errors that another server, or the same one later, may not have.
bool isRetried(ErrorKind kind);

// Why there is no reply.
enum class TransportFailure {
  // The request did not leave.
  NotConnected,
  // It may have been executed.
  NoAnswer,
  // The request did not leave: the server's certificate was not accepted.
  NotTrusted,
};

using TransportOutcome = std::variant<HttpReply, TransportFailure>;

// Sends a call to one address.
using TransportHook =
    std::function<TransportOutcome(const Address &, const HttpCall &)>;

// The transport of the HTTP library, which keeps a connection per address. With
// the path of a certificate authority's PEM file it speaks TLS and checks the
// server's certificate; with an empty path it does not use TLS. The hook
// belongs to one thread.
TransportHook makeTransport(std::string tlsAuthority);

// Calls one of several entry hosts. Belongs to one thread.
class Client {
public:
  struct Options {
    std::vector<Address> Servers;
    TransportHook Transport;
    // Waits between rounds over all servers; tests set their own.
    std::function<void(Duration)> Sleep;
    int Rounds = 5;
    Duration RoundPause = Duration::millis(300);
    // No further try begins this long after the first.
    Duration MaxTotal = Duration::seconds(30);
    Clock Time = Clock::monotonic();
  };

  // Fails if there is no server.
  static Result<Client> create(Options options);

  // Returns the body of an answer with status 200, or the error that the server
  // answered with. Tries the servers in turn while they can't be reached, lose
  // the answer or are unavailable for now; starts with the last that answered.
  Result<std::string> call(const HttpCall &call);

  // The same, decoded.
  template <typename T> Result<T> callFor(const HttpCall &request) {
    Result<std::string> body = call(request);
    if (!isOk(body))
      return errorOf(body);
    return fromJson<T>(valueOf(body));
  }

  // Clients of each server alone, which try once.
  std::vector<Client> ofEachServer() const;

  // True if no server answered the last call.
  bool isUnreachable() const { return IsUnreachable; }

private:
  explicit Client(Options options) : Settings(std::move(options)) {}
  // One round; nothing if another is worth trying.
  std::optional<Result<std::string>> tryAll(const HttpCall &call, Error &last);

  Options Settings;
  std::size_t Preferred = 0;
  bool IsUnreachable = false;
  Instant GiveUpAt;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_CLIENT_H_
