// Tests the caller against a server of this library over loopback.
#include "jujube/http/caller.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <future>

#include "jujube/http/exchange_server.h"
#include "jujube/runtime/sockets.h"

namespace jujube::http {
namespace {

constexpr Duration TestTimeout = Duration::seconds(10);

// A task that runs until the test ends.
class RunningTask {
public:
  explicit RunningTask(runtime::ChildSpec child)
      : Thread(valueOf(runtime::Task::start(
            child.Name, Clock::monotonic(), std::move(child.Body),
            [](const runtime::TaskExit &) {}))) {}
  ~RunningTask() {
    Thread->requestStop();
    Thread->join();
  }
  RunningTask(const RunningTask &) = delete;
  RunningTask &operator=(const RunningTask &) = delete;

private:
  std::unique_ptr<runtime::Task> Thread;
};

struct Server {
  std::promise<uint16_t> Port;
  Address At{"127.0.0.1", 0};
  std::unique_ptr<RunningTask> Task;

  explicit Server(RawRequestHook answer) {
    ServerOptions options;
    options.Listen = At;
    options.OnListening = [this](uint16_t port) { Port.set_value(port); };
    Task = std::make_unique<RunningTask>(valueOf(exchangeServerTask(
        "server", options, std::move(answer), [] { return true; })));
    At.Port = Port.get_future().get();
  }
};

// A caller task and its CallerClient on the test's thread.
struct CallerFixture {
  CallMailbox Calls = runtime::makeMailbox<CallRequest>(64);
  CallResults Results = runtime::makeMailbox<CallResult>(64);
  runtime::PollLoop Loop{Clock::monotonic()};
  CallerClient Client{Loop, Calls, Results};
  RunningTask Task;

  explicit CallerFixture(CallerOptions options = {})
      : Task(httpCallerTask(options, Calls, Results)) {}

