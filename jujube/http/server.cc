#include "jujube/http/server.h"

#include <poll.h>
#include <sys/socket.h>

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/http/connection.h"
#include "jujube/http/connection_threads.h"
#include "jujube/http/exchange_processor.h"
#include "jujube/http/exchange_server.h"
#include "jujube/http/listener.h"
#include "jujube/http/request_processor.h"
#include "jujube/http/stream.h"
#include "jujube/http/tls.h"
#include "jujube/logging/line.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/signal_event.h"

namespace jujube::http {
namespace {

using logging::Event;
using logging::Line;

// Pause in accepting when the process has run out of file descriptors.
constexpr Duration AcceptPause = Duration::millis(100);
// How long a thread waits for the next request before it returns the connection
// to the task; avoids the transfer for clients that continue at once.
constexpr Duration NextRequestWait = Duration::millis(5);
// Interval of the search for expired idle connections.
constexpr Duration SweepPeriod = Duration::seconds(1);
// Idle timeout while the host is not healthy; long enough for the first request
// on a new connection to arrive.
constexpr Duration UnhealthyKeepAlive = Duration::millis(250);

// Serves one request of a stream; called concurrently.
using ProcessHook = std::function<Disposition(SocketStream &)>;

// The validated configuration of a server; each start of the task uses it.
struct ServerConfig {
  ServerOptions Options;
  ProcessHook Process;
  std::function<bool()> IsHealthy;
  std::shared_ptr<SSL_CTX> Tls;
};

// Sent by a thread that has finished with a connection; null if the connection
// is closed.
struct ReturnedConnection {
  ConnectionPtr Reusable;
};
using ReturnMailbox = runtime::MailboxPtr<ReturnedConnection>;

// Serves the requests that have arrived on a connection; called on the pool
// threads.
class RequestServer {
public:
  RequestServer(const ServerConfig &config, ReturnMailbox returns)
      : Process(config.Process), Returns(std::move(returns)) {}

  void serve(ConnectionPtr connection) {
    SocketStream *stream = connection->stream();
    if (!stream || !serveStream(*stream))
      connection.reset();
    (void)Returns->post(ReturnedConnection{std::move(connection)});
  }

private:
  // Returns false if the connection has to be closed.
  bool serveStream(SocketStream &stream) {
    auto next = Disposition::Reuse;
    do {
      next = Process(stream);
      if (!stream.flush())
        return false;
    } while (next == Disposition::Reuse &&
             stream.waitForRequest(NextRequestWait));
    if (next == Disposition::DrainAndClose)
      stream.drain();
    return next == Disposition::Reuse;
  }

  ProcessHook Process;
  ReturnMailbox Returns;
};

// The state of the server's task.
class ServerTask {
public:
  ServerTask(const ServerConfig &config, runtime::TaskContext &context)
      : Config(config), Context(context),
        Returns(runtime::makeMailbox<ReturnedConnection>(
            config.Options.MaxConnections)),
        Requests(config, Returns), Threads(poolOptions()) {}

  Status run() {
    Result<Listener> opened = Listener::open(Config.Options.Listen);
    if (!isOk(opened))
      return errorOf(opened);
    Listening = valueOf(std::move(opened));
    Line(Event::Listening).with("port", Listening.Port);
    Context.onStop([this] { beginStop(); });
    Context.loop().watch(ThreadsEnded.fd(), POLLIN,
                         [this](short) { Context.loop().stop(); });
    Context.loop().watchMailbox<ReturnedConnection>(
        Returns, [this](ReturnedConnection message) {
          handleReturned(std::move(message));
        });
    Context.loop().callEvery(SweepPeriod, [this] { closeExpired(); });
    watchListener();
    if (Config.Options.OnListening)
      Config.Options.OnListening(Listening.Port);
    const Status status = Context.loop().run();
    return isOk(Outcome) ? status : Outcome;
  }

private:
  // An idle connection and the start of its idle time.
  struct IdleConnection {
    ConnectionPtr Owned;
    Instant Since;
  };

  ConnectionThreads::Options poolOptions() {
    ConnectionThreads::Options options;
    options.MaxThreads = Config.Options.MaxRequests;
    options.Serve = [this](ConnectionPtr connection) {
      Requests.serve(std::move(connection));
    };
    options.OnStopped = [this] { ThreadsEnded.raise(); };
    return options;
  }

  void watchListener() {
    Context.loop().watch(Listening.Socket.get(), POLLIN,
                         [this](short) { acceptAll(); });
  }

  void acceptAll() {
    runtime::FileDescriptor socket;
    Listener::Outcome outcome = Listening.accept(socket);
    while (outcome == Listener::Outcome::Accepted) {
      admit(std::move(socket));
      outcome = Listening.accept(socket);
    }
    if (outcome == Listener::Outcome::NoDescriptors)
      pauseAccepting();
    else if (outcome == Listener::Outcome::Failed)
      fail();
  }

  void admit(runtime::FileDescriptor socket) {
    auto connection = std::make_unique<Connection>(
        std::move(socket), Config.Tls.get(), Config.Options.ReadTimeout);
    const bool isFull =
        IdleConnections.size() + InProgress >= Config.Options.MaxConnections;
    if (isFull && !closeLongestIdle())
      refuse(*connection);
    else
      watchIdle(std::move(connection));
  }

  // Watches an idle connection for a request on the task's loop.
  void watchIdle(ConnectionPtr connection) {
    const uint64_t serial = ++LastSerial;
    Context.loop().watch(connection->fd(), POLLIN,
                         [this, serial](short) { handleReadable(serial); });
    IdleConnections.emplace(
        serial, IdleConnection{std::move(connection), Context.now()});
  }

