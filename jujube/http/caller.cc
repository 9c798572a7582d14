#include "jujube/http/caller.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <deque>
#include <list>
#include <memory>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "jujube/runtime/file_descriptor.h"
#include "jujube/runtime/sockets.h"

namespace jujube::http {
namespace {

namespace beast = boost::beast::http;
using Parser = beast::response_parser<beast::string_body>;

// Maximum size of a response body in bytes; a worker reports at most 500 ended
// attempts.
constexpr std::size_t MaxAnswerBytes = std::size_t{4} << 20;
constexpr std::size_t ReadBytes = std::size_t{16} << 10;
// Maximum number of results that a CallerClient takes per turn of its loop.
constexpr std::size_t MaxResultsPerTurn = 128;

Error notSent(const Address &to) {
  return Error{ErrorKind::Unavailable,
               absl::StrCat("no connection to ", to.str()), "call again later"};
}
Error unknownOutcome(const Address &to) {
  return Error{ErrorKind::OutcomeUnknown,
               absl::StrCat("no answer from ", to.str()),
               "check the outcome of the call before you repeat it"};
}

std::string render(const OutboundCall &call) {
  std::string out = absl::StrCat(call.Method, " ", call.Target,
                                 " HTTP/1.1\r\nHost: ", call.To.str(), "\r\n");
  for (const auto &[name, value] : call.Headers)
    absl::StrAppend(&out, name, ": ", value, "\r\n");
  if (!call.Body.empty())
    absl::StrAppend(&out, "Content-Type: application/json\r\n");
  absl::StrAppend(&out, "Content-Length: ", call.Body.size(), "\r\n\r\n",
                  call.Body);
  return out;
}

struct Peer;

// A connection and its call in progress, if any.
struct PeerConnection {
  Peer &To;
  runtime::FileDescriptor Socket;
  bool IsConnected = false;
  // The poll(2) events that the loop watches.
  short Events = 0;
  std::optional<uint64_t> CurrentCall;
  bool IsLongPoll = false;
  Instant BusySince;
  std::string Output;
  bool HasSent = false;
  std::unique_ptr<Parser> ResponseParser;
  // Received bytes that are not parsed yet.
  std::string Input;
  Instant IdleSince;
  // The position among the idle connections; set while the connection is idle.
  std::optional<std::list<PeerConnection *>::iterator> IdlePosition;
};
using ConnectionIt = std::list<PeerConnection>::iterator;

// The connections to an address and the calls that wait for a connection.
struct Peer {
  Address PeerAddress;
  std::list<PeerConnection> Connections;
  std::deque<uint64_t> Queue;
  // A timer to process the queue again is pending.
  bool HasTimer = false;
  // The queue waits because MaxConnections is reached.
  bool IsStarved = false;
};

// The state of the caller's task.
class CallerTask {
public:
  CallerTask(const CallerOptions &options, CallResults results,
             runtime::TaskContext &context)
      : Settings(options), Results(std::move(results)), Loop(context.loop()) {
    Loop.callEvery(Settings.IdleTimeout / 2, [this] { closeIdle(); });
  }

  void submit(CallRequest request) {
    const uint64_t id = request.Id;
    Peer &peer = peerFor(request.What.To);
    const Instant due = Loop.now() + request.What.Timeout;
    const runtime::TimerId timer = Loop.callAt(due, [this, id] { expire(id); });
    Calls.emplace(id, Call{std::move(request.What), timer});
    peer.Queue.push_back(id);
    processQueue(peer);
  }

private:
  struct Call {
    OutboundCall What;
    runtime::TimerId Timeout;
    std::optional<ConnectionIt> Connection;
  };

  Peer &peerFor(const Address &at) {
    std::unique_ptr<Peer> &peer = Peers[at];
    if (!peer)
      peer = std::make_unique<Peer>(Peer{at});
    return *peer;
  }

  // Assigns queued calls of the address to free or new connections.
  void processQueue(Peer &peer) {
    while (!peer.Queue.empty()) {
      const uint64_t id = peer.Queue.front();
      if (!Calls.contains(id)) {
        peer.Queue.pop_front();
        continue;
      }
      const std::optional<ConnectionIt> connection = findConnection(peer);
      if (!connection)
        return;
      peer.Queue.pop_front();
      startCall(*connection, id);
    }
  }

  std::optional<ConnectionIt> findConnection(Peer &peer) {
    const auto free = std::ranges::find_if(
        peer.Connections, [](const PeerConnection &connection) {
          return !connection.CurrentCall;
        });
    if (free != peer.Connections.end())
      return free;
    if (peer.Connections.size() >= Settings.MaxConnectionsPerAddress ||
        isConnectionFreeSoon(peer) || !reserveConnection(peer))
      return std::nullopt;
    Result<runtime::FileDescriptor> fd = runtime::connectTcp(peer.PeerAddress);
    if (!isOk(fd)) {
      failWaiting(peer);
      return std::nullopt;
    }
    peer.Connections.push_back(PeerConnection{peer, valueOf(std::move(fd))});
    ++ConnectionCount;
    return std::prev(peer.Connections.end());
  }

