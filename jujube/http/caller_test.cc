// Tests the caller against a server of this library over loopback.
#include "jujube/http/caller.h"

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
  CallerClient Desk{Loop, Calls, Results};
  RunningTask Task{httpCallerTask({}, Calls, Results)};

  OutboundResult call(OutboundCall what) {
    std::optional<OutboundResult> outcome;
    Desk.call(std::move(what),
              [&](OutboundResult result) { outcome = std::move(result); });
    const Instant end = Loop.now() + TestTimeout;
    Loop.callAt(end, [] {});
    while (!outcome && Loop.now() < end)
      BOOST_REQUIRE(isOk(Loop.runOnce()));
    BOOST_REQUIRE(outcome.has_value());
    return *outcome;
  }
};

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
    fixture.Desk.call(post(server.At, std::to_string(i)),
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
