// Sockets as results.
#ifndef JUJUBE_RUNTIME_SOCKETS_H_
#define JUJUBE_RUNTIME_SOCKETS_H_

#include <sys/socket.h>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/file_descriptor.h"

namespace jujube::runtime {

// A connection fails once the peer has acknowledged nothing of what was sent
// for this span. It bounds how long the kernel's retransmission back-off delays
// messages after a path has healed, as the next connection starts afresh.
inline constexpr Duration UnacknowledgedTimeout = Duration::seconds(3);
// An idle connection is probed after this span, and then once in a period; it
// fails after this many probes without an answer.
inline constexpr Duration KeepAliveIdle = Duration::seconds(5);
inline constexpr Duration KeepAlivePeriod = Duration::seconds(1);
inline constexpr int KeepAliveProbes = 3;

// A non-blocking TCP socket that listens, or a UDP socket that is bound.
Result<FileDescriptor> listenTcp(const Address &address);
Result<FileDescriptor> bindUdp(const Address &address);

// A non-blocking TCP socket that is connecting, with the bounds above.
Result<FileDescriptor> connectTcp(const Address &address);

// Accepts a connection as a non-blocking socket with the bounds above; not open
// if there is none.
FileDescriptor acceptTcp(int listener);

// Where a bound socket listens.
Address localAddress(int fd);

// The error that a connecting socket ended with; 0 if it is connected.
int pendingError(int fd);

// Sends one datagram; lost ones are not reported.
void sendDatagram(int fd, const Address &to, absl::string_view bytes);

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_SOCKETS_H_
