#include "jujube/http/client.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "httplib.h"
#include "jujube/http/bodies.h"

namespace jujube::http {
namespace {

constexpr Duration ConnectTimeout = Duration::seconds(2);
constexpr int StatusOk = 200;

constexpr std::array RetriedKinds = {
    ErrorKind::Overloaded, ErrorKind::Unavailable, ErrorKind::NotLeader,
    ErrorKind::StaleData};

// Connections by address, shared by all copies of a transport hook.
struct Connections {
  std::string Authority;
  std::map<Address, std::unique_ptr<httplib::Client>> ByAddress;

  httplib::Client &clientFor(const Address &address) {
    std::unique_ptr<httplib::Client> &client = ByAddress[address];
    if (!client)
      client = connect(address);
    return *client;
  }

  std::unique_ptr<httplib::Client> connect(const Address &address) const {
    const absl::string_view scheme = Authority.empty() ? "http" : "https";
    auto client = std::make_unique<httplib::Client>(
        absl::StrCat(scheme, "://", address.str()));
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    client->set_connection_timeout(ConnectTimeout.millis() / 1000);
    if (!Authority.empty()) {
      client->set_ca_cert_path(Authority.c_str());
      client->enable_server_certificate_verification(true);
    }
    return client;
  }
};

httplib::Result send(httplib::Client &client, const HttpCall &call) {
  httplib::Headers headers;
  if (!call.Token.empty())
    headers.emplace("Authorization", absl::StrCat("Bearer ", call.Token));
  if (call.Verb == Method::Get)
    return client.Get(call.Target, headers);
  return client.Post(call.Target, headers, call.Body, "application/json");
}

TransportFailure transportFailure(httplib::Error error) {
  switch (error) {
  case httplib::Error::Connection:
  case httplib::Error::BindIPAddress:
  case httplib::Error::ConnectionTimeout:
    return TransportFailure::NotConnected;
  case httplib::Error::SSLConnection:
  case httplib::Error::SSLLoadingCerts:
  case httplib::Error::SSLServerVerification:
    return TransportFailure::NotTrusted;
  default:
    return TransportFailure::NoAnswer;
  }
}

Error errorFromReply(const HttpResult &reply) {
  Result<ErrorBody> body = fromJson<ErrorBody>(reply.Body);
  if (isOk(body))
    return valueOf(std::move(body)).Problem;
  return Error{ErrorKind::Internal,
               absl::StrCat("the response with status ", reply.Status,
                            " has no valid error body"),
               "check that the server addresses are those of entry hosts"};
}

Error failureError(TransportFailure failure, const Address &address) {
  switch (failure) {
  case TransportFailure::NotConnected:
    return {ErrorKind::Unavailable,
            absl::StrCat("no connection to ", address.str()),
            "check the server addresses and that the entry host runs"};
  case TransportFailure::NotTrusted:
    return {ErrorKind::Unavailable,
            absl::StrCat("no trusted TLS connection to ", address.str()),
            "check that the entry host serves TLS, that its certificate names "
            "this address, and that --tls-ca is the PEM file of its authority"};
  case TransportFailure::NoAnswer:
    break;
  }
  return {ErrorKind::DeadlineExceeded,
          absl::StrCat("the response of ", address.str(), " was lost"),
          "ask for the fate, or resend with the same id if that is safe; an "
          "entry host that serves TLS needs --tls-ca"};
}

} // namespace

bool isRetryable(ErrorKind kind) {
  return std::ranges::find(RetriedKinds, kind) != RetriedKinds.end();
}

TransportHook makeTransport(std::string tlsAuthority) {
  auto connections = std::make_shared<Connections>();
  connections->Authority = std::move(tlsAuthority);
  return [connections](const Address &address,
                       const HttpCall &call) -> TransportOutcome {
    httplib::Client &client = connections->clientFor(address);
    client.set_read_timeout(std::chrono::milliseconds(call.Timeout.millis()));
    const httplib::Result answer = send(client, call);
    if (answer)
      return HttpResult{answer->status, answer->body};
    const TransportFailure failure = transportFailure(answer.error());
    connections->ByAddress.erase(address);
    return failure;
  };
}

Result<Client> Client::create(Options options) {
  if (options.Servers.empty())
    return Error{ErrorKind::InvalidArgument, "no entry host is known",
                 "give --server IP:PORT,... or set JUJUBE_SERVER"};
  if (!options.Sleep)
    options.Sleep = [](Duration span) {
      absl::SleepFor(absl::Milliseconds(span.millis()));
    };
  return Client(std::move(options));
}

std::vector<Client> Client::ofEachServer() const {
  std::vector<Client> clients;
  for (const Address &server : Settings.Servers) {
    Options options = Settings;
    options.Servers = {server};
    options.Rounds = 1;
    clients.push_back(Client(std::move(options)));
  }
  return clients;
}

std::optional<Result<std::string>> Client::tryEachServer(const HttpCall &call,
                                                         Error &lastError) {
  for (std::size_t i = 0; i < Settings.Servers.size(); ++i) {
    if (Settings.Time.now() >= Deadline)
      return lastError;
    const Address &server = Settings.Servers[PreferredServer];
    const TransportOutcome outcome = Settings.Transport(server, call);
    if (const auto *failure = std::get_if<TransportFailure>(&outcome)) {
      const bool mayHaveRun = *failure == TransportFailure::NoAnswer;
      if (mayHaveRun && !call.MayResend)
        return failureError(*failure, server);
      // An earlier error response is more specific than a later connection
      // failure, so it is kept.
      if (IsUnreachable)
        lastError = failureError(*failure, server);
    } else {
      IsUnreachable = false;
      const auto &reply = std::get<HttpResult>(outcome);
      if (reply.Status == StatusOk)
        return reply.Body;
      lastError = errorFromReply(reply);
      if (!call.MayResend || !isRetryable(lastError.Kind))
        return lastError;
    }
    PreferredServer = (PreferredServer + 1) % Settings.Servers.size();
  }
  return std::nullopt;
}

Result<std::string> Client::call(const HttpCall &call) {
  IsUnreachable = true;
  Deadline = Settings.Time.now() + Settings.RetryWindow;
  Error lastError;
  for (int round = 0; round < Settings.Rounds; ++round) {
    if (round > 0)
      Settings.Sleep(Settings.RoundPause * round);
    if (std::optional<Result<std::string>> done =
            tryEachServer(call, lastError))
      return *std::move(done);
  }
  return lastError;
}

} // namespace jujube::http
