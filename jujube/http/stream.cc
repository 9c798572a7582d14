#include "jujube/http/stream.h"

#include <arpa/inet.h>
#include <openssl/err.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace jujube::http {
namespace {

// Limits on the input that drain() discards.
constexpr int MaxDrainReads = 1024;
constexpr std::size_t DrainBytes = std::size_t{16} << 10;
constexpr Duration DrainPause = Duration::seconds(1);

using AddressCall = int (*)(int, sockaddr *, socklen_t *);

void formatAddress(AddressCall call, int fd, std::string &ip, int &port) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (call(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
    return;
  char text[INET_ADDRSTRLEN] = {};
  if (inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text)))
    ip = text;
  port = ntohs(address.sin_port);
}

} // namespace

SocketStream::SocketStream(int fd, Duration timeout)
    : Fd(fd), Timeout(timeout) {}

bool SocketStream::waitForRequest(Duration span) {
  if (hasInput())
    return true;
  if (!waitFor(POLLIN, span))
    return false;
  char first = 0;
  return recv(Fd, &first, 1, MSG_PEEK) == 1;
}

bool SocketStream::hasInput() const {
  char first = 0;
  return InputUsed < Input.size() ||
         recv(Fd, &first, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

bool SocketStream::flush() {
  std::size_t sent = 0;
  while (sent < Output.size()) {
    const ssize_t n = transmit(Output.data() + sent, Output.size() - sent);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  Output.clear();
  return true;
}

void SocketStream::drain() {
  (void)shutdown(Fd, SHUT_WR);
  std::string discarded(DrainBytes, '\0');
  int reads = 0;
  while (reads < MaxDrainReads && waitFor(POLLIN, DrainPause) &&
         receive(discarded.data(), discarded.size()) > 0)
    ++reads;
}

bool SocketStream::is_readable() const {
  return InputUsed < Input.size() || waitFor(POLLIN, Timeout);
}

bool SocketStream::is_writable() const { return waitFor(POLLOUT, Timeout); }

ssize_t SocketStream::read(char *ptr, size_t size) {
  if (InputUsed == Input.size()) {
    if (!flush())
      return -1;
    Input.resize(InputBytes);
    InputUsed = 0;
    const ssize_t n = receive(Input.data(), Input.size());
    Input.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    if (n <= 0)
      return n;
  }
  const std::size_t n = std::min(size, Input.size() - InputUsed);
  std::memcpy(ptr, Input.data() + InputUsed, n);
  InputUsed += n;
  return static_cast<ssize_t>(n);
}

ssize_t SocketStream::write(const char *ptr, size_t size) {
  Output.append(ptr, size);
  if (Output.size() > MaxOutputBytes && !flush())
    return -1;
  return static_cast<ssize_t>(size);
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const {
  formatAddress(getpeername, Fd, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const {
  formatAddress(getsockname, Fd, ip, port);
}

ssize_t SocketStream::receive(char *ptr, size_t size) {
  if (!waitFor(POLLIN, Timeout))
    return -1;
  return recv(Fd, ptr, size, 0);
}

ssize_t SocketStream::transmit(const char *ptr, size_t size) {
  const ssize_t n = send(Fd, ptr, size, MSG_NOSIGNAL);
  if (n >= 0 || (errno != EAGAIN && errno != EINTR))
    return n;
  return waitFor(POLLOUT, Timeout) ? send(Fd, ptr, size, MSG_NOSIGNAL) : -1;
}

bool SocketStream::waitFor(short events, Duration span) const {
  pollfd watched{Fd, events, 0};
  int n = -1;
  do
    n = poll(&watched, 1, static_cast<int>(span.millis()));
  while (n < 0 && errno == EINTR);
  return n > 0;
}

std::unique_ptr<TlsStream> TlsStream::create(SSL_CTX *context, int fd,
                                             Duration timeout) {
  SslPtr ssl(SSL_new(context));
  if (!ssl || SSL_set_fd(ssl.get(), fd) != 1)
    return nullptr;
  return std::unique_ptr<TlsStream>(new TlsStream(std::move(ssl), fd, timeout));
}

TlsStream::~TlsStream() {
  (void)flush();
  (void)SSL_shutdown(Ssl.get());
  ERR_clear_error();
}

template <typename Call> int TlsStream::complete(Call call) {
  while (true) {
    ERR_clear_error();
    const int n = call();
    if (n > 0)
      return n;
    const int reason = SSL_get_error(Ssl.get(), n);
    if (reason != SSL_ERROR_WANT_READ && reason != SSL_ERROR_WANT_WRITE)
      return reason == SSL_ERROR_ZERO_RETURN ? 0 : -1;
    const short events = reason == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT;
    if (!waitFor(events, timeout()))
      return -1;
  }
}

bool TlsStream::accept() {
  return complete([this] { return SSL_accept(Ssl.get()); }) > 0;
}

bool TlsStream::hasInput() const {
  return SSL_pending(Ssl.get()) > 0 || SocketStream::hasInput();
}

ssize_t TlsStream::receive(char *ptr, size_t size) {
  return complete(
      [&] { return SSL_read(Ssl.get(), ptr, static_cast<int>(size)); });
}

ssize_t TlsStream::transmit(const char *ptr, size_t size) {
  return complete(
      [&] { return SSL_write(Ssl.get(), ptr, static_cast<int>(size)); });
}

} // namespace jujube::http
