#include "jujube/runtime/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace jujube::runtime {
namespace {

// Maximum length of the queue of connections that wait for accept(2).
constexpr int Backlog = 128;

sockaddr_in toSocketAddress(const Address &address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.Port);
  inet_pton(AF_INET, address.Ip.c_str(), &out.sin_addr);
  return out;
}

Error socketError(absl::string_view operation, const Address &address) {
  const int ec = errno;
  return Error{ErrorKind::Unavailable,
               absl::StrCat("cannot ", operation, " ", address.str(), ": ",
                            std::strerror(ec)), // NOLINT(concurrency-mt-unsafe)
               "check the address and that no other process uses the port"};
}

Result<FileDescriptor> createBoundSocket(int type, const Address &address) {
  FileDescriptor fd(socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  const sockaddr_in target = toSocketAddress(address);
  if (!fd.isOpen() ||
      setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd.get(), reinterpret_cast<const sockaddr *>(&target),
           sizeof target) != 0)
    return socketError("bind to", address);
  return fd;
}

constexpr int wholeSeconds(Duration d) {
  return static_cast<int>(d.millis() / 1000);
}

void setOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof value);
}

// Disables Nagle's algorithm for small messages and sets the timeouts that fail
// the connection soon after the network path to the peer is lost.
void setStreamOptions(int fd) {
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(UnacknowledgedTimeout.millis()));
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, wholeSeconds(KeepAliveIdle));
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, wholeSeconds(KeepAlivePeriod));
  setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

} // namespace

Result<FileDescriptor> listenTcp(const Address &address) {
  auto fd = createBoundSocket(SOCK_STREAM, address);
  if (isOk(fd) && listen(valueOf(fd).get(), Backlog) != 0)
    return socketError("listen on", address);
  return fd;
}

Result<FileDescriptor> bindUdp(const Address &address) {
  return createBoundSocket(SOCK_DGRAM, address);
}

Result<FileDescriptor> connectTcp(const Address &address) {
  FileDescriptor fd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.isOpen())
    return socketError("open a socket to", address);
  setStreamOptions(fd.get());
  const sockaddr_in target = toSocketAddress(address);
  if (connect(fd.get(), reinterpret_cast<const sockaddr *>(&target),
              sizeof target) != 0 &&
      errno != EINPROGRESS)
    return socketError("connect to", address);
  return fd;
}

FileDescriptor acceptTcp(int listener) {
  FileDescriptor fd(
      accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd.isOpen())
    setStreamOptions(fd.get());
  return fd;
}

Address localAddress(int fd) {
  sockaddr_in bound{};
  socklen_t n = sizeof bound;
  getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &n);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &bound.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(bound.sin_port)};
}

int pendingError(int fd) {
  int ec = 0;
  socklen_t n = sizeof ec;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &n);
  return ec;
}

void sendDatagram(int fd, const Address &to, absl::string_view bytes) {
  const sockaddr_in target = toSocketAddress(to);
  (void)sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr *>(&target), sizeof target);
}

} // namespace jujube::runtime
