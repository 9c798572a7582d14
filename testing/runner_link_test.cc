// Tests links to runners over real sockets, against stand-in runners.
#include "jujube/entry/runner_link.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/standin_runner_tasks.h"

namespace jujube::testing {
namespace {

using entry::RunnerLinkPool;
using entry::RunnerOutcome;
using routing::AttemptOutcome;
using runtime::Task;

constexpr Duration Timeout = Duration::millis(400);
// Longest wait for an outcome, which arrives within the exchange's timeout.
constexpr Duration Patience = Duration::minutes(1);
constexpr absl::string_view Quick = "run_ms=1;answer=whole";

// A supervisor tree on its own thread.
class Tree {
public:
  explicit Tree(runtime::ChildSpec root) {
    Thread =
        valueOf(Task::start(root.Name, Clock::monotonic(), std::move(root.Body),
                            [](const runtime::TaskExit &) {}));
  }

private:
  std::unique_ptr<Task> Thread;
};

StandinRunnerOptions runnerOptions(Misbehaviour habit, uint32_t slots = 8) {
  StandinRunnerOptions runner;
  runner.Announcement.Runner = RunnerId("r1");
  runner.Announcement.Start = {1};
  runner.Announcement.Slots = slots;
  runner.Habit = habit;
  return runner;
}

// A runner, and a pool of links whose events are handled on this thread.
class Fixture {
public:
  explicit Fixture(const StandinRunnerOptions &runner, std::size_t links = 2) {
    RunnerFleetOptions fleet;
    fleet.Runners = {runner};
    fleet.Listen = {"127.0.0.1", 0};
    fleet.Threads = 8;
    RunnerService service = valueOf(runnerService(std::move(fleet)));
    Http = service.Http;
    Runner = std::make_unique<Tree>(
        valueOf(runtime::Supervisor::create({"runner"}, service.Children))
            .asChild());
    Pool = std::make_unique<RunnerLinkPool>(
        valueOf(RunnerLinkPool::create(links)));
    Links = std::make_unique<Tree>(
        valueOf(runtime::Supervisor::create({"links"}, Pool->children()))
            .asChild());
  }

  Status send(int n, absl::string_view payload, uint64_t start = 1) {
    routing::Dispatch dispatch{id(n), RunnerId("r1"), {start},         Http,
                               1,     Timeout,        Instant::never()};
    return Pool->send({dispatch, EntryId("desk"), TeamId("crews"),
                       std::make_shared<const std::string>(payload)});
  }

  // Waits for the next outcome.
  RunnerOutcome next() {
    while (Ready.empty()) {
      pollfd poll{Pool->events()->fd(), POLLIN, 0};
      BOOST_REQUIRE(::poll(&poll, 1, Patience.millis()) == 1);
      for (entry::LinkEvent &event : Pool->events()->drain())
        if (auto outcome = Pool->handle(std::move(event)))
          Ready.push_back(*std::move(outcome));
    }
    RunnerOutcome outcome = std::move(Ready.front());
    Ready.pop_front();
    return outcome;
  }

  AttemptOutcome outcomeOf(int n, absl::string_view payload) {
    BOOST_REQUIRE(isOk(send(n, payload)));
    return next().Outcome;
  }

  RunnerOutcome inquire(int n) {
    BOOST_REQUIRE(isOk(Pool->inquire({{id(n), RunnerId("r1"), {1}, Http, 1}})));
    return next();
  }

  static RequestId id(int n) { return RequestId(absl::StrCat("z.", n)); }

