// Byte streams over sockets for the HTTP library, plain and with TLS. They
// block in poll(2) and buffer the writes of a response.
#ifndef JUJUBE_HTTP_STREAM_H_
#define JUJUBE_HTTP_STREAM_H_

#include <openssl/ssl.h>

#include <memory>
#include <string>

#include "httplib.h"
#include "jujube/base/clock.h"

namespace jujube::http {

// A stream over a connected, non-blocking socket that the caller owns.
class SocketStream : public httplib::Stream {
public:
  SocketStream(int fd, Duration timeout);
  SocketStream(const SocketStream &) = delete;
  SocketStream &operator=(const SocketStream &) = delete;

  // Waits until input is available; false if `span` has passed or the peer has
  // closed the connection.
  bool waitForRequest(Duration span);
  // Returns true if input can be read without blocking.
  virtual bool hasInput() const;
  // Shuts down the sending side and discards a bounded amount of input until
  // the peer closes the connection.
  void drain();
  // Sends the buffered output; false if the connection is lost.
  bool flush();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *ptr, size_t size) override;
  ssize_t write(const char *ptr, size_t size) override;
  void get_remote_ip_and_port(std::string &ip, int &port) const override;
  void get_local_ip_and_port(std::string &ip, int &port) const override;
  socket_t socket() const override { return Fd; }

protected:
  // Like recv(2) and send(2), but wait for readiness up to the timeout.
  virtual ssize_t receive(char *ptr, size_t size);
  virtual ssize_t transmit(const char *ptr, size_t size);
  bool waitFor(short events, Duration span) const;
  Duration timeout() const { return Timeout; }

private:
  static constexpr std::size_t InputBytes = 4096;
  // A larger output buffer is flushed before the response is complete.
  static constexpr std::size_t MaxOutputBytes = std::size_t{64} << 10;

  int Fd;
  Duration Timeout;
  std::string Input;
  std::size_t InputUsed = 0;
  std::string Output;
};

struct SslDeleter {
  void operator()(SSL *ssl) const { SSL_free(ssl); }
  void operator()(SSL_CTX *context) const { SSL_CTX_free(context); }
};
using SslPtr = std::unique_ptr<SSL, SslDeleter>;
using SslContextPtr = std::unique_ptr<SSL_CTX, SslDeleter>;

// The server's side of a TLS connection.
class TlsStream : public SocketStream {
public:
  // Null if TLS can't be set up for the socket.
  static std::unique_ptr<TlsStream> create(SSL_CTX *context, int fd,
                                           Duration timeout);
  // Sends the close_notify alert.
  ~TlsStream() override;

  // Performs the server's handshake; false if it fails.
  bool accept();
  bool hasInput() const override;

protected:
  ssize_t receive(char *ptr, size_t size) override;
  ssize_t transmit(const char *ptr, size_t size) override;

private:
  TlsStream(SslPtr ssl, int fd, Duration timeout)
      : SocketStream(fd, timeout), Ssl(std::move(ssl)) {}

  // Repeats an OpenSSL call until it completes, waiting for the readiness that
  // it requires.
  template <typename Call> int complete(Call call);

  SslPtr Ssl;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_STREAM_H_
