#include "jujube/http/server.h"

#include <poll.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"
#include "jujube/http/connection_threads.h"
#include "jujube/http/idle_connections.h"
#include "jujube/http/listener.h"
#include "jujube/http/processor.h"
#include "jujube/http/stream.h"
#include "jujube/http/tls.h"
#include "jujube/runtime/signal_event.h"

namespace jujube::http {
namespace {

// Pause of accepting while the process has no descriptors left.
constexpr Duration AcceptPause = Duration::millis(100);

// Everything that serving needs, checked; copied into each start of the task.
struct Blueprint {
  ServerOptions Options;
  api::ExecuteHook Execute;
  std::function<bool()> IsHealthy;
  std::shared_ptr<SSL_CTX> Tls;
};

// Serves connections; called on the threads of the pool.
class ConnectionServer {
public:
  explicit ConnectionServer(const Blueprint &plan)
      : Plan(plan), Requests({{plan.Options.MaxPayload},
                              plan.Options.MaxBody,
                              plan.Options.KeepAlive,
                              plan.Execute,
                              plan.IsHealthy}) {}

  IdleConnections &idle() { return Idle; }

  void serve(const runtime::FileDescriptor &connection) {
    const int fd = connection.get();
    if (!Plan.Tls) {
      SocketStream stream(fd, Plan.Options.ReadTimeout);
      serveStream(stream);
      return;
    }
    const std::unique_ptr<TlsStream> stream =
        TlsStream::create(Plan.Tls.get(), fd, Plan.Options.ReadTimeout);
    if (stream && stream->accept())
      serveStream(*stream);
  }

private:
  void serveStream(SocketStream &stream) {
    auto next = Disposition::Reuse;
    while (next == Disposition::Reuse) {
      const bool mayWait = Idle.enter(stream.socket());
      const bool isThere =
          stream.waitForRequest(mayWait ? Plan.Options.KeepAlive : Duration());
      Idle.leave(stream.socket());
      next = isThere ? Requests.process(stream, !mayWait) : Disposition::Close;
      if (!stream.flush())
        return;
    }
    if (next == Disposition::DrainAndClose)
      stream.drain();
  }

  const Blueprint &Plan;
  Processor Requests;
  IdleConnections Idle;
};

// The state of the server's task.
class ServerTask {
public:
  ServerTask(const Blueprint &plan, runtime::TaskContext &context)
      : Plan(plan), Context(context), Connections(plan),
        Threads(poolOptions()) {}

  Status run() {
    Result<Listener> opened = Listener::open(Plan.Options.Listen);
    if (!isOk(opened))
      return errorOf(opened);
    Listening = valueOf(std::move(opened));
    LOG(INFO) << "event=http_listening port=" << Listening.Port;
    Context.onStop([this] { beginStop(); });
    Context.loop().watch(AllEnded.fd(), POLLIN,
                         [this](short) { Context.loop().stop(); });
    watchListener();
    if (Plan.Options.OnListening)
      Plan.Options.OnListening(Listening.Port);
    const Status status = Context.loop().run();
    Connections.idle().endAll();
    return isOk(Outcome) ? status : Outcome;
  }

private:
  ConnectionThreads::Options poolOptions() {
    ConnectionThreads::Options options;
    options.MaxThreads = Plan.Options.MaxConnections;
    options.Serve = [this](const runtime::FileDescriptor &connection) {
      Connections.serve(connection);
    };
    options.OnSaturated = [this] { (void)Connections.idle().endLongest(); };
    options.OnStopped = [this] { AllEnded.raise(); };
    return options;
  }

  void watchListener() {
    Context.loop().watch(Listening.Socket.get(), POLLIN,
                         [this](short) { acceptAll(); });
  }

  void acceptAll() {
    runtime::FileDescriptor connection;
    Listener::Outcome outcome = Listening.accept(connection);
    while (outcome == Listener::Outcome::Accepted) {
      if (!isOk(Threads.serve(connection)))
        refuse(connection);
      outcome = Listening.accept(connection);
    }
    if (outcome == Listener::Outcome::NoDescriptors)
      pauseAccepting();
    else if (outcome == Listener::Outcome::Failed)
      fail();
  }

  static void refuse(const runtime::FileDescriptor &connection) {
    const std::string body =
        toAnswer(Error{ErrorKind::Overloaded, "too many connections are open",
                       "retry later or at another entry host"})
            .Body;
    const std::string answer = absl::StrCat(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
        "Retry-After: 1\r\nConnection: close\r\nContent-Length: ",
        body.size(), "\r\n\r\n", body);
    (void)send(connection.get(), answer.data(), answer.size(), MSG_NOSIGNAL);
  }

  void pauseAccepting() {
    (void)Connections.idle().endLongest();
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

  void beginStop() {
    Context.loop().unwatch(Listening.Socket.get());
    Listening.Socket = runtime::FileDescriptor();
    Connections.idle().endAll();
    Threads.stop();
  }

  const Blueprint &Plan;
  runtime::TaskContext &Context;
  Listener Listening;
  runtime::SignalEvent AllEnded;
  Status Outcome = Ok{};
  ConnectionServer Connections;
  // Last, so that its threads end before what they use.
  ConnectionThreads Threads;
};

} // namespace

Result<runtime::ChildSpec> serverTask(ServerOptions options,
                                      api::ExecuteHook execute,
                                      std::function<bool()> isHealthy) {
  Blueprint plan{std::move(options), std::move(execute), std::move(isHealthy)};
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
      "http", [plan = std::move(plan)](runtime::TaskContext &context) {
        return ServerTask(plan, context).run();
      }};
}

} // namespace jujube::http
