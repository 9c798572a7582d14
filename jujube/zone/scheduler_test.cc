#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <set>

#include "jujube/fate/attempt_digest.h"
#include "jujube/limits/slice_ledger.h"
#include "jujube/zone/scheduler.h"

namespace jujube::zone {
namespace {

using fate::FateState;
using fate::TaskPhase;

constexpr Resources WorkerSize{16000, 65536, 0};
const TeamId Events("events");

// A zone without a network. Its book stands for the replicated journal, which
// survives a change of leader; settle() commits the proposals.
class ZoneFixture {
public:
  ZoneFixture() {
    catalogue::Team team{Events, 1, Resources{100000, 400000, 0}};
    (void)Entries.apply(
        {EditId("e1"), Revision{}, catalogue::PutTeam{team}, "test"});
    // The keepers granted the team's whole ceiling to this zone.
    const limits::Slice slice{
        Events, limits::GrantVersion{1}, team.Ceiling, {}};
    Book.apply(limits::SliceUpdate{limits::GrantVersion{1}, {slice}});
    lead();
  }

  // Starts a new leader from the state of the journal.
  void lead() {
    ++LeaderTerm.Value;
    Proposed.clear();
    SchedulerHooks hooks;
    hooks.Propose = [this](std::vector<fate::Event> events) {
      Proposed.push_back(std::move(events));
    };
    hooks.WakeWorker = [](const WorkerId &) {};
    hooks.RequestEnded = [](const RequestId &) {};
    Leader = valueOf(Scheduler::create(Options, LeaderTerm, Book, Entries,
                                       std::move(hooks), at()));
    // A new leader renews no lease while it waits for the keepers; skip this
    // time.
    advance(Duration::seconds(3));
  }

  void advance(Duration span) {
    Manual.advance(span);
    settle();
  }

  // Plans and commits until there are no more proposals.
  void settle() {
    Leader->sweep(at());
    Leader->plan(at());
    while (!Proposed.empty()) {
      const std::vector<fate::Event> events = std::move(Proposed.front());
      Proposed.pop_front();
      for (const fate::Event &event : events)
        if (Book.apply(event))
          Leader->onApplied(event, at());
      Leader->plan(at());
    }
  }

  RequestId submit(const std::string &name, bool isIdempotent = true) {
    fate::Submission work;
    work.Request = RequestId("ubungo." + name);
    work.Team = Events;
    work.Entry.Id = EntryId("invoices");
    work.Entry.Owner = Events;
    work.Entry.Demand = Resources{1000, 1000, 0};
    work.Entry.IsIdempotent = isIdempotent;
    Proposed.push_back({*valueOf(Book.submit(work, at().Wall))});
    settle();
    return work.Request;
  }

  // Sends a worker's sync with reports and returns the leader's directives.
  std::vector<fate::Directive>
  sync(const std::string &worker, uint64_t start,
       std::vector<fate::TaskReport> reports = {}) {
    const WorkerId id(worker);
    const Status status = Leader->takeSync(
        {{id, Incarnation{start}, RackId("rack"), WorkerSize, false},
         std::move(reports)},
        at());
    settle();
    if (!isOk(status))
      return {};
    auto reply = Leader->replyTo(id, true, at());
    return reply ? reply->Directives : std::vector<fate::Directive>{};
  }

  // Sends a sync that reports `unreported` only as a digest. Empty if the reply
  // is held back.
  std::optional<fate::SyncReply>
  syncWithout(const std::string &worker, uint64_t start,
              const std::vector<fate::Directive> &unreported) {
    const WorkerId id(worker);
    fate::WorkerSync sync{
        {id, Incarnation{start}, RackId("rack"), WorkerSize, false},
        {},
        fate::AttemptDigest{}};
    for (const fate::Directive &attempt : unreported)
      fate::addAttempt(*sync.Unreported, attempt.Task, attempt.Token);
    BOOST_REQUIRE(isOk(Leader->takeSync(sync, at())));
    settle();
    return Leader->replyTo(id, false, at());
  }

  // Sends a sync with reports, but commits none of the resulting proposals.
  std::vector<fate::Directive>
  syncWithoutCommit(const std::string &worker, uint64_t start,
                    std::vector<fate::TaskReport> reports) {
    const WorkerId id(worker);
    (void)Leader->takeSync(
        {{id, Incarnation{start}, RackId("rack"), WorkerSize, false},
         std::move(reports)},
        at());
    Leader->plan(at());
    auto reply = Leader->replyTo(id, true, at());
    return reply ? reply->Directives : std::vector<fate::Directive>{};
  }