  // Makes room for one more connection. Returns false if there is none; the
  // queue of the address is then processed once a connection becomes idle.
  bool reserveConnection(Peer &peer) {
    if (ConnectionCount < Settings.MaxConnections)
      return true;
    if (!Idle.empty()) {
      close(positionOf(*Idle.front()));
      return true;
    }
    if (!std::exchange(peer.IsStarved, true))
      Starved.push_back(peer.PeerAddress);
    return false;
  }

  static ConnectionIt positionOf(const PeerConnection &connection) {
    return std::ranges::find_if(
        connection.To.Connections,
        [&](const PeerConnection &it) { return &it == &connection; });
  }

  void becomeIdle(PeerConnection &connection) {
    connection.IdleSince = Loop.now();
    connection.IdlePosition = Idle.insert(Idle.end(), &connection);
  }

  void endIdle(PeerConnection &connection) {
    if (connection.IdlePosition)
      Idle.erase(*std::exchange(connection.IdlePosition, std::nullopt));
  }

  // Serves the addresses that wait for a connection, the longest waiting first.
  void serveStarved() {
    while (!Starved.empty() &&
           (!Idle.empty() || ConnectionCount < Settings.MaxConnections)) {
      const auto it = Peers.find(Starved.front());
      Starved.pop_front();
      if (it == Peers.end())
        continue;
      it->second->IsStarved = false;
      processQueue(*it->second);
    }
  }

  // Returns true if a connection is likely to become free within OpenDelay, and
  // schedules another look at the queue for the end of that delay.
  bool isConnectionFreeSoon(Peer &peer) {
    const Instant now = Loop.now();
    Instant last;
    for (const PeerConnection &connection : peer.Connections)
      if (!connection.IsLongPoll)
        last = std::max(last, connection.BusySince + Settings.OpenDelay);
    if (last <= now)
      return false;
    if (!std::exchange(peer.HasTimer, true))
      Loop.callAt(last, [this, &peer] {
        peer.HasTimer = false;
        processQueue(peer);
      });
    return true;
  }

  void failWaiting(Peer &peer) {
    for (const uint64_t id : std::exchange(peer.Queue, {}))
      finish(id, notSent(peer.PeerAddress));
  }

  void startCall(ConnectionIt connection, uint64_t id) {
    Call &call = Calls.at(id);
    endIdle(*connection);
    call.Connection = connection;
    connection->CurrentCall = id;
    connection->IsLongPoll = call.What.IsLongPoll;
    connection->BusySince = Loop.now();
    connection->Output = render(call.What);
    connection->HasSent = false;
    connection->Input.clear();
    connection->ResponseParser = std::make_unique<Parser>();
    connection->ResponseParser->body_limit(MaxAnswerBytes);
    connection->ResponseParser->eager(true);
    // The loop reports a failed connection again, and it is handled there.
    if (connection->IsConnected)
      (void)sendOutput(*connection);
    watch(connection, connection->Output.empty() ? POLLIN : POLLOUT);
  }

  void watch(ConnectionIt connection, short events) {
    if (std::exchange(connection->Events, events) != events)
      Loop.watch(
          connection->Socket.get(), events,
          [this, connection](short ready) { handleReady(connection, ready); });
  }

  void handleReady(ConnectionIt connection, short ready) {
    if (!connection->IsConnected) {
      if (runtime::pendingError(connection->Socket.get()) != 0) {
        failConnection(connection);
        return;
      }
      connection->IsConnected = true;
    }
    if (!connection->Output.empty() &&
        (ready & (POLLOUT | POLLERR | POLLHUP)) != 0)
      write(connection);
    else if ((ready & (POLLIN | POLLERR | POLLHUP)) != 0)
      read(connection);
  }

  void write(ConnectionIt connection) {
    if (sendOutput(*connection))
      watch(connection, connection->Output.empty() ? POLLIN : POLLOUT);
    else
      failConnection(connection);
  }

  // Sends as much output as the socket takes; false if the connection is lost.
  static bool sendOutput(PeerConnection &connection) {
    const ssize_t n = send(connection.Socket.get(), connection.Output.data(),
                           connection.Output.size(), MSG_NOSIGNAL);
    if (n < 0)
      return errno == EAGAIN || errno == EINTR;
    connection.HasSent = connection.HasSent || n > 0;
    connection.Output.erase(0, static_cast<std::size_t>(n));
    return true;
  }

