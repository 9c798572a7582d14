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
#include "jujube/http/processor.h"
#include "jujube/http/stream.h"
#include "jujube/http/tls.h"
#include "jujube/logging/line.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/signal_event.h"

namespace jujube::http {
namespace {

using logging::Event;
using logging::Line;

// Pause of accepting while the process has no descriptors left.
constexpr Duration AcceptPause = Duration::millis(100);
// How long a thread waits for the next request before it gives the connection
// back; saves the hand-over for clients that go on at once.
constexpr Duration NextRequestWait = Duration::millis(5);
// Between looks for connections that were idle too long.
constexpr Duration SweepPeriod = Duration::seconds(1);
// A host that is not healthy closes connections that have been idle this long.
// Source: a request that was sent on a new connection arrives within it.
constexpr Duration UnhealthyKeepAlive = Duration::millis(250);

// Serves one request of a stream; called on many threads at once.
using ProcessHook = std::function<Disposition(SocketStream &)>;

// Everything that serving needs, checked; copied into each start of the task.
struct ServerPlan {
  ServerOptions Options;
  ProcessHook Process;
  std::function<bool()> IsHealthy;
  std::shared_ptr<SSL_CTX> Tls;
};

// A connection that a thread is done with: null if it is to be closed.
struct Returned {
  ConnectionPtr Reusable;
};
using ReturnMailbox = runtime::MailboxPtr<Returned>;

// Serves the requests that have arrived on a connection; called on the threads
// of the pool.
class RequestServer {
public:
  RequestServer(const ServerPlan &plan, ReturnMailbox returns)
      : Process(plan.Process), Returns(std::move(returns)) {}

  void serve(ConnectionPtr connection) {
    SocketStream *stream = connection->stream();
    if (!stream || !serveStream(*stream))
      connection.reset();
    (void)Returns->post(Returned{std::move(connection)});
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
  ServerTask(const ServerPlan &plan, runtime::TaskContext &context)
      : Plan(plan), Context(context),
        Returns(runtime::makeMailbox<Returned>(plan.Options.MaxConnections)),
        Requests(plan, Returns), Threads(poolOptions()) {}

  Status run() {
    Result<Listener> opened = Listener::open(Plan.Options.Listen);
    if (!isOk(opened))
      return errorOf(opened);
    Listening = valueOf(std::move(opened));
    Line(Event::Listening).with("port", Listening.Port);
    Context.onStop([this] { beginStop(); });
    Context.loop().watch(AllEnded.fd(), POLLIN,
                         [this](short) { Context.loop().stop(); });
    Context.loop().watchMailbox<Returned>(
        Returns, [this](Returned message) { takeBack(std::move(message)); });
    Context.loop().callEvery(SweepPeriod, [this] { closeExpired(); });
    watchListener();
    if (Plan.Options.OnListening)
      Plan.Options.OnListening(Listening.Port);
    const Status status = Context.loop().run();
    return isOk(Outcome) ? status : Outcome;
  }

private:
  // A connection without a request, and since when.
  struct Parked {
    ConnectionPtr Idle;
    Instant Since;
  };

  ConnectionThreads::Options poolOptions() {
    ConnectionThreads::Options options;
    options.MaxThreads = Plan.Options.MaxRequests;
    options.Serve = [this](ConnectionPtr connection) {
      Requests.serve(std::move(connection));
    };
    options.OnStopped = [this] { AllEnded.raise(); };
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
        std::move(socket), Plan.Tls.get(), Plan.Options.ReadTimeout);
    const bool isFull = Idle.size() + InProgress >= Plan.Options.MaxConnections;
    if (isFull && !closeLongestIdle())
      refuse(*connection);
    else
      park(std::move(connection));
  }

  // Waits for a request on the task's own loop.
  void park(ConnectionPtr connection) {
    const uint64_t serial = ++LastSerial;
    Context.loop().watch(connection->fd(), POLLIN,
                         [this, serial](short) { resume(serial); });
    Idle.emplace(serial, Parked{std::move(connection), Context.now()});
  }

  ConnectionPtr unpark(std::map<uint64_t, Parked>::iterator it) {
    ConnectionPtr connection = std::move(it->second.Idle);
    Idle.erase(it);
    Context.loop().unwatch(connection->fd());
    return connection;
  }

