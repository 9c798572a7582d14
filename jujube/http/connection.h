// One connection of a client, handed between the server's task, which owns it
// while no request has arrived, and a thread that serves its requests.
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

  // True if the peer has sent something that is not read yet.
  bool hasInput() const;

  // The stream of requests; the first call completes the TLS handshake. Null if
  // the peer does not.
  SocketStream *stream();

private:
  // Destroyed after the stream that uses it.
  runtime::FileDescriptor Socket;
  SSL_CTX *Tls;
  Duration Timeout;
  std::unique_ptr<SocketStream> Stream;
};

using ConnectionPtr = std::unique_ptr<Connection>;

} // namespace jujube::http

#endif // JUJUBE_HTTP_CONNECTION_H_
