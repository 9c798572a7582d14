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
constexpr std::size_t MaxUdpBytes = 65536;
// Most payloads that wait for a connection to open, and their bytes.
constexpr std::size_t MaxWaiting = 4096;
constexpr std::size_t MaxWaitingBytes = MaxBufferedBytes;

// A connection that another process opened to this one.
struct Inbound {
  std::unique_ptr<Connection> Stream;
  std::string Challenge;
  bool IsTrusted = false;
};

// A connection that this process opened.
struct Outbound {
  std::unique_ptr<Connection> Stream;
  // True once the answer to the listener's challenge was sent.
  bool IsReady = false;
  std::vector<std::string> Waiting;
  std::size_t WaitingBytes = 0;
  std::optional<runtime::TimerId> OpenTimer;
  Instant NoRetryBefore;
};

// The state of the transport's task.
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
    Outbound &peer = Peers[packet.To];
    if (peer.IsReady) {
      (void)peer.Stream->send(packet.Payload);
      return;
    }
    if (!peer.Stream && Loop.now() < peer.NoRetryBefore) {
      (void)Inbox->post(PeerLost{packet.To});
      return;
    }
    queue(peer, std::move(packet.Payload));
    if (!peer.Stream)
      connect(packet.To, peer);
  }

private:
  static void queue(Outbound &peer, std::string payload) {
    if (peer.Waiting.size() >= MaxWaiting ||
        peer.WaitingBytes + payload.size() > MaxWaitingBytes)
      return;
    peer.WaitingBytes += payload.size();
    peer.Waiting.push_back(std::move(payload));
  }

  void connect(const Address &to, Outbound &peer) {
    auto fd = runtime::connectTcp(to);
    if (!isOk(fd)) {
      dropPeer(to);
      return;
    }
    peer.Stream = std::make_unique<Connection>(
        Loop, valueOf(std::move(fd)),
        Connection::Hooks{
            [] {},
            [this, to](const std::string &challenge) { answer(to, challenge); },
            [this, to] { dropPeer(to); }});
    peer.OpenTimer = Loop.callAt(Loop.now() + OpenTimeout, [this, to] {
      Peers[to].OpenTimer.reset();
      dropPeer(to);
    });
  }

  void answer(const Address &to, const std::string &challenge) {
    Outbound &peer = Peers[to];
    if (peer.IsReady)
      return; // Listeners send nothing after their challenge.
    (void)peer.Stream->send(keyedDigest(Settings.FleetToken, challenge));
    peer.IsReady = true;
    cancelOpenTimer(peer);
    for (const std::string &payload : peer.Waiting)
      (void)peer.Stream->send(payload);
    peer.Waiting.clear();
    peer.WaitingBytes = 0;
  }

  void cancelOpenTimer(Outbound &peer) {
    if (peer.OpenTimer)
      Loop.cancel(*peer.OpenTimer);
    peer.OpenTimer.reset();
  }

  // Forgets a connection; its object lives until the next turn of the loop.
  void dropPeer(const Address &to) {
    Outbound &peer = Peers[to];
    cancelOpenTimer(peer);
    retire(std::move(peer.Stream));
    peer = Outbound{};
    peer.NoRetryBefore = Loop.now() + ReconnectPause;
    (void)Inbox->post(PeerLost{to});
  }

  void deliver(std::string payload) {
    (void)Inbox->post(Delivery{std::move(payload)});
  }

  void acceptPeer() {
    runtime::FileDescriptor fd = runtime::acceptTcp(Listener.get());
    if (!fd.isOpen())
      return;
    Clients.emplace_back();
    const auto it = std::prev(Clients.end());
    it->Challenge = randomHex(ChallengeBytes);
    it->Stream = std::make_unique<Connection>(
        Loop, std::move(fd),
        Connection::Hooks{[] {},
                          [this, it](std::string payload) {
                            receiveFrame(*it, std::move(payload));
                          },
                          [this, it] {
                            retire(std::move(it->Stream));
                            Clients.erase(it);
                          }});
    (void)it->Stream->send(it->Challenge);
  }

  // What a peer sends before its proof is read as the proof, and ignored if it
  // is none.
  void receiveFrame(Inbound &client, std::string payload) {
    if (client.IsTrusted) {
      deliver(std::move(payload));
      return;
    }
    client.IsTrusted = equalDigests(
        payload, keyedDigest(Settings.FleetToken, client.Challenge));
  }

  void receiveDatagram() {
    std::array<char, MaxUdpBytes> buf;
    const ssize_t n = recv(Datagrams.get(), buf.data(), buf.size(), 0);
    if (n < static_cast<ssize_t>(DigestChars))
      return;
    const absl::string_view all(buf.data(), static_cast<std::size_t>(n));
    const absl::string_view payload = all.substr(DigestChars);
    if (equalDigests(all.substr(0, DigestChars),
                     keyedDigest(Settings.FleetToken, payload)))
      deliver(std::string(payload));
  }

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
  std::map<Address, Outbound> Peers;
  std::list<Inbound> Clients;
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
