// The task that sends and receives packets between the processes of the system.
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

// The protocol that carries a packet.
enum class Channel {
  // TCP: packets arrive in order while the connection lasts.
  Stream,
  // UDP: for small periodic messages, each of which supersedes the last.
  Datagram,
};

inline constexpr NameTable<Channel, 2> ChannelNames = {{
    {Channel::Stream, "stream"},
    {Channel::Datagram, "datagram"},
}};
static_assert(isComplete(ChannelNames));

// Largest payload sent as a datagram; larger ones use Channel::Stream.
inline constexpr std::size_t MaxDatagramBytes = 1200;

// A peer must accept a connection and send its challenge within this duration.
// The kernel retransmits a lost SYN only after a second; a new attempt reaches
// a peer whose machine has just come back sooner.
inline constexpr Duration HandshakeTimeout = Duration::millis(300);
// Delay before reconnecting to an unreachable peer: the heartbeat interval of
// the consensus groups.
inline constexpr Duration ReconnectDelay = Duration::millis(100);

// An encoded message for another process. Delivery is best effort: packets are
// dropped while the receiver is unreachable.
struct Packet {
  Address To;
  Channel Via = Channel::Stream;
  std::string Payload;
};

using PacketMailbox = runtime::MailboxPtr<Packet>;

struct TransportOptions {
  // The address to listen on, for both TCP and UDP.
  Address Listen;
  // The secret shared by all processes of the system. A connecting peer proves
  // knowledge of it by an HMAC of the listener's challenge; each datagram
  // carries an HMAC of its payload.
  std::string FleetToken;
};

// A payload received from another process.
struct Delivery {
  std::string Payload;
};

// A peer is unreachable: its connection failed, or a packet for it was dropped
// within ReconnectDelay of a failed connection. Packets sent to it earlier may
// or may not have arrived.
struct PeerLost {
  Address Peer;
};

// An event that the transport reports to the task that owns the inbox.
using TransportEvent = std::variant<Delivery, PeerLost>;
using TransportInbox = runtime::MailboxPtr<TransportEvent>;

// Returns the spec of the transport task, which listens, sends the packets
// posted to `outbox` and posts events to `inbox`. Events are dropped while the
// inbox is full; callers recover by their timeouts.
runtime::ChildSpec transportTask(TransportOptions options, PacketMailbox outbox,
                                 TransportInbox inbox);

} // namespace jujube::wire

#endif // JUJUBE_WIRE_TRANSPORT_H_