  ConnectionPtr unwatchIdle(std::map<uint64_t, IdleConnection>::iterator it) {
    ConnectionPtr connection = std::move(it->second.Owned);
    IdleConnections.erase(it);
    Context.loop().unwatch(connection->fd());
    return connection;
  }

  // The connection has become readable: a request or the end of the stream.
  void handleReadable(uint64_t serial) {
    const auto it = IdleConnections.find(serial);
    if (it != IdleConnections.end())
      serveOnThread(unwatchIdle(it));
  }

  void serveOnThread(ConnectionPtr connection) {
    if (!connection->hasInput())
      return;
    if (isOk(Threads.serve(connection)))
      ++InProgress;
    else
      refuse(*connection);
  }

  void handleReturned(ReturnedConnection message) {
    --InProgress;
    if (message.Reusable && !IsStopping)
      watchIdle(std::move(message.Reusable));
    else if (message.Reusable)
      serveOnThread(std::move(message.Reusable));
    if (IsStopping && InProgress == 0)
      Threads.stop();
  }

  bool closeLongestIdle() {
    if (IdleConnections.empty())
      return false;
    (void)unwatchIdle(IdleConnections.begin());
    return true;
  }

  // Clients of an unhealthy host move to another host only after their
  // connections have been closed.
  void closeExpired() {
    const Duration maxIdle =
        Config.IsHealthy()
            ? Config.Options.KeepAlive
            : std::min(Config.Options.KeepAlive, UnhealthyKeepAlive);
    while (!IdleConnections.empty() &&
           Context.now() - IdleConnections.begin()->second.Since > maxIdle)
      closeOrServe(unwatchIdle(IdleConnections.begin()));
  }

  // Serves a request that arrived just before the timeout.
  void closeOrServe(ConnectionPtr connection) {
    if (connection->hasInput())
      serveOnThread(std::move(connection));
  }

  // Over TLS no response is possible without a handshake; the client sees the
  // connection close.
  void refuse(const Connection &connection) const {
    if (Config.Tls)
      return;
    const std::string body =
        toResponse(Error{ErrorKind::Overloaded,
                         "this entry host has reached its limit of connections "
                         "or requests",
                         "retry later or at another entry host"})
            .Body;
    const std::string answer = absl::StrCat(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
        "Retry-After: 1\r\nConnection: close\r\nContent-Length: ",
        body.size(), "\r\n\r\n", body);
    (void)send(connection.fd(), answer.data(), answer.size(), MSG_NOSIGNAL);
  }

  void pauseAccepting() {
    (void)closeLongestIdle();
    Context.loop().unwatch(Listening.Socket.get());
    Context.loop().callAt(Context.now() + AcceptPause, [this] {
      if (Listening.Socket.isOpen())
        watchListener();
    });
  }

  void fail() {
    Outcome = Error{ErrorKind::Unavailable, "the listening socket failed",
                    "check that the address still belongs to this host"};
    beginStop();
  }

  // Serves the requests that have arrived and accepts no new connections.
  void beginStop() {
    IsStopping = true;
    Context.loop().unwatch(Listening.Socket.get());
    Listening.Socket = runtime::FileDescriptor();
    while (!IdleConnections.empty())
      serveOnThread(unwatchIdle(IdleConnections.begin()));
    if (InProgress == 0)
      Threads.stop();
  }

  const ServerConfig &Config;
  runtime::TaskContext &Context;
  Listener Listening;
  runtime::SignalEvent ThreadsEnded;
  Status Outcome = Ok{};
  bool IsStopping = false;
  // Ordered by serial number, so the longest idle connection is first.
  std::map<uint64_t, IdleConnection> IdleConnections;
  uint64_t LastSerial = 0;
  // Number of connections that pool threads own.
  std::size_t InProgress = 0;
  ReturnMailbox Returns;
  RequestServer Requests;
  // Declared last, so that the threads end before the members they use are
  // destroyed.
  ConnectionThreads Threads;
};

Result<runtime::ChildSpec> makeServer(const std::string &name,
                                      ServerOptions options,
                                      ProcessHook process,
                                      std::function<bool()> isHealthy) {
  ServerConfig config{std::move(options), std::move(process),
                      std::move(isHealthy)};
  if (config.Options.Listen.Ip.empty())
    return Error{ErrorKind::InvalidArgument, "no address to listen on",
                 "give IP:PORT"};
  if (config.Options.Tls) {
    auto context = makeTlsContext(*config.Options.Tls);
    if (!isOk(context))
      return errorOf(context);
    config.Tls = valueOf(std::move(context));
  }
  return runtime::ChildSpec{
      name, [config = std::move(config)](runtime::TaskContext &context) {
        return ServerTask(config, context).run();
      }};
}

} // namespace

Result<runtime::ChildSpec> serverTask(ServerOptions options,
                                      api::ExecuteHook execute,
                                      std::function<bool()> isHealthy) {
  const auto requests = std::make_shared<RequestProcessor>(
      RequestProcessor::Options{{options.MaxPayload},
                                options.MaxBody,
                                options.KeepAlive,
                                std::move(execute),
                                isHealthy});
  return makeServer(
      "http", std::move(options),
      [requests](SocketStream &stream) { return requests->process(stream); },
      std::move(isHealthy));
}

Result<runtime::ChildSpec> exchangeServerTask(const std::string &name,
                                              ServerOptions options,
                                              RawRequestHook answer,
                                              std::function<bool()> isHealthy) {
  const auto requests = std::make_shared<ExchangeProcessor>(
      options, std::move(answer), isHealthy);
  return makeServer(
      name, std::move(options),
      [requests](SocketStream &stream) { return requests->process(stream); },
      std::move(isHealthy));
}

} // namespace jujube::http
