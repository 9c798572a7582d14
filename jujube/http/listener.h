// Listening TCP sockets.
#ifndef JUJUBE_HTTP_LISTENER_H_
#define JUJUBE_HTTP_LISTENER_H_

#include <cstdint>

#include "jujube/base/address.h"
#include "jujube/base/result.h"
#include "jujube/runtime/file_descriptor.h"

namespace jujube::http {

// A non-blocking listening socket and the port that it has.
struct Listener {
  runtime::FileDescriptor Socket;
  uint16_t Port = 0;

  // Fails with Unavailable if the address can't be had.
  static Result<Listener> open(const Address &address);

  // What accept() came back with.
  enum class Outcome {
    Accepted,
    // No connection waits.
    Empty,
    // The process has no descriptors left; the connection goes on waiting.
    NoDescriptors,
    Failed
  };

  // Takes the next connection, as a non-blocking socket.
  Outcome accept(runtime::FileDescriptor &connection) const;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_LISTENER_H_