  // Sends a sync without planning and without fetching the reply.
  void announce(const std::string &worker, uint64_t start) {
    (void)Leader->takeSync({{WorkerId(worker), Incarnation{start},
                             RackId("rack"), WorkerSize, false},
                            {}},
                           at());
  }

  FateState state(const RequestId &id) const { return *Book.stateOf(id); }

  const ZoneOptions Options{.Zone = ZoneId("ubungo")};
  fate::FateStateMachine Book;
  std::unique_ptr<Scheduler> Leader;

private:
  Moment at() const { return {Manual.now(), Manual.now()}; }

  ManualClock Manual;
  Term LeaderTerm;
  catalogue::Catalogue Entries;
  std::deque<std::vector<fate::Event>> Proposed;
};

fate::TaskReport reportOf(const fate::Directive &directive, TaskPhase phase,
                          const std::string &text = "") {
  return {directive.Task, directive.Token, phase, Resources{}, text};
}

fate::TaskReport usageOf(const fate::Directive &directive,
                         const Resources &usage) {
  return {directive.Task, directive.Token, TaskPhase::Running, usage, ""};
}

// Leaves room for five tasks of 1,000 MiB on the worker.
constexpr Resources LargeUse{1000, 60000, 0};

BOOST_AUTO_TEST_SUITE(SchedulerSuite)

BOOST_AUTO_TEST_CASE(RequestRunsOnAWorkerThatAnnouncedItself) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId id = zone.submit("a");
  BOOST_TEST((zone.state(id) == FateState::Offered));
  const auto start = zone.sync("w1", 1);
  BOOST_REQUIRE(start.size() == 1U);
  BOOST_TEST((start[0].Kind == fate::DirectiveKind::Start));
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  BOOST_TEST((zone.state(id) == FateState::Running));
  const auto answers =
      zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Finished, "total 12")});
  BOOST_TEST((zone.state(id) == FateState::Finished));
  BOOST_TEST(zone.Book.view(id)->Tasks[0].Answer == "total 12");
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].Kind == fate::DirectiveKind::Acknowledge));
}

BOOST_AUTO_TEST_CASE(NewLeaderRejectsNothingBeforeWorkersAnnounceThemselves) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId running = zone.submit("a");
  zone.lead();
  const RequestId id = zone.submit("b");
  zone.advance(Duration::seconds(1));
  BOOST_TEST((zone.state(id) == FateState::Queued));
  zone.sync("w1", 1);
  BOOST_TEST((zone.state(id) == FateState::Offered));
  BOOST_TEST((zone.state(running) == FateState::Offered));
}

BOOST_AUTO_TEST_CASE(SilentWorkersTaskRunsAgainOnlyAfterItsLease) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId id = zone.submit("a");
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  zone.advance(zone.Options.WorkerLease);
  zone.sync("w2", 1);
  BOOST_TEST((zone.state(id) == FateState::Running));
  zone.advance(zone.Options.WorkerDrift);
  BOOST_TEST((zone.state(id) == FateState::Offered));
  const auto again = zone.sync("w2", 1);
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_TEST((again[0].Token > start[0].Token));
  // The first worker returns and reports the end of a lost attempt.
  const auto answers =
      zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Finished, "late")});
  BOOST_TEST(std::ranges::none_of(answers, [](const auto &directive) {
    return directive.Kind == fate::DirectiveKind::Start;
  }));
  BOOST_TEST((zone.state(id) == FateState::Offered));
}

BOOST_AUTO_TEST_CASE(LeaseOfARunningTaskOutlivesAChangeOfLeader) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId id = zone.submit("a");
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  zone.lead();
  zone.sync("w2", 1);
  BOOST_TEST((zone.state(id) == FateState::Running));
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Finished, "x")});
  BOOST_TEST((zone.state(id) == FateState::Finished));
}

BOOST_AUTO_TEST_CASE(WidenedReservationOutlivesAChangeOfLeader) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  zone.submit("wide");
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  const auto grant = zone.sync("w1", 1, {usageOf(start[0], LargeUse)});
  BOOST_REQUIRE(grant.size() == 1U);
  BOOST_TEST((grant[0].Kind == fate::DirectiveKind::Throttle));
  BOOST_TEST((grant[0].Grant == LargeUse));
  zone.lead();
  zone.sync("w1", 1);
  std::vector<RequestId> others;
  others.reserve(6);
  for (int n = 0; n < 6; ++n)
    others.push_back(zone.submit("r" + std::to_string(n)));
  BOOST_TEST((zone.state(others[4]) == FateState::Offered));
  BOOST_TEST((zone.state(others[5]) == FateState::Queued));
}

