#include "jujube/http/connection.h"

#include <sys/socket.h>

#include <utility>

namespace jujube::http {

bool Connection::hasInput() const {
  if (Stream)
    return Stream->hasInput();
  char first = 0;
  return recv(Socket.get(), &first, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

SocketStream *Connection::stream() {
  if (Stream)
    return Stream.get();
  if (!Tls) {
    Stream = std::make_unique<SocketStream>(Socket.get(), Timeout);
    return Stream.get();
  }
  std::unique_ptr<TlsStream> secure =
      TlsStream::create(Tls, Socket.get(), Timeout);
  if (secure && secure->accept())
    Stream = std::move(secure);
  return Stream.get();
}

} // namespace jujube::http