  // Something has arrived: a request, or the end of the connection.
  void resume(uint64_t serial) {
    const auto it = Idle.find(serial);
    if (it != Idle.end())
      serveOnThread(unpark(it));
  }

  void serveOnThread(ConnectionPtr connection) {
    if (!connection->hasInput())
      return;
    if (isOk(Threads.serve(connection)))
      ++InProgress;
    else
      refuse(*connection);
  }

  void takeBack(Returned message) {
    --InProgress;
    if (message.Reusable && !IsStopping)
      park(std::move(message.Reusable));
    else if (message.Reusable)
      serveOnThread(std::move(message.Reusable));
    if (IsStopping && InProgress == 0)
      Threads.stop();
  }

  bool closeLongestIdle() {
    if (Idle.empty())
      return false;
    (void)unpark(Idle.begin());
    return true;
  }

  // Clients of a host that is not healthy come back to another one only once
  // their connections have ended.
  void closeExpired() {
    const Duration most =
        Plan.IsHealthy() ? Plan.Options.KeepAlive
                         : std::min(Plan.Options.KeepAlive, UnhealthyKeepAlive);
    while (!Idle.empty() && Context.now() - Idle.begin()->second.Since > most)
      closeOrServe(unpark(Idle.begin()));
  }

  // A request that has just arrived is still served.
  void closeOrServe(ConnectionPtr connection) {
    if (connection->hasInput())
      serveOnThread(std::move(connection));
  }

  // Without a handshake there is no way to answer over TLS; the client sees the
  // end of the connection.
  void refuse(const Connection &connection) const {
    if (Plan.Tls)
      return;
    const std::string body =
        toAnswer(Error{ErrorKind::Overloaded,
                       "this entry host serves as many requests as it can",
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
                    "see whether the address still belongs to this host"};
    beginStop();
  }

  // Requests that have arrived are still served; nothing new is taken.
  void beginStop() {
    IsStopping = true;
    Context.loop().unwatch(Listening.Socket.get());
    Listening.Socket = runtime::FileDescriptor();
    while (!Idle.empty())
      serveOnThread(unpark(Idle.begin()));
    if (InProgress == 0)
      Threads.stop();
  }

  const ServerPlan &Plan;
  runtime::TaskContext &Context;
  Listener Listening;
  runtime::SignalEvent AllEnded;
  Status Outcome = Ok{};
  bool IsStopping = false;
  // Longest idle first.
  std::map<uint64_t, Parked> Idle;
  uint64_t LastSerial = 0;
  // Connections that threads have.
  std::size_t InProgress = 0;
  ReturnMailbox Returns;
  RequestServer Requests;
  // Last, so that its threads end before what they use.
  ConnectionThreads Threads;
};

Result<runtime::ChildSpec> makeServer(const std::string &name,
                                      ServerOptions options,
                                      ProcessHook process,
                                      std::function<bool()> isHealthy) {
  ServerPlan plan{std::move(options), std::move(process), std::move(isHealthy)};
  if (plan.Options.Listen.Ip.empty())
    return Error{ErrorKind::InvalidArgument, "no address to listen on",
                 "give IP:PORT"};
  if (plan.Options.Tls) {
    auto context = makeTlsContext(*plan.Options.Tls);
    if (!isOk(context))
      return errorOf(context);
    plan.Tls = valueOf(std::move(context));
  }
  return runtime::ChildSpec{
      name, [plan = std::move(plan)](runtime::TaskContext &context) {
        return ServerTask(plan, context).run();
      }};
}

} // namespace

Result<runtime::ChildSpec> serverTask(ServerOptions options,
                                      api::ExecuteHook execute,
                                      std::function<bool()> isHealthy) {
  const auto requests =
      std::make_shared<Processor>(Processor::Options{{options.MaxPayload},
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
                                              ExchangeHook answer,
                                              std::function<bool()> isHealthy) {
  const auto requests = std::make_shared<ExchangeProcessor>(
      options, std::move(answer), isHealthy);
  return makeServer(
      name, std::move(options),
      [requests](SocketStream &stream) { return requests->process(stream); },
      std::move(isHealthy));
}

} // namespace jujube::http
