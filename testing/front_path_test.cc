// Tests the answers of an entry host when the leader of its control group is
// unreachable, over the real tasks on a manual clock.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/front/front_task.h"
#include "testing/control_cell.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

const Address FrontAt{"10.1.0.1", 7420};
const jobs::Caller Caller{"a.example", "/plans/", "key-a"};

ControlCellOptions cellOptions(uint64_t seed) {
  ControlCellOptions options;
  options.Seed = seed;
  return options;
}

struct Fixture {
  ControlCell Cell;
  front::FrontMailboxes Boxes{runtime::makeMailbox<control::ClientRequest>(64),
                              runtime::makeMailbox<http::CallRequest>(64),
                              runtime::makeMailbox<http::CallResult>(64),
                              std::make_shared<std::atomic<bool>>(false),
                              std::make_shared<std::atomic<bool>>(false),
                              std::make_shared<std::atomic<bool>>(false)};
  std::unique_ptr<front::FrontTask> Front;

  explicit Fixture(uint64_t seed = 1) : Cell(cellOptions(seed)) {
    front::FrontOptions options;
    options.Self = HostId("front-1");
    options.Listen = FrontAt;
    options.Seeds = [] {
      return std::vector<Address>{{"10.0.0.1", 7420}, {"10.0.0.2", 7420}};
    };
    FakeWire::Host &host = Cell.wire().add(FrontAt);
    Front = std::make_unique<front::FrontTask>(options, Boxes, host.Context,
                                               host.Outbox);
    host.Receive = [this](const auto &event) { Front->receive(event); };
    Cell.wire().run(Duration::seconds(1));
  }

  runtime::ReplySlotPtr<Result<jobs::Reply>> post(const std::string &id) {
    auto slot = runtime::makeReplySlot<Result<jobs::Reply>>();
    (void)Boxes.Clients->post(
        {jobs::SubmitJob{Caller, sampleJob(id, {sampleStep(1)})},
         Duration::seconds(3), slot});
    return slot;
  }
  // Runs until the answer arrives or `patience` has passed.
  std::optional<Result<jobs::Reply>>
  await(const runtime::ReplySlotPtr<Result<jobs::Reply>> &slot,
        Duration patience) {
    std::optional<Result<jobs::Reply>> answer;
    Cell.wire().run(patience, [&] {
      auto got = slot->wait(Duration());
      if (isOk(got))
        answer = valueOf(std::move(got));
      return answer.has_value();
    });
    return answer;
  }
  bool isConnected() const { return Boxes.IsConnected->load(); }
  bool isReady() const { return Boxes.IsReady->load(); }
};

BOOST_AUTO_TEST_SUITE(FrontPathTest)

BOOST_AUTO_TEST_CASE(JobsArePassedOnToTheLeader) {
  Fixture fixture;
  BOOST_TEST(fixture.isConnected());
  const auto answer = fixture.await(fixture.post("a"), Duration::seconds(1));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(isOk(*answer));
  BOOST_TEST(fixture.Cell.awaitState("a", "completed"));
}

BOOST_AUTO_TEST_CASE(HostThatIsCutOffIsUnreadySoonAndRefusesAtOnce) {
  Fixture fixture;
  fixture.Cell.wire().cut({FrontAt});
  fixture.Cell.wire().run(Duration::millis(700));
  BOOST_TEST(!fixture.isReady());
  fixture.Cell.wire().run(Duration::millis(600));
  BOOST_TEST(!fixture.isConnected());
  const auto answer = fixture.await(fixture.post("a"), Duration::millis(500));
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE(!isOk(*answer));
  BOOST_TEST((errorOf(*answer).Kind == ErrorKind::NotRun));
  fixture.Cell.wire().heal();
  fixture.Cell.wire().run(Duration::seconds(2));
  BOOST_TEST(fixture.isConnected());
  BOOST_TEST(fixture.isReady());
  // A job that was refused as not run never runs.
  BOOST_TEST(fixture.Cell.stateOf("a") == "gone");
}

// A single reachable member cannot elect a leader.
BOOST_AUTO_TEST_CASE(HostCutOffWithAMinorityRefusesSoon) {
  Fixture fixture;
  const int near = fixture.Cell.leader() == 1 ? 2 : 1;
  fixture.Cell.wire().cut(
      {FrontAt, Address{absl::StrCat("10.0.0.", near), 7420}});
  fixture.Cell.wire().run(Duration::millis(800));
  const auto answer = fixture.await(fixture.post("a"), Duration::millis(450));
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE(!isOk(*answer));
  BOOST_TEST((errorOf(*answer).Kind == ErrorKind::NotRun));
}

