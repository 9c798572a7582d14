// Listening TCP sockets.
#ifndef JUJUBE_HTTP_LISTENER_H_
#define JUJUBE_HTTP_LISTENER_H_

#include <cstdint>

#include "jujube/base/address.h"
#include "jujube/base/result.h"
#include "jujube/runtime/file_descriptor.h"

namespace jujube::http {

// A non-blocking listening socket and its port.
struct Listener {
  runtime::FileDescriptor Socket;
  uint16_t Port = 0;

  // Returns Unavailable if the address can't be bound.
  static Result<Listener> open(const Address &address);

  // The result of accept().
  enum class Outcome {
    Accepted,
    // No connection is pending.
    Empty,
    // No file descriptor or memory is left; the connection stays pending.
    NoDescriptors,
    Failed
  };

  // Accepts the next connection as a non-blocking socket.
  Outcome accept(runtime::FileDescriptor &connection) const;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_LISTENER_H_
