#include "jujube/http/channel.h"

#include <openssl/err.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace jujube::http {
namespace {

Transfer outcomeOf(ssize_t n, short waitFor) {
  if (n > 0)
    return {static_cast<std::size_t>(n)};
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return {0, false, waitFor};
  return {0, true};
}

// The server's side of a TLS connection. The handshake is part of the first
// reads and writes.
class TlsChannel : public Channel {
public:
  TlsChannel(runtime::FileDescriptor socket, SslPtr ssl)
      : Channel(std::move(socket)), Ssl(std::move(ssl)) {}
  // Sends the close_notify alert.
  ~TlsChannel() override {
    (void)SSL_shutdown(Ssl.get());
    ERR_clear_error();
  }

  Transfer read(char *ptr, std::size_t size) override {
    ERR_clear_error();
    return outcome(SSL_read(Ssl.get(), ptr, lengthOf(size)));
  }
  Transfer write(std::string_view bytes) override {
    ERR_clear_error();
    return outcome(SSL_write(Ssl.get(), bytes.data(), lengthOf(bytes.size())));
  }

private:
  static int lengthOf(std::size_t size) {
    return static_cast<int>(std::min<std::size_t>(size, INT_MAX));
  }
  Transfer outcome(int n) {
    if (n > 0)
      return {static_cast<std::size_t>(n)};
    switch (SSL_get_error(Ssl.get(), n)) {
    case SSL_ERROR_WANT_READ:
      return {0, false, POLLIN};
    case SSL_ERROR_WANT_WRITE:
      return {0, false, POLLOUT};
    default:
      return {0, true};
    }
  }

  SslPtr Ssl;
};

} // namespace

std::unique_ptr<Channel> Channel::create(runtime::FileDescriptor socket,
                                         SSL_CTX *tls) {
  if (tls == nullptr)
    return std::make_unique<Channel>(std::move(socket));
  SslPtr ssl(SSL_new(tls));
  if (!ssl || SSL_set_fd(ssl.get(), socket.get()) != 1)
    return nullptr;
  // A write is repeated from another place in memory.
  SSL_set_mode(ssl.get(), SSL_MODE_ENABLE_PARTIAL_WRITE |
                              SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  SSL_set_accept_state(ssl.get());
  return std::make_unique<TlsChannel>(std::move(socket), std::move(ssl));
}

Transfer Channel::read(char *ptr, std::size_t size) {
  return outcomeOf(recv(fd(), ptr, size, MSG_DONTWAIT), POLLIN);
}

Transfer Channel::write(std::string_view bytes) {
  return outcomeOf(
      send(fd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL),
      POLLOUT);
}

void Channel::shutdownSending() { (void)shutdown(fd(), SHUT_WR); }

} // namespace jujube::http
