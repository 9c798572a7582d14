#include "jujube/wire/transport.h"

#include <sys/socket.h>

#include <array>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"
#include "jujube/runtime/sockets.h"
#include "jujube/wire/connection.h"

namespace jujube::wire {
namespace {

constexpr std::size_t ChallengeBytes = 16;
constexpr std::size_t DigestChars = 64;
constexpr std::size_t MaxReceivedDatagram = 65536;
// Limits of the payloads queued for a peer until its connection is ready: their
// number and total bytes.
constexpr std::size_t MaxQueuedPayloads = 4096;
constexpr std::size_t MaxQueuedBytes = MaxBufferedBytes;

// A connection accepted from another process.
struct Inbound {
  std::unique_ptr<Connection> Stream;
  std::string Challenge;
  bool IsAuthenticated = false;
};

// A connection opened by this process, or the delay before the next one.
struct Outbound {
  std::unique_ptr<Connection> Stream;
  // True once the response to the listener's challenge has been sent.
  bool IsReady = false;
  std::vector<std::string> Queued;
  std::size_t QueuedBytes = 0;
  std::optional<runtime::TimerId> HandshakeTimer;
  Instant NoRetryBefore;
};

// The state of the transport task, which owns all sockets.
class Transport {
public:
  Transport(const TransportOptions &options, TransportInbox inbox,
            runtime::TaskContext &context)
      : Settings(options), Inbox(std::move(inbox)), Loop(context.loop()) {}

  Status open() {
    auto listener = runtime::listenTcp(Settings.Listen);
    auto datagrams = runtime::bindUdp(Settings.Listen);
    if (!isOk(listener))
      return errorOf(listener);
    if (!isOk(datagrams))
      return errorOf(datagrams);
    Listener = valueOf(std::move(listener));
    Datagrams = valueOf(std::move(datagrams));
    Loop.watch(Listener.get(), POLLIN, [this](short) { acceptPeer(); });
    Loop.watch(Datagrams.get(), POLLIN, [this](short) { receiveDatagram(); });
    return Ok{};
  }

  void send(Packet packet) {
    if (packet.Via == Channel::Datagram &&
        packet.Payload.size() <= MaxDatagramBytes) {
      runtime::sendDatagram(
          Datagrams.get(), packet.To,
          absl::StrCat(keyedDigest(Settings.FleetToken, packet.Payload),
                       packet.Payload));
      return;
    }
    Outbound &peer = OutboundPeers[packet.To];
    if (peer.IsReady) {
      (void)peer.Stream->send(packet.Payload);
      return;
    }
    if (!peer.Stream && Loop.now() < peer.NoRetryBefore) {
      (void)Inbox->post(PeerLost{packet.To});
      return;
    }
    enqueue(peer, std::move(packet.Payload));
    if (!peer.Stream)
      connect(packet.To, peer);
  }

private:
  static void enqueue(Outbound &peer, std::string payload) {
    if (peer.Queued.size() >= MaxQueuedPayloads ||
        peer.QueuedBytes + payload.size() > MaxQueuedBytes)
      return;
    peer.QueuedBytes += payload.size();
    peer.Queued.push_back(std::move(payload));
  }

  void connect(const Address &to, Outbound &peer) {
    auto fd = runtime::connectTcp(to);
    if (!isOk(fd)) {
      dropPeer(to);
      return;
    }
    peer.Stream = std::make_unique<Connection>(
        Loop, valueOf(std::move(fd)),
        Connection::Hooks{[] {},
                          [this, to](const std::string &challenge) {
                            respondToChallenge(to, challenge);
                          },
                          [this, to] { dropPeer(to); }});
    peer.HandshakeTimer =
        Loop.callAt(Loop.now() + HandshakeTimeout, [this, to] {
          OutboundPeers[to].HandshakeTimer.reset();
          dropPeer(to);
        });
  }

