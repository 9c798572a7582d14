#include "testing/socket_workers.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cstdlib>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "jujube/runtime/sockets.h"

namespace jujube::testing {
namespace {

// Interval between checks for ended tasks.
constexpr Duration TickPeriod = Duration::millis(5);
constexpr std::size_t ReadBytes = std::size_t{16} << 10;
constexpr absl::string_view LengthHeader = "Content-Length: ";

std::string render(const http::OutboundResponse &answer) {
  return absl::StrCat("HTTP/1.1 ", answer.Status,
                      " Answer\r\nContent-Type: application/json\r\n"
                      "Content-Length: ",
                      answer.Body.size(), "\r\n\r\n", answer.Body);
}

} // namespace

SocketWorkers::SocketWorkers(runtime::PollLoop &loop,
                             const std::string &network)
    : Loop(loop), Workers(loop.clock(), network) {
  Loop.callEvery(TickPeriod, [this] { Workers.tick(); });
}

Status SocketWorkers::add(const std::string &id, Resources capacity) {
  Workers.add(id, capacity);
  const Address at = Workers.addressOf(id);
  auto listener = runtime::listenTcp(at);
  if (!isOk(listener))
    return errorOf(listener);
  const int fd = valueOf(listener).get();
  Listeners.push_back(valueOf(std::move(listener)));
  Loop.watch(fd, POLLIN, [this, at, fd](short) { accept(at, fd); });
  return Ok{};
}

void SocketWorkers::accept(const Address &at, int listener) {
  auto connection = std::make_shared<Connection>();
  connection->At = at;
  connection->Socket = runtime::acceptTcp(listener);
  if (!connection->Socket.isOpen())
    return;
  ++Accepted;
  const int fd = connection->Socket.get();
  Loop.watch(fd, POLLIN, [this, connection](short) { read(connection); });
}

void SocketWorkers::read(const ConnectionPtr &connection) {
  std::array<char, ReadBytes> buf;
  const ssize_t n =
      recv(connection->Socket.get(), buf.data(), buf.size(), MSG_DONTWAIT);
  if (n <= 0) {
    Loop.unwatch(connection->Socket.get());
    connection->Socket = runtime::FileDescriptor();
    return;
  }
  connection->Input.append(buf.data(), static_cast<std::size_t>(n));
  while (serveNext(connection)) {
  }
}

bool SocketWorkers::serveNext(const ConnectionPtr &connection) {
  std::string &input = connection->Input;
  const std::size_t head = input.find("\r\n\r\n");
  const std::size_t length = input.find(LengthHeader.data());
  if (head == std::string::npos || length == std::string::npos)
    return false;
  const std::size_t bytes = static_cast<std::size_t>(
      std::atoi(input.c_str() + length + LengthHeader.size()));
  if (input.size() < head + 4 + bytes)
    return false;
  http::OutboundCall call;
  call.To = connection->At;
  const std::size_t path = input.find(' ') + 1;
  call.Target = input.substr(path, input.find(' ', path) - path);
  call.Body = input.substr(head + 4, bytes);
  input.erase(0, head + 4 + bytes);
  ++Calls[call.Target];
  Workers.handle(call, [connection](http::OutboundResult result) {
    if (!isOk(result) || !connection->Socket.isOpen())
      return;
    const std::string text = render(valueOf(result));
    (void)send(connection->Socket.get(), text.data(), text.size(),
               MSG_NOSIGNAL);
  });
  return true;
}

} // namespace jujube::testing
