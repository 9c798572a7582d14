// Tests how many connections the caller opens to workers, on a manual clock.
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "jujube/http/caller.h"
#include "testing/socket_cell.h"
#include "testing/socket_workers.h"

namespace jujube::testing {
namespace {

constexpr char Network[] = "127.8";
constexpr char StartBody[] =
    R"({"task":"a.0.0.0","attempt":1,"spec":"60000","expiresMs":1,)"
    R"("fencingToken":1})";
constexpr char WaitingHold[] = R"({"fencingToken":1,"ackCursor":0,)"
                               R"("waitMs":60000})";

// A worker that runs on the test's thread, and a caller.
class Fixture {
public:
  Fixture()
      : Millis(std::make_shared<std::atomic<int64_t>>(1000)),
        Source([millis = Millis] { return Instant::fromMillis(*millis); }),
        Loop(Source), Workers(Loop, Network), Desk(Loop, Calls, Results),
        Caller({"caller", http::httpCallerTask({}, Calls, Results).Body},
               Source) {
    BOOST_REQUIRE(isOk(Workers.add("w1", {1000, 1000, 0})));
  }

  SocketWorkers &workers() { return Workers; }
  std::size_t answered() const { return Answered; }
  void advance(Duration span) { *Millis += span.millis(); }

  void call(const std::string &target, const std::string &body) {
    http::OutboundCall what{Workers.workers().addressOf("w1"),
                            "POST",
                            target,
                            {},
                            body,
                            Duration::minutes(2)};
    what.IsLongPoll = body == WaitingHold;
    Desk.call(std::move(what),
              [this](const http::OutboundResult &) { ++Answered; });
  }
  void runUntil(const std::function<bool()> &isDone) {
    while (!isDone())
      BOOST_REQUIRE(isOk(Loop.runOnce()));
  }

private:
  std::shared_ptr<std::atomic<int64_t>> Millis;
  Clock Source;
  runtime::PollLoop Loop;
  SocketWorkers Workers;
  http::CallMailbox Calls = runtime::makeMailbox<http::CallRequest>(64);
  http::CallResults Results = runtime::makeMailbox<http::CallResult>(64);
  http::CallerClient Desk;
  RunningTree Caller;
  std::size_t Answered = 0;
};

BOOST_AUTO_TEST_SUITE(CallerConnectionsTest)

BOOST_AUTO_TEST_CASE(StartsToOneWorkerAtOnceShareAConnection) {
  Fixture fixture;
  for (int i = 0; i < 6; ++i)
    fixture.call("/run-start", StartBody);
  fixture.runUntil([&] { return fixture.answered() == 6; });
  BOOST_TEST(fixture.workers().connections() == 1U);
}

BOOST_AUTO_TEST_CASE(StartDoesNotWaitForALongPoll) {
  Fixture fixture;
  fixture.call("/hold", WaitingHold);
  fixture.runUntil([&] { return fixture.workers().calls().contains("/hold"); });
  fixture.call("/run-start", StartBody);
  fixture.runUntil([&] { return fixture.answered() == 1; });
  BOOST_TEST(fixture.workers().connections() == 2U);
}

BOOST_AUTO_TEST_CASE(SlowCallDoesNotDelayOthers) {
  Fixture fixture;
  fixture.workers().workers().setSilent("w1", true);
  fixture.call("/run-start", StartBody);
  fixture.runUntil(
      [&] { return fixture.workers().calls().contains("/run-start"); });
  fixture.workers().workers().setSilent("w1", false);
  fixture.call("/run-stop", StartBody);
  fixture.advance(Duration::millis(20));
  fixture.runUntil([&] { return fixture.answered() == 1; });
  BOOST_TEST(fixture.workers().connections() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
