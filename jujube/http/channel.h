// Non-blocking byte channels over connected sockets, plain and with TLS.
#ifndef JUJUBE_HTTP_CHANNEL_H_
#define JUJUBE_HTTP_CHANNEL_H_

#include <openssl/ssl.h>

#include <cstddef>
#include <memory>
#include <string_view>
#include <utility>

#include "jujube/runtime/file_descriptor.h"

namespace jujube::http {

struct SslDeleter {
  void operator()(SSL *ssl) const { SSL_free(ssl); }
  void operator()(SSL_CTX *context) const { SSL_CTX_free(context); }
};
using SslPtr = std::unique_ptr<SSL, SslDeleter>;
using SslContextPtr = std::unique_ptr<SSL_CTX, SslDeleter>;

// The outcome of one attempt to read or write.
struct Transfer {
  // Bytes that were transferred; 0 if none could be.
  std::size_t Bytes = 0;
  // The peer has closed the connection, or it has failed.
  bool IsClosed = false;
  // The poll(2) events after which the attempt is worth repeating, if Bytes is
  // 0 and the channel is open.
  short WaitFor = 0;
};

// Owns a connected, non-blocking socket. Owned by one task.
class Channel {
public:
  explicit Channel(runtime::FileDescriptor socket)
      : Socket(std::move(socket)) {}
  virtual ~Channel() = default;
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  // `tls` is null for a plain channel; otherwise it outlives the channel. Null
  // if TLS can't be set up for the socket.
  static std::unique_ptr<Channel> create(runtime::FileDescriptor socket,
                                         SSL_CTX *tls);

  virtual Transfer read(char *ptr, std::size_t size);
  virtual Transfer write(std::string_view bytes);
  // Ends the sending direction; what the peer still sends can be read.
  void shutdownSending();
  int fd() const { return Socket.get(); }

private:
  runtime::FileDescriptor Socket;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_CHANNEL_H_
