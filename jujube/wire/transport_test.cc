#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/test/unit_test.hpp>

#include "jujube/runtime/sockets.h"
#include "jujube/runtime/supervisor.h"
#include "jujube/wire/connection.h"
#include "jujube/wire/domain_encoding.h"
#include "jujube/wire/framing.h"
#include "jujube/wire/transport.h"

namespace jujube::wire {
namespace {

constexpr Duration TestTimeout = Duration::seconds(20);

// A running transport task with its mailboxes.
struct Host {
  Address Listen;
  PacketMailbox Outbox = runtime::makeMailbox<Packet>(1000);
  TransportInbox Inbox = runtime::makeMailbox<TransportEvent>(1000);
  std::unique_ptr<runtime::Task> Running;

  Host(const Address &listen, const std::string &token) : Listen(listen) {
    runtime::ChildSpec child = transportTask({listen, token}, Outbox, Inbox);
    Running =
        valueOf(runtime::Task::start(child.Name, Clock::monotonic(), child.Body,
                                     [](const runtime::TaskExit &) {}));
  }

  // Sends `payload` repeatedly until `to` receives a payload, since packets may
  // be lost while `to` starts. Returns the received payload; empty on timeout.
  std::string sendUntilReceived(Host &to, Channel via,
                                const std::string &payload) {
    runtime::PollLoop loop(Clock::monotonic());
    std::string received;
    const Instant end = loop.now() + TestTimeout;
    loop.watchMailbox<TransportEvent>(
        to.Inbox, [&](const TransportEvent &event) {
          if (const auto *got = std::get_if<Delivery>(&event))
            received = got->Payload;
        });
    loop.callEvery(Duration::millis(20), [&] {
      if (received.empty())
        (void)Outbox->post(Packet{to.Listen, via, payload});
    });
    while (received.empty() && loop.now() < end)
      (void)loop.runOnce();
    return received;
  }
};

// Returns an address with a port chosen by the kernel, free at the time of the
// call.
Address freeAddress() {
  return runtime::localAddress(
      valueOf(runtime::listenTcp({"127.0.0.1", 0})).get());
}

BOOST_AUTO_TEST_SUITE(TransportSuite)

BOOST_AUTO_TEST_CASE(PacketsArriveOnBothChannels) {
  Host a(freeAddress(), "token");
  Host b(freeAddress(), "token");
  BOOST_TEST(a.sendUntilReceived(b, Channel::Stream, "hello") == "hello");
  BOOST_TEST(b.sendUntilReceived(a, Channel::Datagram, "beat") == "beat");
  const std::string large(2 << 20, 'x');
  BOOST_TEST((a.sendUntilReceived(b, Channel::Datagram, large) == large));
}

BOOST_AUTO_TEST_CASE(ReceiverThatRestartsIsReachedAgain) {
  Host a(freeAddress(), "token");
  const Address listen = freeAddress();
  {
    Host b(listen, "token");
    BOOST_TEST(a.sendUntilReceived(b, Channel::Stream, "one") == "one");
  }
  Host b(listen, "token");
  BOOST_TEST(a.sendUntilReceived(b, Channel::Stream, "two") == "two");
}

BOOST_AUTO_TEST_CASE(PeerWithWrongTokenIsIgnored) {
  Host untrusted(freeAddress(), "wrong");
  Host trusted(freeAddress(), "token");
  Host b(freeAddress(), "token");
  (void)untrusted.Outbox->post(Packet{b.Listen, Channel::Stream, "bad"});
  (void)untrusted.Outbox->post(Packet{b.Listen, Channel::Datagram, "bad"});
  BOOST_TEST(trusted.sendUntilReceived(b, Channel::Stream, "good") == "good");
  BOOST_TEST(trusted.sendUntilReceived(b, Channel::Datagram, "good") == "good");
}

// Sends a packet to `to` and returns the first peer reported as lost; port 0 if
// none is within the timeout.
Address firstLost(Host &host, const Address &to) {
  runtime::PollLoop loop(Clock::monotonic());
  Address lost;
  const Instant end = loop.now() + TestTimeout;
  loop.watchMailbox<TransportEvent>(host.Inbox, [&](const auto &event) {
    if (const auto *news = std::get_if<PeerLost>(&event))
      lost = news->Peer;
  });
  // Wakes the loop regularly, so that the deadline is checked.
  loop.callEvery(Duration::millis(100), [] {});
  (void)host.Outbox->post(Packet{to, Channel::Stream, "hello"});
  while (lost == Address{} && loop.now() < end)
    (void)loop.runOnce();
  return lost;
}

BOOST_AUTO_TEST_CASE(UnreachablePeerIsReported) {
  Host a(freeAddress(), "token");
  const Address unreachable = freeAddress();
  BOOST_TEST((firstLost(a, unreachable) == unreachable));
}

BOOST_AUTO_TEST_CASE(StoppedPeerIsReported) {
  Host a(freeAddress(), "token");
  const Address listen = freeAddress();
  {
    Host b(listen, "token");
    BOOST_TEST(a.sendUntilReceived(b, Channel::Stream, "one") == "one");
  }
  BOOST_TEST((firstLost(a, listen) == listen));
}

// An abandoned connection is destroyed in the next turn of the loop. Data that
// arrives in between must not reach the hooks, whose owner may be gone.
BOOST_AUTO_TEST_CASE(AbandonedConnectionCallsNoHook) {
  runtime::PollLoop loop(Clock::monotonic());
  const auto listener = valueOf(runtime::listenTcp({"127.0.0.1", 0}));
  bool isOpen = false;
  int frames = 0;
  int closes = 0;
  Connection abandoned(
      loop, valueOf(runtime::connectTcp(runtime::localAddress(listener.get()))),
      {[&] { isOpen = true; }, [&](const std::string &) { ++frames; },
       [&] { ++closes; }});
  loop.callEvery(Duration::millis(5), [] {});
  const Instant end = loop.now() + TestTimeout;
  while (!isOpen && loop.now() < end)
    BOOST_REQUIRE(isOk(loop.runOnce()));
  {
    Connection peer(loop, runtime::acceptTcp(listener.get()),
                    {[] {}, [](const std::string &) {}, [] {}});
    (void)peer.send("late challenge");
    BOOST_REQUIRE(isOk(loop.runOnce()));
    abandoned.abandon();
    (void)peer.send("later");
    BOOST_REQUIRE(isOk(loop.runOnce()));
  }
  const int before = frames;
  for (int i = 0; i < 5; ++i)
    BOOST_REQUIRE(isOk(loop.runOnce()));
  BOOST_TEST(frames == before);
  BOOST_TEST(closes == 0);
}

BOOST_AUTO_TEST_CASE(ConnectionWithoutChallengeTimesOut) {
  Host a(freeAddress(), "token");
  // The listener never calls accept(): the kernel still completes the TCP
  // handshake, as it does for a paused process.
  const auto listener = runtime::listenTcp({"127.0.0.1", 0});
  const Address silent = runtime::localAddress(valueOf(listener).get());
  BOOST_TEST((firstLost(a, silent) == silent));
}

// A SYN that is lost because the peer's machine is still down is retransmitted
// by the kernel only after a second. The transport must retry sooner.
BOOST_AUTO_TEST_CASE(ReconnectsBeforeTheKernelRetransmits) {
  constexpr Duration KernelRetransmission = Duration::seconds(1);
  BOOST_TEST(((HandshakeTimeout + ReconnectDelay) * 2 < KernelRetransmission));
}

// These options bound how long a connection outlives a cut network path.
BOOST_AUTO_TEST_CASE(SocketsHaveUserTimeoutAndKeepalive) {
  const auto listener = valueOf(runtime::listenTcp({"127.0.0.1", 0}));
  const auto client =
      valueOf(runtime::connectTcp(runtime::localAddress(listener.get())));
  pollfd ready{listener.get(), POLLIN, 0};
  BOOST_REQUIRE(poll(&ready, 1, static_cast<int>(TestTimeout.millis())) == 1);
  const runtime::FileDescriptor served = runtime::acceptTcp(listener.get());
  BOOST_REQUIRE(served.isOpen());
  for (const int fd : {client.get(), served.get()}) {
    int timeout = 0;
    int isProbed = 0;
    socklen_t n = sizeof timeout;
    getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &n);
    getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &isProbed, &n);
    BOOST_TEST(timeout == runtime::UnacknowledgedTimeout.millis());
    BOOST_TEST(isProbed != 0);
  }
}