  OutboundResult call(OutboundCall what) {
    std::optional<OutboundResult> outcome;
    Client.call(std::move(what),
                [&](OutboundResult result) { outcome = std::move(result); });
    const Instant end = Loop.now() + TestTimeout;
    Loop.callAt(end, [] {});
    while (!outcome && Loop.now() < end)
      BOOST_REQUIRE(isOk(Loop.runOnce()));
    BOOST_REQUIRE(outcome.has_value());
    return *outcome;
  }
};

// Number of this process's sockets that are connected to one of the servers.
std::size_t
connectedSockets(const std::vector<std::unique_ptr<Server>> &servers) {
  std::size_t n = 0;
  for (int fd = 0; fd < 1024; ++fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    if (getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size) != 0 ||
        peer.sin_family != AF_INET)
      continue;
    n += static_cast<std::size_t>(
        std::ranges::count_if(servers, [&peer](const auto &it) {
          return it->At.Port == ntohs(peer.sin_port);
        }));
  }
  return n;
}

OutboundCall post(const Address &to, const std::string &body,
                  Duration timeout = Duration::seconds(5)) {
  return {to, "POST", "/echo", {{"X-Name", "value"}}, body, timeout};
}

BOOST_AUTO_TEST_SUITE(CallerTest)

BOOST_AUTO_TEST_CASE(AnswersComeBackOverKeptConnections) {
  Server server([](const RawRequest &exchange) {
    return RawResponse{exchange.Header("X-Name") == "value" ? 200 : 400,
                       exchange.Method + exchange.Path + exchange.Body};
  });
  CallerFixture fixture;
  for (const std::string &body :
       {std::string("a"), std::string(100'000, 'b'), std::string("c")}) {
    const OutboundResult result = fixture.call(post(server.At, body));
    BOOST_REQUIRE(isOk(result));
    BOOST_TEST(valueOf(result).Status == 200);
    BOOST_TEST((valueOf(result).Body == "POST/echo" + body));
  }
}

BOOST_AUTO_TEST_CASE(ManyCallsToOneAddressAreAllAnswered) {
  Server server([](const RawRequest &exchange) {
    return RawResponse{200, exchange.Body};
  });
  CallerFixture fixture;
  std::size_t answered = 0;
  for (int i = 0; i < 50; ++i)
    fixture.Client.call(post(server.At, std::to_string(i)),
                        [&answered, i](const OutboundResult &result) {
                          BOOST_TEST(isOk(result));
                          BOOST_TEST(valueOf(result).Body == std::to_string(i));
                          ++answered;
                        });
  const Instant end = fixture.Loop.now() + TestTimeout;
  fixture.Loop.callAt(end, [] {});
  while (answered < 50 && fixture.Loop.now() < end)
    BOOST_REQUIRE(isOk(fixture.Loop.runOnce()));
  BOOST_TEST(answered == 50U);
}

// A task's connections must not use up the descriptors that the process needs
// for its disk and its peers.
BOOST_AUTO_TEST_CASE(ConnectionsOfAllAddressesAreBounded) {
  std::vector<std::unique_ptr<Server>> servers;
  servers.reserve(6);
  for (int i = 0; i < 6; ++i)
    servers.push_back(std::make_unique<Server>([](const RawRequest &exchange) {
      return RawResponse{200, exchange.Body};
    }));
  CallerOptions options;
  options.MaxConnections = 2;
  CallerFixture fixture(options);
  std::size_t answered = 0;
  for (int i = 0; i < 60; ++i)
    fixture.Client.call(post(servers[i % 6]->At, std::to_string(i)),
                        [&answered, i](const OutboundResult &result) {
                          BOOST_REQUIRE(isOk(result));
                          BOOST_TEST(valueOf(result).Body == std::to_string(i));
                          ++answered;
                        });
  const Instant end = fixture.Loop.now() + TestTimeout;
  fixture.Loop.callAt(end, [] {});
  std::size_t most = 0;
  while (answered < 60 && fixture.Loop.now() < end) {
    BOOST_REQUIRE(isOk(fixture.Loop.runOnce()));
    most = std::max(most, connectedSockets(servers));
  }
  BOOST_TEST(answered == 60U);
  BOOST_TEST(most <= options.MaxConnections);
}

BOOST_AUTO_TEST_CASE(CallWithoutRoomForAConnectionIsNotSent) {
  const auto listener = valueOf(runtime::listenTcp({"127.0.0.1", 0}));
  Server server([](const RawRequest &) { return RawResponse{}; });
  CallerOptions options;
  options.MaxConnections = 1;
  CallerFixture fixture(options);
  fixture.Client.call(post(runtime::localAddress(listener.get()), "silent"),
                      [](const OutboundResult &) {});
  const OutboundResult result =
      fixture.call(post(server.At, "a", Duration::millis(200)));
  BOOST_REQUIRE(!isOk(result));
  BOOST_TEST((errorOf(result).Kind == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionMeansThatNothingWasSent) {
  const Address closed = [] {
    const auto listener = valueOf(runtime::listenTcp({"127.0.0.1", 0}));
    return runtime::localAddress(listener.get());
  }();
  CallerFixture fixture;
  const OutboundResult result = fixture.call(post(closed, "a"));
  BOOST_REQUIRE(!isOk(result));
  BOOST_TEST((errorOf(result).Kind == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(SilentPeerLeavesTheOutcomeUnknown) {
  const auto listener = valueOf(runtime::listenTcp({"127.0.0.1", 0}));
  CallerFixture fixture;
  const OutboundResult result = fixture.call(
      post(runtime::localAddress(listener.get()), "a", Duration::millis(100)));
  BOOST_REQUIRE(!isOk(result));
  BOOST_TEST((errorOf(result).Kind == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(BodyOverTheLimitIsRefused) {
  Server server([](const RawRequest &) { return RawResponse{}; });
  CallerFixture fixture;
  const OutboundResult result =
      fixture.call(post(server.At, std::string(2 << 20, 'a')));
  BOOST_TEST((!isOk(result) || valueOf(result).Status == 413));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::http
