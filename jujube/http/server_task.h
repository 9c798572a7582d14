// The task of a server: owns the listening socket and all connections. Internal
// to jujube/http.
#ifndef JUJUBE_HTTP_SERVER_TASK_H_
#define JUJUBE_HTTP_SERVER_TASK_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>

#include "jujube/http/connection.h"
#include "jujube/http/listener.h"
#include "jujube/http/request_processor.h"
#include "jujube/http/request_threads.h"
#include "jujube/http/server.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/signal_event.h"

namespace jujube::http::internal {

// Serves one request and appends the response to `output`; called concurrently
// on the threads.
using ProcessHook =
    std::function<Disposition(AssembledRequest request, std::string &output)>;

// The validated configuration of a server; each start of the task uses it.
struct ServerConfig {
  ServerOptions Options;
  ProcessHook Process;
  std::function<bool()> IsHealthy;
  std::shared_ptr<SSL_CTX> Tls;
};

// Why a connection was closed, or its request refused.
enum class DropCause {
  // The limit of connections.
  Connections,
  // The limit of buffered bytes.
  Buffered,
  // The limits of threads or of work bytes.
  Work,
  // The request or the response took too long.
  Slow,
  // The request exceeds a limit or is not well-formed.
  Malformed,
};

inline constexpr NameTable<DropCause, 5> DropCauseNames = {{
    {DropCause::Connections, "connections"},
    {DropCause::Buffered, "buffered"},
    {DropCause::Work, "work"},
    {DropCause::Slow, "slow"},
    {DropCause::Malformed, "malformed"},
}};
static_assert(isComplete(DropCauseNames));

// Reads requests and writes responses without blocking; threads only execute
// whole requests. What all connections hold together is bounded.
class ServerTask {
public:
  ServerTask(const ServerConfig &config, runtime::TaskContext &context);

  Status run();

private:
  // Sent by a thread that has served a request.
  struct ServedRequest {
    uint64_t Connection = 0;
    std::size_t WorkBytes = 0;
    std::string Response;
    Disposition Next = Disposition::Close;
  };
  using ConnectionMap = std::map<uint64_t, Connection>;

  RequestThreads::Options poolOptions();

  // ---- Connections (server_task.cc) ----
  void watchListener();
  void acceptAll();
  void admit(runtime::FileDescriptor socket);
  void pauseAccepting();
  // Makes room for one more connection. Returns false if there is none.
  bool replaceConnection();
  // The connection that has been in one of the states longest; the end if there
  // is none.
  ConnectionMap::iterator
  longestIn(std::initializer_list<ConnectionState> states,
            std::size_t minCounted = 0);
  void watch(uint64_t serial, Connection &connection, short events);
  void unwatch(Connection &connection);
  void close(ConnectionMap::iterator it);
  void closeExpired();
  bool hasExpired(const Connection &connection) const;
  void fail();
  // Serves the requests that have arrived, or begun to, and accepts no new
  // connections.
  void beginStop();
  bool isStopOverdue() const;
  void endIfStopped();
  void noteDrop(DropCause cause);
  void reportDrops();

  // ---- Requests and responses (server_transfer.cc) ----
  void handleEvent(uint64_t serial);
  // Reads what has arrived.
  void receive(uint64_t serial);
  // Takes received bytes; returns false if the state has changed so that no
  // more are read.
  bool take(uint64_t serial, Connection &connection, std::string_view bytes);
  // Hands waiting requests to threads as far as the limits allow.
  void dispatchReady();
  void handleServed(ServedRequest served);
  void respond(uint64_t serial, Connection &connection, std::string response);
  // The error for clients beyond a limit; their requests have not run.
  static Error overloaded();
  // Responds with an error; the connection is closed afterwards.
  void refuse(uint64_t serial, Connection &connection, const Error &error);
  void send(uint64_t serial);
  void endResponse(uint64_t serial, Connection &connection);
  // Updates what is counted for the connection.
  void count(Connection &connection);
  // Closes connections until the buffered bytes are within their limit.
  void limitBuffered();
  // Memory that the connection's request may need on a thread.
  std::size_t workOf(const Connection &connection) const;
  // Hands the request of a connection in state Ready to a thread.
  void dispatch(uint64_t serial, Connection &connection, std::size_t work);

  const ServerConfig &Config;
  runtime::TaskContext &Context;
  Listener Listening;
  runtime::SignalEvent ThreadsEnded;
  Status Outcome = Ok{};
  bool IsStopping = false;
  Instant StoppingSince;
  ConnectionMap Connections;
  uint64_t LastSerial = 0;
  // Connections in state Ready, the oldest first; may name ones that have left
  // the state.
  std::deque<uint64_t> ReadyOrder;
  std::size_t InProgress = 0;
  std::size_t WorkBytes = 0;
  std::size_t BufferedBytes = 0;
  std::array<uint64_t, DropCauseNames.size()> Drops = {};
  runtime::MailboxPtr<ServedRequest> Served;
  // Declared last, so that the threads end before the members they use are
  // destroyed.
  RequestThreads Threads;
};

} // namespace jujube::http::internal

#endif // JUJUBE_HTTP_SERVER_TASK_H_
