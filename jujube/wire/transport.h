// The task that carries messages between the processes of the system.
#ifndef JUJUBE_WIRE_TRANSPORT_H_
#define JUJUBE_WIRE_TRANSPORT_H_

#include <cstddef>
#include <memory>
#include <string>
#include <variant>

#include "absl/strings/string_view.h"
#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/supervisor.h"
#include "jujube/runtime/task.h"

namespace jujube::wire {

// How a packet travels.
enum class Channel {
  // TCP: in order while the connection lasts.
  Stream,
  // UDP: for small messages that the next one replaces.
  Datagram,
};

inline constexpr NameTable<Channel, 2> ChannelNames = {{
    {Channel::Stream, "stream"},
    {Channel::Datagram, "datagram"},
}};
static_assert(isComplete(ChannelNames));

// Largest payload that goes out as a datagram; longer ones go by stream.
inline constexpr std::size_t MaxDatagramBytes = 1200;

// A peer has to accept a connection and send its challenge within this span.
// Source: the kernel sends a lost opening packet again only after a second; a
// peer whose machine has just come back is reached sooner by a new attempt.
inline constexpr Duration OpenTimeout = Duration::millis(300);
// A peer that could not be reached is not tried again for this span. Source:
// the heartbeat of the groups.
inline constexpr Duration ReconnectPause = Duration::millis(100);

// An encoded message for another process. Delivery is not certain: packets are
// dropped while the receiver can't be reached.
struct Packet {
  Address To;
  Channel Via = Channel::Stream;
  std::string Payload;
};

using PacketMailbox = runtime::MailboxPtr<Packet>;

struct TransportOptions {
  // Where it listens, on TCP and UDP.
  Address Listen;
  // Secret that all processes of the system share. Peers prove that they know
  // it with an HMAC over the listener's challenge; datagrams carry an HMAC.
  std::string FleetToken;
};

// A payload that arrived from another process.
struct Delivery {
  std::string Payload;
};

// A peer can't be reached: its connection failed, or a packet for it was
// dropped because the last attempt to connect has just failed. What was sent
// to it may have arrived, but is not waited for.
struct PeerLost {
  Address Peer;
};

// What the transport tells the task that owns the messages.
using TransportEvent = std::variant<Delivery, PeerLost>;
using TransportInbox = runtime::MailboxPtr<TransportEvent>;

// Returns the child that listens, sends what is posted to `outbox` and posts
// what happens to `inbox`. A full inbox drops; senders have timeouts.
runtime::ChildSpec transportTask(TransportOptions options, PacketMailbox outbox,
                                 TransportInbox inbox);

} // namespace jujube::wire

#endif // JUJUBE_WIRE_TRANSPORT_H_