  void read(ConnectionIt connection) {
    std::array<char, ReadBytes> buf;
    const ssize_t n = recv(connection->Socket.get(), buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    // An idle connection becomes readable when the peer closes it.
    if (n <= 0 || !connection->CurrentCall) {
      failConnection(connection);
      return;
    }
    connection->Input.append(buf.data(), static_cast<std::size_t>(n));
    boost::beast::error_code ec;
    parse(*connection, ec);
    if (ec)
      failConnection(connection);
    else if (connection->ResponseParser->is_done())
      complete(connection);
  }

  // The parser does not consume the bytes of an incomplete header.
  static void parse(PeerConnection &connection, boost::beast::error_code &ec) {
    std::size_t used = 0;
    std::size_t step = 0;
    do {
      step = connection.ResponseParser->put(
          boost::asio::buffer(connection.Input.data() + used,
                              connection.Input.size() - used),
          ec);
      used += step;
    } while (!ec && step > 0 && used < connection.Input.size() &&
             !connection.ResponseParser->is_done());
    connection.Input.erase(0, used);
    if (ec == beast::error::need_more)
      ec = {};
  }

  void complete(ConnectionIt connection) {
    const uint64_t id = *connection->CurrentCall;
    beast::response<beast::string_body> answer =
        connection->ResponseParser->release();
    connection->CurrentCall.reset();
    connection->ResponseParser.reset();
    Peer &peer = connection->To;
    if (answer.keep_alive())
      becomeIdle(*connection);
    else
      close(connection);
    finish(id, OutboundResponse{static_cast<int>(answer.result_int()),
                                std::move(answer.body())});
    processQueue(peer);
    serveStarved();
  }

  // Closes a failed connection and fails its call.
  void failConnection(ConnectionIt connection) {
    const std::optional<uint64_t> id = connection->CurrentCall;
    const bool hasSent = connection->HasSent;
    Peer &peer = connection->To;
    close(connection);
    if (id)
      finish(*id, hasSent ? unknownOutcome(peer.PeerAddress)
                          : notSent(peer.PeerAddress));
    processQueue(peer);
    serveStarved();
  }

  void close(ConnectionIt connection) {
    endIdle(*connection);
    Loop.unwatch(connection->Socket.get());
    connection->To.Connections.erase(connection);
    --ConnectionCount;
  }

  void expire(uint64_t id) {
    const auto it = Calls.find(id);
    if (it == Calls.end())
      return;
    const Address to = it->second.What.To;
    if (it->second.Connection) {
      failConnection(*it->second.Connection);
      return;
    }
    finish(id, notSent(to));
  }

  void finish(uint64_t id, OutboundResult outcome) {
    const auto it = Calls.find(id);
    if (it == Calls.end())
      return;
    Loop.cancel(it->second.Timeout);
    Calls.erase(it);
    (void)Results->post(CallResult{id, std::move(outcome)});
  }

  void closeIdle() {
    const Instant now = Loop.now();
    while (!Idle.empty() &&
           now - Idle.front()->IdleSince > Settings.IdleTimeout)
      close(positionOf(*Idle.front()));
    std::erase_if(Peers, [](const auto &it) {
      const Peer &peer = *it.second;
      return peer.Connections.empty() && peer.Queue.empty() && !peer.HasTimer &&
             !peer.IsStarved;
    });
  }

  const CallerOptions &Settings;
  CallResults Results;
  runtime::PollLoop &Loop;
  std::map<Address, std::unique_ptr<Peer>> Peers;
  std::size_t ConnectionCount = 0;
  // Idle connections, the one that has been idle longest first.
  std::list<PeerConnection *> Idle;
  // Addresses with a queue that waits for room for a connection.
  std::deque<Address> Starved;
  absl::flat_hash_map<uint64_t, Call> Calls;
};

} // namespace

runtime::ChildSpec httpCallerTask(CallerOptions options, CallMailbox calls,
                                  CallResults results) {
  return {"caller",
          [options, calls = std::move(calls),
           results = std::move(results)](runtime::TaskContext &context) {
            CallerTask task(options, results, context);
            context.loop().watchMailbox<CallRequest>(
                calls,
                [&](CallRequest request) { task.submit(std::move(request)); });
            return context.loop().run();
          }};
}

CallerClient::CallerClient(runtime::PollLoop &loop, CallMailbox calls,
                           CallResults results)
    : Loop(loop), Calls(std::move(calls)) {
  Loop.watchMailbox<CallResult>(
      std::move(results),
      [this](CallResult result) {
        const auto it = Waiting.find(result.Id);
        if (it == Waiting.end())
          return;
        const Done done = std::move(it->second);
        Waiting.erase(it);
        done(std::move(result.Outcome));
      },
      MaxResultsPerTurn);
}

void CallerClient::call(OutboundCall what, Done done) {
  const uint64_t id = ++LastId;
  const Address to = what.To;
  Waiting.emplace(id, std::move(done));
  if (isOk(Calls->post(CallRequest{id, std::move(what)})))
    return;
  Loop.callAt(Loop.now(), [this, id, to] {
    const auto it = Waiting.find(id);
    if (it == Waiting.end())
      return;
    const Done done = std::move(it->second);
    Waiting.erase(it);
    done(notSent(to));
  });
}

} // namespace jujube::http