BOOST_AUTO_TEST_CASE(JobThatMayHaveArrivedIsNotCalledNotRun) {
  Fixture fixture;
  const auto slot = fixture.post("a");
  fixture.Cell.wire().cut({FrontAt});
  const auto answer = fixture.await(slot, Duration::seconds(4));
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE(!isOk(*answer));
  BOOST_TEST((errorOf(*answer).Kind == ErrorKind::OutcomeUnknown));
}

// The answer of the leader that stored the job is lost.
BOOST_AUTO_TEST_CASE(StoredJobIsNotRefusedWhenItsKeyIsWithdrawn) {
  Fixture fixture;
  const int leader = fixture.Cell.leader();
  std::vector<Address> others;
  for (int i = 1; i <= 3; ++i)
    if (i != leader)
      others.push_back({absl::StrCat("10.0.0.", i), 7420});
  std::ranges::for_each(others,
                        [&](auto &at) { fixture.Cell.wire().pause(at); });
  const auto slot = fixture.post("a");
  fixture.Cell.wire().run(Duration::millis(160));
  fixture.Cell.wire().cut({FrontAt});
  std::ranges::for_each(others,
                        [&](auto &at) { fixture.Cell.wire().resume(at); });
  fixture.Cell.wire().run(Duration::millis(20));
  jobs::Configuration withdrawn = sampleConfiguration(9);
  withdrawn.Teams[0].Keys = {"key-b"};
  BOOST_REQUIRE(
      isOk(fixture.Cell.execute(leader, jobs::PutConfiguration{withdrawn})));
  fixture.Cell.wire().heal();
  const auto answer = fixture.await(slot, Duration::seconds(4));
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE(!isOk(*answer));
  BOOST_TEST((errorOf(*answer).Kind == ErrorKind::OutcomeUnknown),
             errorOf(*answer).text());
  BOOST_REQUIRE(isOk(
      fixture.Cell.execute(jobs::PutConfiguration{sampleConfiguration(10)})));
  BOOST_TEST(fixture.Cell.awaitState("a", "completed"));
}

BOOST_AUTO_TEST_CASE(UnknownKeyIsRefusedForGood) {
  Fixture fixture;
  auto slot = runtime::makeReplySlot<Result<jobs::Reply>>();
  (void)fixture.Boxes.Clients->post(
      {jobs::SubmitJob{{"a.example", "/plans/", "key-b"},
                       sampleJob("a", {sampleStep(1)})},
       Duration::seconds(3), slot});
  const auto answer = fixture.await(slot, Duration::seconds(1));
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE(!isOk(*answer));
  BOOST_TEST((errorOf(*answer).Kind == ErrorKind::Unauthenticated));
}

// Load: calls arrive throughout a change of leader.
BOOST_AUTO_TEST_CASE(CallsWaitForALeaderThatIsBeingElected) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    Fixture fixture(seed);
    fixture.Cell.kill(fixture.Cell.leader());
    std::vector<runtime::ReplySlotPtr<Result<jobs::Reply>>> calls;
    for (int i = 0; i < 20; ++i) {
      calls.push_back(fixture.post(absl::StrCat("a", i)));
      fixture.Cell.wire().run(Duration::millis(50));
    }
    for (const auto &slot : calls) {
      const auto answer = fixture.await(slot, Duration::seconds(3));
      BOOST_REQUIRE(answer.has_value());
      BOOST_TEST(isOk(*answer),
                 "seed " << seed << ": "
                         << (isOk(*answer) ? "" : errorOf(*answer).text()));
    }
  }
}

BOOST_AUTO_TEST_CASE(CallsAreRefusedSoonWhenNoMemberAnswers) {
  Fixture fixture;
  for (int i = 1; i <= 3; ++i)
    fixture.Cell.kill(i);
  fixture.Cell.wire().run(Duration::millis(800));
  const auto answer = fixture.await(fixture.post("a"), Duration::millis(450));
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE(!isOk(*answer));
  BOOST_TEST((errorOf(*answer).Kind == ErrorKind::NotRun));
}

BOOST_AUTO_TEST_CASE(ChangeOfLeaderIsShorterThanACallersPatience) {
  Fixture fixture;
  fixture.Cell.kill(fixture.Cell.leader());
  const auto answer = fixture.await(fixture.post("a"), Duration::seconds(3));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((isOk(*answer) || errorOf(*answer).Kind == ErrorKind::NotRun));
  fixture.Cell.wire().run(Duration::millis(1500));
  const auto later = fixture.await(fixture.post("b"), Duration::seconds(1));
  BOOST_REQUIRE(later.has_value());
  BOOST_TEST(isOk(*later));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
