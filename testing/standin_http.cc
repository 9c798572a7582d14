#include "testing/standin_http.h"

#include "absl/strings/str_cat.h"
#include "httplib.h"

namespace jujube::testing {
namespace {

constexpr time_t KeepAliveSeconds = 5;
// Interval between attempts to stop a server that does not accept yet.
constexpr Duration StopPeriod = Duration::millis(5);

void send(const StandinReply &reply, httplib::Response &response) {
  response.status = reply.Status;
  if (!reply.IsCut) {
    response.set_content(reply.Body, "application/json");
    return;
  }
  response.set_content_provider(
      reply.Body.size(), "application/json",
      [body = reply.Body](std::size_t, std::size_t, httplib::DataSink &sink) {
        sink.write(body.data(), body.size() / 2);
        return false;
      });
}

httplib::Server::Handler handlerOf(StandinRoute route) {
  return [route = std::move(route)](const httplib::Request &request,
                                    httplib::Response &response) {
    send(route(request.body), response);
  };
}

} // namespace

StandinServer::StandinServer() : Server(std::make_unique<httplib::Server>()) {}
StandinServer::~StandinServer() = default;

Result<std::shared_ptr<StandinServer>>
StandinServer::bind(const Address &listen, std::size_t threads,
                    const std::map<std::string, StandinRoute> &posts,
                    const std::map<std::string, StandinRoute> &gets) {
  std::shared_ptr<StandinServer> self(new StandinServer());
  httplib::Server &server = *self->Server;
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server.set_keep_alive_max_count(SIZE_MAX);
  server.set_keep_alive_timeout(KeepAliveSeconds);
  server.set_tcp_nodelay(true);
  for (const auto &[path, route] : posts)
    server.Post(path, handlerOf(route));
  for (const auto &[path, route] : gets)
    server.Get(path, handlerOf(route));
  int port = listen.Port;
  if (port == 0)
    port = server.bind_to_any_port(listen.Ip);
  else if (!server.bind_to_port(listen.Ip, port))
    port = -1;
  if (port < 0)
    return Error{ErrorKind::Unavailable,
                 absl::StrCat("cannot listen on ", listen.str()),
                 "choose a free port, or 0 for any"};
  self->Bound = {listen.Ip, static_cast<uint16_t>(port)};
  return self;
}

runtime::ChildSpec
StandinServer::asChild(std::shared_ptr<StandinServer> self) const {
  return {absl::StrCat("http-", Bound.Port),
          [self = std::move(self)](runtime::TaskContext &context) {
            return self->run(context);
          }};
}

// The library blocks in its accept loop, so the loop gets its own thread.
// stop() has no effect before the loop has begun, so it is called once the loop
// runs.
Status StandinServer::run(runtime::TaskContext &context) {
  runtime::PollLoop &loop = context.loop();
  const auto ended = std::make_shared<runtime::SignalEvent>();
  auto acceptor = runtime::Task::start(
      "http-accept", loop.clock(),
      [this](runtime::TaskContext &) -> Status {
        Server->listen_after_bind();
        return Ok{};
      },
      [ended](const runtime::TaskExit &) { ended->raise(); });
  if (!isOk(acceptor))
    return errorOf(acceptor);
  loop.watch(ended->fd(), POLLIN, [&](short) { loop.stop(); });
  context.onStop([this, &loop] { stopOnceRunning(loop); });
  Status status = loop.run();
  valueOf(acceptor)->join();
  return status;
}

void StandinServer::stopOnceRunning(runtime::PollLoop &loop) {
  if (Server->is_running())
    Server->stop();
  else
    loop.callAt(loop.now() + StopPeriod,
                [this, &loop] { stopOnceRunning(loop); });
}

EntryClient::EntryClient(std::vector<Address> entries, std::string fleetToken,
                         std::string tlsAuthority, std::size_t first)
    : Entries(std::move(entries)), FleetToken(std::move(fleetToken)),
      Transport(http::makeTransport(std::move(tlsAuthority))),
      Current(Entries.empty() ? 0 : first % Entries.size()) {}

Result<std::string> EntryClient::post(const std::string &path,
                                      const std::string &body,
                                      Duration timeout) {
  if (Entries.empty())
    return Error{ErrorKind::InvalidArgument, "the list of entry hosts is empty",
                 "list entry hosts with --entries"};
  const Address &entry = Entries[Current];
  const http::TransportOutcome outcome =
      Transport(entry, {http::Method::Post, path, FleetToken, body, timeout});
  const auto *reply = std::get_if<http::HttpResult>(&outcome);
  if (reply && reply->Status == 200)
    return reply->Body;
  const std::string what =
      reply ? absl::StrCat(reply->Status, " ", reply->Body) : "no answer";
  Current = (Current + 1) % Entries.size();
  return Error{ErrorKind::Unavailable,
               absl::StrCat(entry.str(), path, ": ", what),
               "check the entry host, the fleet token and --tls-ca"};
}

} // namespace jujube::testing