BOOST_AUTO_TEST_CASE(GrantLeavesOnlyOnceItIsCommitted) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId id = zone.submit("wide");
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  BOOST_TEST(
      zone.syncWithoutCommit("w1", 1, {usageOf(start[0], LargeUse)}).empty());
  // The old leader's proposal is lost.
  zone.lead();
  BOOST_TEST(zone.sync("w1", 1).empty());
  BOOST_TEST((zone.Book.findTask({id, 0})->Reserved.MemoryMb == 1000));
}

BOOST_AUTO_TEST_CASE(WorkThatIsNotIdempotentRunsAtMostOnce) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId id = zone.submit("a", false);
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  zone.advance(zone.Options.WorkerLease + zone.Options.WorkerDrift);
  zone.sync("w2", 1);
  zone.advance(Duration::seconds(30));
  BOOST_TEST((zone.state(id) != FateState::Offered));
  BOOST_TEST((zone.state(id) != FateState::NotRun));
  BOOST_TEST(zone.sync("w2", 1).empty());
}

BOOST_AUTO_TEST_CASE(RestartedWorkerLosesItsTasksAtOnce) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId id = zone.submit("a");
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  const auto again = zone.sync("w1", 2);
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_TEST((again[0].Token > start[0].Token));
  BOOST_TEST((zone.state(id) == FateState::Offered));
}

BOOST_AUTO_TEST_CASE(OfferToAnEarlierStartOfAWorkerIsNotSentToTheNext) {
  ZoneFixture zone;
  const RequestId id = zone.submit("a", false);
  // The offer is proposed before the worker restarts and committed after it.
  const auto offer =
      zone.Book.offer({id, 0}, Term{1}, WorkerId("w1"), Incarnation{1},
                      Resources{1000, 1000, 0}, Instant());
  BOOST_REQUIRE(offer.has_value());
  zone.announce("w1", 2);
  BOOST_REQUIRE(zone.Book.apply(*offer));
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(std::ranges::none_of(
        zone.sync("w1", 2), [](const fate::Directive &directive) {
          return directive.Kind == fate::DirectiveKind::Start;
        }));
  BOOST_TEST((zone.state(id) != FateState::Offered));
}

BOOST_AUTO_TEST_CASE(NewLeaderAsksAtOnceForAFullSync) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  zone.submit("a");
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  zone.syncWithout("w1", 1, {});
  BOOST_TEST(!zone.syncWithout("w1", 1, start));
  zone.lead();
  const auto reply = zone.syncWithout("w1", 1, start);
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->NextSync == fate::SyncScope::Full));
}

BOOST_AUTO_TEST_CASE(AttemptThatTheBookDoesNotKnowIsAskedForAndStopped) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  zone.syncWithout("w1", 1, {});
  fate::Directive stray;
  stray.Task = {RequestId("ubungo.gone"), 0};
  stray.Token = {Term{1}, 1};
  BOOST_TEST(!zone.syncWithout("w1", 1, {stray}));
  zone.advance(Duration::seconds(1));
  const auto reply = zone.syncWithout("w1", 1, {stray});
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->NextSync == fate::SyncScope::Full));
  const auto answers =
      zone.sync("w1", 1, {reportOf(stray, TaskPhase::Running)});
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].Kind == fate::DirectiveKind::Stop));
}

// The worker includes the cancelled task only in its digest of unreported
// attempts; the leader has to stop it all the same.
BOOST_AUTO_TEST_CASE(CancelledTaskThatIsNotReportedIsStopped) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId id = zone.submit("a");
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  zone.syncWithout("w1", 1, {});
  const auto event = zone.Book.cancel(id, Events, Instant());
  BOOST_REQUIRE(valueOf(event).has_value());
  zone.Book.apply(*valueOf(event));
  zone.Leader->onApplied(*valueOf(event), {});
  const auto reply = zone.syncWithout("w1", 1, start);
  BOOST_REQUIRE(reply.has_value());
  BOOST_REQUIRE(reply->Directives.size() == 1U);
  BOOST_TEST((reply->Directives[0].Kind == fate::DirectiveKind::Stop));
}

BOOST_AUTO_TEST_CASE(CancelledTaskIsStoppedAndEndsCancelled) {
  ZoneFixture zone;
  zone.sync("w1", 1);
  const RequestId id = zone.submit("a");
  const auto start = zone.sync("w1", 1);
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Started)});
  const auto event = zone.Book.cancel(id, Events, Instant());
  BOOST_REQUIRE(valueOf(event).has_value());
  zone.Book.apply(*valueOf(event));
  zone.Leader->onApplied(*valueOf(event), {});
  const auto orders = zone.sync("w1", 1);
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].Kind == fate::DirectiveKind::Stop));
  zone.sync("w1", 1, {reportOf(start[0], TaskPhase::Stopped)});
  BOOST_TEST((zone.state(id) == FateState::Cancelled));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::zone
