#include "jujube/http/listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace jujube::http {
namespace {

constexpr int Backlog = 512;
// Bytes that the kernel buffers in each direction of a connection.
constexpr int SocketBuffer = 64 << 10;

Error listenError(const Address &address) {
  return Error{
      ErrorKind::Unavailable,
      absl::StrCat("can't listen on ", address.str(), ", error ", errno),
      "choose an address of this host and a port that is free"};
}

void enableOption(int fd, int level, int option) {
  const int on = 1;
  (void)setsockopt(fd, level, option, &on, sizeof(on));
}

} // namespace

Result<Listener> Listener::open(const Address &address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.Port);
  if (inet_pton(AF_INET, address.Ip.c_str(), &name.sin_addr) != 1)
    return listenError(address);
  Listener listener;
  listener.Socket = runtime::FileDescriptor(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int fd = listener.Socket.get();
  enableOption(fd, SOL_SOCKET, SO_REUSEADDR);
  // Inherited by connections. What the kernel holds for a client is not counted
  // by the server.
  (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &SocketBuffer,
                   sizeof(SocketBuffer));
  (void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &SocketBuffer,
                   sizeof(SocketBuffer));
  socklen_t size = sizeof(name);
  auto *generic = reinterpret_cast<sockaddr *>(&name);
  if (fd < 0 || bind(fd, generic, size) != 0 || listen(fd, Backlog) != 0 ||
      getsockname(fd, generic, &size) != 0)
    return listenError(address);
  listener.Port = ntohs(name.sin_port);
  return listener;
}

Listener::Outcome Listener::accept(runtime::FileDescriptor &connection) const {
  const int fd =
      accept4(Socket.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    enableOption(fd, IPPROTO_TCP, TCP_NODELAY);
    connection = runtime::FileDescriptor(fd);
    return Outcome::Accepted;
  }
  switch (errno) {
  case EAGAIN:
  case EINTR:
  case ECONNABORTED:
  case EPROTO:
    return Outcome::Empty;
  case EMFILE:
  case ENFILE:
  case ENOBUFS:
  case ENOMEM:
    return Outcome::NoDescriptors;
  default:
    return Outcome::Failed;
  }
}

} // namespace jujube::http