BOOST_AUTO_TEST_CASE(FramesAreReassembledFromSingleBytes) {
  const std::string bytes = frame("one") + frame("") + frame("three");
  FrameReader reader;
  std::vector<std::string> payloads;
  for (const char c : bytes) {
    reader.append(absl::string_view(&c, 1));
    auto next = valueOf(reader.next());
    if (next)
      payloads.push_back(*next);
  }
  BOOST_TEST(payloads.size() == 3U);
  BOOST_TEST(payloads[2] == "three");
  reader.append("\xff\xff\xff\xff");
  BOOST_TEST(!isOk(reader.next()));
}

BOOST_AUTO_TEST_CASE(DecoderRefusesBadInput) {
  fate::FateView view;
  view.Request = RequestId("ubungo.1");
  view.Tasks.resize(3);
  const std::string good = encode(view);
  BOOST_TEST((valueOf(decode<fate::FateView>(good)) == view));
  for (std::size_t n = 0; n < good.size(); ++n)
    BOOST_TEST(!isOk(decode<fate::FateView>(good.substr(0, n))));
  BOOST_TEST(!isOk(decode<fate::FateView>(good + "x")));
  // A size far beyond the input must be rejected before memory is allocated.
  BOOST_TEST(!isOk(decode<std::vector<fate::FateView>>("\xff\xff\xff\x7f")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::wire
