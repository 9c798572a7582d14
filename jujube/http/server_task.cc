// The connections of a server.
#include "jujube/http/server_task.h"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "jujube/logging/line.h"

namespace jujube::http::internal {
namespace {

using logging::Event;
using logging::Level;
using logging::Line;

// Pause in accepting when the process has run out of file descriptors.
constexpr Duration AcceptPause = Duration::millis(100);
// Most connections that are accepted in a turn.
constexpr int MaxAccepts = 64;
// Interval of the search for expired connections.
constexpr Duration SweepPeriod = Duration::seconds(1);
// Idle timeout while the host is not healthy; long enough for the first request
// on a new connection to arrive.
constexpr Duration UnhealthyKeepAlive = Duration::millis(250);
// How long discarded input is waited for, and in all.
constexpr Duration DrainPause = Duration::seconds(1);
constexpr Duration MaxDrain = Duration::seconds(5);
// How long a server that stops waits for the rest of a request.
constexpr Duration StopGrace = Duration::seconds(2);

} // namespace

ServerTask::ServerTask(const ServerConfig &config,
                       runtime::TaskContext &context)
    : Config(config), Context(context),
      Served(runtime::makeMailbox<ServedRequest>(config.Options.MaxConnections +
                                                 1)),
      Threads(poolOptions()) {}

Status ServerTask::run() {
  Result<Listener> opened = Listener::open(Config.Options.Listen);
  if (!isOk(opened))
    return errorOf(opened);
  Listening = valueOf(std::move(opened));
  Line(Event::Listening).with("port", Listening.Port);
  Context.onStop([this] { beginStop(); });
  Context.loop().watch(ThreadsEnded.fd(), POLLIN,
                       [this](short) { Context.loop().stop(); });
  Context.loop().watchMailbox<ServedRequest>(
      Served,
      [this](ServedRequest served) { handleServed(std::move(served)); });
  Context.loop().callEvery(SweepPeriod, [this] {
    closeExpired();
    reportDrops();
  });
  watchListener();
  if (Config.Options.OnListening)
    Config.Options.OnListening(Listening.Port);
  const Status status = Context.loop().run();
  return isOk(Outcome) ? status : Outcome;
}

RequestThreads::Options ServerTask::poolOptions() {
  RequestThreads::Options options;
  options.MaxThreads = Config.Options.MaxRequests;
  options.Serve = [this](PendingRequestPtr request) {
    ServedRequest served{request->Connection, request->WorkBytes};
    served.Next = Config.Process(std::move(request->What), served.Response);
    (void)Served->post(std::move(served));
  };
  options.OnStopped = [this] { ThreadsEnded.raise(); };
  return options;
}

void ServerTask::watchListener() {
  Context.loop().watch(Listening.Socket.get(), POLLIN,
                       [this](short) { acceptAll(); });
}

void ServerTask::acceptAll() {
  runtime::FileDescriptor socket;
  Listener::Outcome outcome = Listening.accept(socket);
  for (int i = 1; outcome == Listener::Outcome::Accepted; ++i) {
    admit(std::move(socket));
    if (i == MaxAccepts)
      return;
    outcome = Listening.accept(socket);
  }
  if (outcome == Listener::Outcome::NoDescriptors)
    pauseAccepting();
  else if (outcome == Listener::Outcome::Failed)
    fail();
}

void ServerTask::admit(runtime::FileDescriptor socket) {
  const bool isFull = Connections.size() >= Config.Options.MaxConnections;
  if (isFull && !replaceConnection()) {
    noteDrop(DropCause::Connections);
    return;
  }
  std::unique_ptr<Channel> link =
      Channel::create(std::move(socket), Config.Tls.get());
  if (link == nullptr)
    return;
  const uint64_t serial = ++LastSerial;
  const auto it =
      Connections
          .try_emplace(serial, std::move(link),
                       RequestAssembler::Limits{Config.Options.MaxHead,
                                                Config.Options.MaxBody},
                       Context.now())
          .first;
  watch(serial, it->second, POLLIN);
}

void ServerTask::pauseAccepting() {
  (void)replaceConnection();
  Context.loop().unwatch(Listening.Socket.get());
  Context.loop().callAt(Context.now() + AcceptPause, [this] {
    if (Listening.Socket.isOpen())
      watchListener();
  });
}

bool ServerTask::replaceConnection() {
  auto it = longestIn({ConnectionState::Idle});
  if (it != Connections.end()) {
    // It may be new, and its request have arrived.
    const uint64_t serial = it->first;
    receive(serial);
    it = Connections.find(serial);
    if (it == Connections.end())
      return true;
  }
  if (it == Connections.end() || it->second.State != ConnectionState::Idle) {
    it = longestIn({ConnectionState::Receiving, ConnectionState::Draining});
    if (it == Connections.end())
      it = longestIn({ConnectionState::Sending});
    noteDrop(DropCause::Connections);
  }
  if (it == Connections.end())
    return false;
  close(it);
  return true;
}

ServerTask::ConnectionMap::iterator
ServerTask::longestIn(std::initializer_list<ConnectionState> states,
                      std::size_t minCounted) {
  auto longest = Connections.end();
  for (auto it = Connections.begin(); it != Connections.end(); ++it)
    if (it->second.Counted >= minCounted &&
        std::ranges::find(states, it->second.State) != states.end() &&
        (longest == Connections.end() ||
         it->second.Since < longest->second.Since))
      longest = it;
  return longest;
}

void ServerTask::watch(uint64_t serial, Connection &connection, short events) {
  if (connection.Watched == events)
    return;
  connection.Watched = events;
  Context.loop().watch(connection.Link->fd(), events,
                       [this, serial](short) { handleEvent(serial); });
}

void ServerTask::unwatch(Connection &connection) {
  if (std::exchange(connection.Watched, 0) != 0)
    Context.loop().unwatch(connection.Link->fd());
}

void ServerTask::close(ConnectionMap::iterator it) {
  unwatch(it->second);
  BufferedBytes -= it->second.Counted;
  Connections.erase(it);
}

// Clients of an unhealthy host move to another host only after their
// connections have been closed.
void ServerTask::closeExpired() {
  std::vector<uint64_t> expired;
  for (const auto &[serial, connection] : Connections)
    if (hasExpired(connection))
      expired.push_back(serial);
  for (const uint64_t serial : expired) {
    auto it = Connections.find(serial);
    if (it == Connections.end())
      continue;
    if (it->second.State == ConnectionState::Ready) {
      noteDrop(DropCause::Work);
      refuse(serial, it->second, overloaded());
      continue;
    }
    // A request may have arrived just before the timeout.
    const bool wasIdle = it->second.State == ConnectionState::Idle;
    if (wasIdle) {
      receive(serial);
      it = Connections.find(serial);
    }
    if (it == Connections.end() ||
        (wasIdle && it->second.State != ConnectionState::Idle))
      continue;
    if (!wasIdle && it->second.State != ConnectionState::Draining)
      noteDrop(DropCause::Slow);
    close(it);
  }
  dispatchReady();
  endIfStopped();
}

bool ServerTask::hasExpired(const Connection &connection) const {
  const ServerOptions &options = Config.Options;
  const Instant now = Context.now();
  const Duration inState = now - connection.Since;
  const Duration quiet = now - connection.Progress;
  switch (connection.State) {
  case ConnectionState::Idle:
    return inState > (Config.IsHealthy()
                          ? options.KeepAlive
                          : std::min(options.KeepAlive, UnhealthyKeepAlive));
  case ConnectionState::Receiving:
    return quiet > options.ReadTimeout || inState > options.ReceiveTimeout ||
           isStopOverdue();
  case ConnectionState::Ready:
    return inState > options.ReadyTimeout;
  case ConnectionState::Processing:
    return false;
  case ConnectionState::Sending:
    return quiet > options.ReadTimeout || inState > options.ReceiveTimeout ||
           (IsStopping && now - StoppingSince > options.ReadTimeout);
  case ConnectionState::Draining:
    return quiet > DrainPause || inState > MaxDrain;
  }
  return false;
}

void ServerTask::fail() {
  Outcome = Error{ErrorKind::Unavailable, "the listening socket failed",
                  "check that the address still belongs to this host"};
  beginStop();
}

void ServerTask::beginStop() {
  if (std::exchange(IsStopping, true))
    return;
  StoppingSince = Context.now();
  if (Listening.Socket.isOpen())
    Context.loop().unwatch(Listening.Socket.get());
  Listening.Socket = runtime::FileDescriptor();
  std::vector<uint64_t> idle;
  for (const auto &[serial, connection] : Connections)
    if (connection.State == ConnectionState::Idle)
      idle.push_back(serial);
  for (const uint64_t serial : idle) {
    receive(serial);
    const auto it = Connections.find(serial);
    if (it != Connections.end() && it->second.State == ConnectionState::Idle)
      close(it);
  }
  endIfStopped();
}

bool ServerTask::isStopOverdue() const {
  return IsStopping && Context.now() - StoppingSince > StopGrace;
}

void ServerTask::endIfStopped() {
  // What was sent ahead has been read, and is served.
  const auto isBusy = [](const auto &it) {
    return it.second.State != ConnectionState::Idle || !it.second.Input.empty();
  };
  if (IsStopping && std::ranges::none_of(Connections, isBusy))
    Threads.stop();
}

void ServerTask::noteDrop(DropCause cause) {
  ++Drops[static_cast<std::size_t>(cause)];
}

void ServerTask::reportDrops() {
  if (std::ranges::all_of(Drops, [](uint64_t n) { return n == 0; }))
    return;
  Line line(Event::ClientsDropped, Level::Warning);
  line.with("port", Listening.Port)
      .with("connections", Connections.size())
      .with("buffered_bytes", BufferedBytes)
      .with("work_bytes", WorkBytes);
  for (const auto &row : DropCauseNames)
    line.with(row.Name,
              std::exchange(Drops[static_cast<std::size_t>(row.Value)], 0));
}

} // namespace jujube::http::internal