  void respondToChallenge(const Address &to, const std::string &challenge) {
    Outbound &peer = OutboundPeers[to];
    if (peer.IsReady)
      return; // A listener sends nothing but its challenge.
    (void)peer.Stream->send(keyedDigest(Settings.FleetToken, challenge));
    peer.IsReady = true;
    cancelHandshakeTimer(peer);
    for (const std::string &payload : peer.Queued)
      (void)peer.Stream->send(payload);
    peer.Queued.clear();
    peer.QueuedBytes = 0;
  }

  void cancelHandshakeTimer(Outbound &peer) {
    if (peer.HandshakeTimer)
      Loop.cancel(*peer.HandshakeTimer);
    peer.HandshakeTimer.reset();
  }

  // Drops the connection to a peer and its queued payloads, and reports the
  // loss.
  void dropPeer(const Address &to) {
    Outbound &peer = OutboundPeers[to];
    cancelHandshakeTimer(peer);
    retire(std::move(peer.Stream));
    peer = Outbound{};
    peer.NoRetryBefore = Loop.now() + ReconnectDelay;
    (void)Inbox->post(PeerLost{to});
  }

  void deliver(std::string payload) {
    (void)Inbox->post(Delivery{std::move(payload)});
  }

  void acceptPeer() {
    runtime::FileDescriptor fd = runtime::acceptTcp(Listener.get());
    if (!fd.isOpen())
      return;
    InboundPeers.emplace_back();
    const auto it = std::prev(InboundPeers.end());
    it->Challenge = randomHex(ChallengeBytes);
    it->Stream = std::make_unique<Connection>(
        Loop, std::move(fd),
        Connection::Hooks{[] {},
                          [this, it](std::string payload) {
                            receiveFrame(*it, std::move(payload));
                          },
                          [this, it] {
                            retire(std::move(it->Stream));
                            InboundPeers.erase(it);
                          }});
    (void)it->Stream->send(it->Challenge);
  }

  // Until the client is authenticated, each frame is taken as its response to
  // the challenge; a wrong response is ignored.
  void receiveFrame(Inbound &client, std::string payload) {
    if (client.IsAuthenticated) {
      deliver(std::move(payload));
      return;
    }
    client.IsAuthenticated = equalDigests(
        payload, keyedDigest(Settings.FleetToken, client.Challenge));
  }

  void receiveDatagram() {
    std::array<char, MaxReceivedDatagram> buf;
    const ssize_t n = recv(Datagrams.get(), buf.data(), buf.size(), 0);
    if (n < static_cast<ssize_t>(DigestChars))
      return;
    const absl::string_view all(buf.data(), static_cast<std::size_t>(n));
    const absl::string_view payload = all.substr(DigestChars);
    if (equalDigests(all.substr(0, DigestChars),
                     keyedDigest(Settings.FleetToken, payload)))
      deliver(std::string(payload));
  }

  // Destroys a connection in the next turn of the loop, as one of its hooks may
  // be running.
  void retire(std::unique_ptr<Connection> connection) {
    if (!connection)
      return;
    connection->abandon();
    if (Retired.empty())
      Loop.callAt(Loop.now(), [this] { Retired.clear(); });
    Retired.push_back(std::move(connection));
  }

  const TransportOptions &Settings;
  TransportInbox Inbox;
  runtime::PollLoop &Loop;
  runtime::FileDescriptor Listener;
  runtime::FileDescriptor Datagrams;
  std::map<Address, Outbound> OutboundPeers;
  std::list<Inbound> InboundPeers;
  std::vector<std::unique_ptr<Connection>> Retired;
};

} // namespace

runtime::ChildSpec transportTask(TransportOptions options, PacketMailbox outbox,
                                 TransportInbox inbox) {
  return {"transport",
          [options = std::move(options), outbox = std::move(outbox),
           inbox = std::move(inbox)](runtime::TaskContext &context) -> Status {
            Transport transport(options, inbox, context);
            if (Status status = transport.open(); !isOk(status))
              return status;
            context.loop().watchMailbox<Packet>(outbox, [&](Packet packet) {
              transport.send(std::move(packet));
            });
            return context.loop().run();
          }};
}

} // namespace jujube::wire
