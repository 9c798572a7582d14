// TCP and UDP sockets whose errors are returned as results.
#ifndef JUJUBE_RUNTIME_SOCKETS_H_
#define JUJUBE_RUNTIME_SOCKETS_H_

#include <sys/socket.h>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/file_descriptor.h"

namespace jujube::runtime {

// A connection fails if sent data stays unacknowledged for this time. A new
// connection starts without the kernel's retransmission backoff, so this bounds
// how long the backoff delays messages after a network partition has healed.
inline constexpr Duration UnacknowledgedTimeout = Duration::seconds(3);
// An idle connection is probed after KeepAliveIdle and then every
// KeepAlivePeriod. It fails after KeepAliveProbes unanswered probes.
inline constexpr Duration KeepAliveIdle = Duration::seconds(5);
inline constexpr Duration KeepAlivePeriod = Duration::seconds(1);
inline constexpr int KeepAliveProbes = 3;

// Create a non-blocking socket that listens on, or is bound to, `address`.
Result<FileDescriptor> listenTcp(const Address &address);
Result<FileDescriptor> bindUdp(const Address &address);

// Starts to connect a non-blocking TCP socket, with the timeouts above. It is
// writable once the connection is established or has failed; see
// pendingError().
Result<FileDescriptor> connectTcp(const Address &address);

// Accepts a connection as a non-blocking socket with the timeouts above. The
// result is not open if no connection is pending.
FileDescriptor acceptTcp(int listener);

// Returns the address to which a socket is bound.
Address localAddress(int fd);

// Returns and clears the errno value of a failed connection attempt; 0 if it
// succeeded.
int pendingError(int fd);

// Sends a datagram. Errors and losses are not reported.
void sendDatagram(int fd, const Address &to, absl::string_view bytes);

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_SOCKETS_H_
