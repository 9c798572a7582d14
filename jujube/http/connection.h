// A client connection. The server's task owns it while it is idle; a pool
// thread owns it while it serves requests.
#ifndef JUJUBE_HTTP_CONNECTION_H_
#define JUJUBE_HTTP_CONNECTION_H_

#include <memory>

#include "jujube/base/clock.h"
#include "jujube/http/stream.h"
#include "jujube/runtime/file_descriptor.h"

namespace jujube::http {

class Connection {
public:
  // `tls` is null for plain HTTP; otherwise it outlives the connection.
  Connection(runtime::FileDescriptor socket, SSL_CTX *tls, Duration timeout)
      : Socket(std::move(socket)), Tls(tls), Timeout(timeout) {}

  int fd() const { return Socket.get(); }

  // Returns true if unread input is available.
  bool hasInput() const;

  // Returns the stream of requests; the first call performs the TLS handshake.
  // Null if the handshake fails.
  SocketStream *stream();

private:
  // Declared before the stream that uses it, so that it is destroyed later.
  runtime::FileDescriptor Socket;
  SSL_CTX *Tls;
  Duration Timeout;
  std::unique_ptr<SocketStream> Stream;
};

using ConnectionPtr = std::unique_ptr<Connection>;

} // namespace jujube::http

#endif // JUJUBE_HTTP_CONNECTION_H_
