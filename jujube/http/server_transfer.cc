// The requests and responses of a server's connections.
#include <poll.h>

#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/http/server_task.h"

namespace jujube::http::internal {
namespace {

constexpr std::size_t ReadBytes = std::size_t{16} << 10;
// The most reads of one connection in a row, so that others have their turn.
constexpr int MaxReads = 8;
// Expected memory of a request on a thread: a part for the thread, and a
// multiple of its size for the parsed fields, the decoded body and the command.
constexpr std::size_t WorkPerRequest = std::size_t{32} << 10;
constexpr std::size_t WorkPerByte = 24;
// Copies of a response until it is sent.
constexpr std::size_t WorkPerResponseByte = 4;
// Requests that need no more pass others that wait for their turn.
constexpr std::size_t SmallWork = std::size_t{256} << 10;
constexpr std::string_view InterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view reasonOf(int status) {
  constexpr int BadRequest = 400;
  constexpr int TooLarge = 413;
  switch (status) {
  case BadRequest:
    return "Bad Request";
  case TooLarge:
    return "Content Too Large";
  default:
    return "Service Unavailable";
  }
}

std::string render(const Error &error) {
  const HttpResponse answer = toResponse(error);
  std::string text = absl::StrCat(
      "HTTP/1.1 ", answer.Status, " ", std::string(reasonOf(answer.Status)),
      "\r\nContent-Type: ", answer.ContentType, "\r\nConnection: close\r\n");
  if (answer.RetryAfter)
    absl::StrAppend(&text,
                    "Retry-After: ", (answer.RetryAfter->millis() + 999) / 1000,
                    "\r\n");
  absl::StrAppend(&text, "Content-Length: ", answer.Body.size(), "\r\n\r\n",
                  answer.Body);
  return text;
}

} // namespace

void ServerTask::handleEvent(uint64_t serial) {
  const auto it = Connections.find(serial);
  if (it == Connections.end())
    return;
  if (it->second.State == ConnectionState::Sending)
    send(serial);
  else
    receive(serial);
  endIfStopped();
}

void ServerTask::receive(uint64_t serial) {
  std::array<char, ReadBytes> buffer;
  for (int i = 0; i < MaxReads; ++i) {
    const auto it = Connections.find(serial);
    if (it == Connections.end())
      return;
    Connection &connection = it->second;
    if (!connection.Input.empty()) {
      const std::string earlier = std::exchange(connection.Input, {});
      if (!take(serial, connection, earlier))
        return;
      continue;
    }
    const Transfer read = connection.Link->read(buffer.data(), buffer.size());
    if (read.IsClosed) {
      close(it);
      return;
    }
    if (read.Bytes == 0) {
      watch(serial, connection, read.WaitFor);
      return;
    }
    connection.Progress = Context.now();
    if (connection.State != ConnectionState::Draining &&
        !take(serial, connection, {buffer.data(), read.Bytes}))
      return;
  }
  // Bytes that a TLS layer holds raise no event.
  Context.loop().callAt(Context.now(), [this, serial] {
    const auto it = Connections.find(serial);
    if (it != Connections.end() && it->second.Watched != 0)
      handleEvent(serial);
  });
}

bool ServerTask::take(uint64_t serial, Connection &connection,
                      std::string_view bytes) {
  const std::size_t n = connection.Incoming.feed(bytes);
  if (n < bytes.size())
    connection.Input.assign(bytes.substr(n));
  switch (connection.Incoming.state()) {
  case AssemblyState::Empty:
    return true;
  case AssemblyState::Complete:
    unwatch(connection);
    connection.enter(ConnectionState::Ready, Context.now());
    count(connection);
    if (BufferedBytes > Config.Options.MaxBufferedBytes) {
      noteDrop(DropCause::Buffered);
      refuse(serial, connection, overloaded());
      return false;
    }
    ReadyOrder.push_back(serial);
    dispatchReady();
    return false;
  case AssemblyState::Refused:
    noteDrop(DropCause::Malformed);
    refuse(serial, connection, connection.Incoming.refusal());
    return false;
  case AssemblyState::Head:
  case AssemblyState::Body:
    break;
  }
  if (connection.State == ConnectionState::Idle)
    connection.enter(ConnectionState::Receiving, Context.now());
  if (connection.Incoming.takeExpectation() &&
      connection.Link->write(InterimResponse).Bytes != InterimResponse.size()) {
    close(Connections.find(serial));
    return false;
  }
  count(connection);
  limitBuffered();
  return Connections.contains(serial);
}

std::size_t ServerTask::workOf(const Connection &connection) const {
  const RequestAssembler &request = connection.Incoming;
  const ServerOptions &options = Config.Options;
  std::size_t work = WorkPerRequest + WorkPerByte * request.size();
  if (request.isEncoded())
    work += WorkPerByte * options.MaxBody;
  if (options.ResponseBytes)
    work += WorkPerResponseByte * options.ResponseBytes(request.head());
  return work;
}

void ServerTask::dispatchReady() {
  std::deque<uint64_t> waiting;
  for (const uint64_t serial : std::exchange(ReadyOrder, {})) {
    const auto it = Connections.find(serial);
    if (it == Connections.end() || it->second.State != ConnectionState::Ready)
      continue;
    const std::size_t work = workOf(it->second);
    const bool fits = WorkBytes + work <= Config.Options.MaxWorkBytes;
    // Small requests pass larger ones, which wait for ReadyTimeout at most.
    const bool isNext = waiting.empty() || work <= SmallWork;
    if ((fits && isNext) || InProgress == 0)
      dispatch(serial, it->second, work);
    else
      waiting.push_back(serial);
  }
  // Refusals may have made others ready.
  waiting.insert(waiting.end(), ReadyOrder.begin(), ReadyOrder.end());
  ReadyOrder = std::move(waiting);
}

void ServerTask::dispatch(uint64_t serial, Connection &connection,
                          std::size_t work) {
  auto request = std::make_unique<PendingRequest>(
      PendingRequest{serial, connection.Incoming.take(), work});
  connection.enter(ConnectionState::Processing, Context.now());
  count(connection);
  if (isOk(Threads.serve(request))) {
    ++InProgress;
    WorkBytes += work;
    return;
  }
  noteDrop(DropCause::Work);
  refuse(serial, connection, overloaded());
}

void ServerTask::handleServed(ServedRequest served) {
  --InProgress;
  WorkBytes -= served.WorkBytes;
  const auto it = Connections.find(served.Connection);
  if (it != Connections.end()) {
    Connection &connection = it->second;
    // The client may have sent more, which must not reset the connection.
    connection.ClosesAfterOutput =
        served.Next == Disposition::Close && connection.Input.empty();
    connection.DrainsAfterOutput =
        !connection.ClosesAfterOutput &&
        (served.Next != Disposition::Reuse || isStopOverdue());
    respond(served.Connection, connection, std::move(served.Response));
  }
  dispatchReady();
  endIfStopped();
}

Error ServerTask::overloaded() {
  return Error{ErrorKind::Overloaded,
               "this entry host has reached its limit of connections or "
               "requests",
               "retry later or at another entry host"};
}

void ServerTask::refuse(uint64_t serial, Connection &connection,
                        const Error &error) {
  // The error may be part of what is released.
  std::string response = render(error);
  connection.Incoming = RequestAssembler({});
  connection.Input = std::string();
  connection.DrainsAfterOutput = true;
  respond(serial, connection, std::move(response));
}

void ServerTask::respond(uint64_t serial, Connection &connection,
                         std::string response) {
  connection.Output = std::move(response);
  connection.Sent = 0;
  connection.enter(ConnectionState::Sending, Context.now());
  count(connection);
  send(serial);
  limitBuffered();
}

void ServerTask::send(uint64_t serial) {
  const auto it = Connections.find(serial);
  if (it == Connections.end())
    return;
  Connection &connection = it->second;
  while (connection.Sent < connection.Output.size()) {
    const Transfer written = connection.Link->write(
        std::string_view(connection.Output).substr(connection.Sent));
    if (written.IsClosed) {
      close(it);
      return;
    }
    if (written.Bytes == 0) {
      watch(serial, connection, written.WaitFor);
      return;
    }
    connection.Sent += written.Bytes;
    connection.Progress = Context.now();
  }
  endResponse(serial, connection);
}

void ServerTask::endResponse(uint64_t serial, Connection &connection) {
  connection.Output = std::string();
  if (connection.ClosesAfterOutput) {
    close(Connections.find(serial));
    return;
  }
  if (connection.DrainsAfterOutput) {
    connection.Link->shutdownSending();
    connection.Incoming = RequestAssembler({});
    connection.Input = std::string();
    connection.enter(ConnectionState::Draining, Context.now());
  } else {
    connection.enter(ConnectionState::Idle, Context.now());
  }
  count(connection);
  watch(serial, connection, POLLIN);
  // The client may have sent its next request ahead. Not at once, so that
  // clients that send many share the task with others.
  if (!connection.Input.empty() || Config.Tls != nullptr || IsStopping)
    Context.loop().callAt(Context.now(), [this, serial] {
      const auto it = Connections.find(serial);
      if (it == Connections.end())
        return;
      if (it->second.State == ConnectionState::Idle)
        receive(serial);
      const auto after = Connections.find(serial);
      if (IsStopping && after != Connections.end() &&
          after->second.State == ConnectionState::Idle)
        close(after);
      endIfStopped();
    });
}

void ServerTask::count(Connection &connection) {
  const std::size_t now = connection.bufferedBytes();
  BufferedBytes += now;
  BufferedBytes -= std::exchange(connection.Counted, now);
}

void ServerTask::limitBuffered() {
  while (BufferedBytes > Config.Options.MaxBufferedBytes) {
    // Of those that hold more than their part.
    const auto it =
        longestIn({ConnectionState::Receiving, ConnectionState::Sending},
                  Config.Options.MaxBufferedBytes / Connections.size());
    if (it == Connections.end())
      return;
    noteDrop(DropCause::Buffered);
    close(it);
  }
}

} // namespace jujube::http::internal
