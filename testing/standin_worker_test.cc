#include "testing/standin_worker.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "testing/standin_run_log.h"

namespace jujube::testing {
namespace {

using fate::Directive;
using fate::DirectiveKind;
using fate::TaskPhase;

Instant at(int64_t ms) { return Instant::fromMillis(ms); }

const TaskId Task{RequestId("z.job"), 0};

Directive directive(DirectiveKind kind, uint64_t attempt,
                    std::string payload = "run_ms=100;answer=done") {
  return {kind,
          Task,
          {Term{1}, attempt},
          EntryId("plan"),
          {1000, 512, 0},
          std::move(payload)};
}

fate::SyncReply reply(std::vector<Directive> directives, uint64_t term = 1) {
  return {Term{term}, Duration::millis(1000), std::move(directives)};
}

StandinWorker worker() {
  StandinWorkerOptions options;
  options.Announcement.Worker = WorkerId("w1");
  options.Announcement.Capacity = {2000, 1024, 0};
  options.UsageLag = Duration::millis(50);
  return StandinWorker(options);
}

// Returns the phase that the worker reports for an attempt; Running if the
// worker does not report the attempt.
TaskPhase reported(const StandinWorker &worker, uint64_t attempt) {
  const fate::WorkerSync sync = worker.sync(at(0));
  const auto it = std::ranges::find_if(sync.Reports, [&](const auto &report) {
    return report.Token.Attempt == attempt;
  });
  return it == sync.Reports.end() ? TaskPhase::Running : it->Phase;
}

BOOST_AUTO_TEST_SUITE(StandinWorkerSuite)

BOOST_AUTO_TEST_CASE(RunsATaskAndRepeatsItsEndUntilAcknowledged) {
  StandinWorker it = worker();
  it.apply(reply({directive(DirectiveKind::Start, 1)}), at(0), at(5));
  BOOST_TEST(it.running() == 1U);
  BOOST_TEST(it.sync(at(20)).Reports.front().Usage.MilliCpu == 0);
  BOOST_TEST(it.sync(at(60)).Reports.front().Usage.MilliCpu == 1000);
  it.tick(at(105));
  BOOST_TEST((reported(it, 1) == TaskPhase::Finished));
  BOOST_TEST(it.sync(at(110)).Reports.front().Text == "done");
  it.apply(reply({directive(DirectiveKind::Acknowledge, 1)}), at(110), at(112));
  BOOST_TEST(it.sync(at(120)).Reports.empty());
  // The directive that started the task arrives again.
  it.apply(reply({directive(DirectiveKind::Start, 1)}), at(0), at(130));
  BOOST_TEST(it.running() == 0U);
  BOOST_TEST(it.sync(at(130)).Reports.empty());
}

// The lease counts from when the sync was sent, not from its reply.
BOOST_AUTO_TEST_CASE(StopsItsTasksWhenTheLeaseEnds) {
  StandinWorker it = worker();
  it.apply(reply({directive(DirectiveKind::Start, 1, "run_ms=forever")}), at(0),
           at(400));
  BOOST_TEST((it.nextWake() == at(1000)));
  it.tick(at(1000));
  BOOST_TEST(it.running() == 0U);
  BOOST_TEST(it.stats().LeaseStops == 1U);
  BOOST_TEST((reported(it, 1) == TaskPhase::Stopped));
}

BOOST_AUTO_TEST_CASE(RefusesOlderTokensAndOlderLeaders) {
  StandinWorker it = worker();
  it.apply(reply({directive(DirectiveKind::Start, 3)}, 2), at(0), at(0));
  it.apply(reply({directive(DirectiveKind::Start, 2)}, 2), at(0), at(1));
  BOOST_TEST(it.running() == 1U);
  BOOST_TEST((reported(it, 2) == TaskPhase::Refused));
  it.apply(reply({directive(DirectiveKind::Stop, 3)}, 1), at(0), at(2));
  BOOST_TEST(it.running() == 1U);
  BOOST_TEST(it.stats().StaleReplies == 1U);
}

// A stop that arrives before its start keeps the start from happening.
BOOST_AUTO_TEST_CASE(StopFencesAStartThatComesLate) {
  StandinWorker it = worker();
  it.apply(reply({directive(DirectiveKind::Stop, 1)}), at(0), at(1));
  BOOST_TEST((reported(it, 1) == TaskPhase::Stopped));
  it.apply(reply({directive(DirectiveKind::Start, 1)}), at(0), at(2));
  BOOST_TEST(it.running() == 0U);
}

BOOST_AUTO_TEST_CASE(ThrottlesCheckpointsAndCountsOverCapacity) {
  StandinWorker it = worker();
  it.apply(reply({directive(DirectiveKind::Start, 1)}), at(0), at(0));
  Directive throttle = directive(DirectiveKind::Throttle, 1);
  throttle.Grant.MilliCpu = 500;
  it.apply(reply({throttle}), at(50), at(50));
  BOOST_TEST(it.used().MilliCpu == 500);
  BOOST_TEST((it.nextWake() == at(150)));
  Directive large = directive(DirectiveKind::Start, 1);
  large.Task.Index = 1;
  large.Token.Attempt = 2;
  large.Grant.MilliCpu = 1600;
  it.apply(reply({large}), at(60), at(60));
  BOOST_TEST(it.stats().OverCapacity == 1U);
  it.apply(reply({directive(DirectiveKind::Checkpoint, 1)}), at(70), at(70));
  BOOST_TEST((reported(it, 1) == TaskPhase::Checkpointed));
}

BOOST_AUTO_TEST_CASE(QuietSyncLeavesOutWhatWasAnswered) {
  StandinWorker it = worker();
  it.apply(reply({directive(DirectiveKind::Start, 1, "run_ms=forever")}), at(0),
           at(5));
  BOOST_TEST(it.nextSync(at(10)).Reports.size() == 1U);
  it.onReply(reply({}));
  const fate::WorkerSync quiet = it.nextSync(at(20));
  BOOST_TEST(quiet.Reports.empty());
  BOOST_TEST(quiet.Unreported->Count == 1U);
  it.onReply(reply({}));
  // The task's first usage report.
  BOOST_TEST(it.nextSync(at(60)).Reports.size() == 1U);
  it.onReply(reply({}));
  it.apply(reply({directive(DirectiveKind::Stop, 1)}), at(60), at(70));
  BOOST_TEST(it.nextSync(at(80)).Reports.size() == 1U);
  it.onFailure();
  BOOST_TEST(it.nextSync(at(90)).Reports.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunLogSeesConcurrentDuplicates) {
  RunLog log;
  RunEvent event{Task, WorkerId("w1"), "crews", {1000, 0, 0}, true};
  log.record(event);
  event.IsStart = false;
  log.record(event);
  event.IsStart = true;
  log.record(event);
  BOOST_TEST(log.concurrentDuplicates() == 0U);
  log.record(event);
  BOOST_TEST(log.concurrentDuplicates() == 1U);
  BOOST_TEST(log.teams().at("crews").PeakRunning == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::testing