  Address Http;
  std::unique_ptr<RunnerLinkPool> Pool;

private:
  std::unique_ptr<Tree> Runner;
  std::unique_ptr<Tree> Links;
  std::deque<RunnerOutcome> Ready;
};

BOOST_AUTO_TEST_SUITE(RunnerLinkSuite)

BOOST_AUTO_TEST_CASE(WholeAnswersArriveWithTheirRequest) {
  Fixture fixture(runnerOptions(Misbehaviour::None));
  BOOST_REQUIRE(isOk(fixture.send(1, "run_ms=60;answer=late")));
  BOOST_REQUIRE(isOk(fixture.send(2, Quick)));
  const RunnerOutcome first = fixture.next();
  BOOST_TEST((first.Request == Fixture::id(2)));
  BOOST_TEST((first.Outcome == AttemptOutcome::Answered));
  BOOST_TEST(first.Body == "whole");
  BOOST_TEST(fixture.next().Body == "late");
}

BOOST_AUTO_TEST_CASE(OutcomesAreToldApart) {
  Fixture fixture(runnerOptions(Misbehaviour::None));
  BOOST_TEST(
      (fixture.outcomeOf(1, "fail=1;run_ms=1") == AttemptOutcome::Failed));
  BOOST_TEST((fixture.outcomeOf(2, Quick) == AttemptOutcome::Answered));
  // The runner refuses a repeated attempt.
  BOOST_TEST((fixture.outcomeOf(2, Quick) == AttemptOutcome::Refused));
  // Addressed to another incarnation of the runner.
  BOOST_REQUIRE(isOk(fixture.send(3, Quick, 2)));
  BOOST_TEST((fixture.next().Outcome == AttemptOutcome::Refused));
  fixture.Http.Port = 1;
  BOOST_TEST((fixture.outcomeOf(4, Quick) == AttemptOutcome::NotSent));
}

BOOST_AUTO_TEST_CASE(CreditThatRanOutIsNotSent) {
  Fixture fixture(runnerOptions(Misbehaviour::None));
  routing::Dispatch dispatch{
      Fixture::id(1), RunnerId("r1"), {1}, fixture.Http, 1, Timeout, Instant()};
  BOOST_REQUIRE(
      isOk(fixture.Pool->send({dispatch, EntryId("desk"), TeamId("crews"),
                               std::make_shared<const std::string>(Quick)})));
  BOOST_TEST((fixture.next().Outcome == AttemptOutcome::NotSent));
}

BOOST_AUTO_TEST_CASE(AnswersThatAreNotWholeAreUnknownAndResolvable) {
  for (const Misbehaviour habit : {Misbehaviour::Lost, Misbehaviour::Truncated,
                                   Misbehaviour::Mismatched}) {
    Fixture fixture(runnerOptions(habit));
    BOOST_TEST((fixture.outcomeOf(1, Quick) == AttemptOutcome::Unknown));
    const RunnerOutcome found = fixture.inquire(1);
    BOOST_TEST(found.IsInquiry);
    BOOST_TEST((found.Outcome == AttemptOutcome::Answered));
    BOOST_TEST(found.Body == "whole");
  }
}

// An inquiry fences an attempt that the runner has not received.
BOOST_AUTO_TEST_CASE(InquiryFencesWhatWasNotSeen) {
  Fixture fixture(runnerOptions(Misbehaviour::None));
  BOOST_TEST((fixture.inquire(1).Outcome == AttemptOutcome::Refused));
  BOOST_TEST((fixture.outcomeOf(1, Quick) == AttemptOutcome::Refused));
}

// The stand-in's library ignores a stop that comes before it accepts; many
// starts at once delay its thread so that this happens.
BOOST_AUTO_TEST_CASE(StandInsThatAreStoppedAtOnceEnd) {
  constexpr int Fleets = 64;
  std::vector<std::unique_ptr<Task>> fleets;
  fleets.reserve(Fleets);
  for (int i = 0; i < Fleets; ++i)
    fleets.push_back(valueOf(Task::start(
        "fleet", Clock::monotonic(),
        [](runtime::TaskContext &) -> Status {
          const Fixture fixture(runnerOptions(Misbehaviour::None));
          return Ok{};
        },
        [](const runtime::TaskExit &) {})));
  std::ranges::for_each(fleets, [](const auto &fleet) { fleet->join(); });
}

BOOST_AUTO_TEST_CASE(BusyLinksRefuseInsteadOfQueueing) {
  Fixture fixture(runnerOptions(Misbehaviour::None), 1);
  BOOST_REQUIRE(isOk(fixture.send(1, "run_ms=50")));
  const Status status = fixture.send(2, Quick);
  BOOST_REQUIRE(!isOk(status));
  BOOST_TEST((errorOf(status).Kind == ErrorKind::Overloaded));
  BOOST_TEST((fixture.next().Outcome == AttemptOutcome::Answered));
  BOOST_TEST(fixture.Pool->busy() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
