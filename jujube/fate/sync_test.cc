#include <boost/test/unit_test.hpp>

#include "jujube/fate/attempt_digest.h"
#include "jujube/fate/report_filter.h"
#include "jujube/fate/sync_scopes.h"

namespace jujube::fate {
namespace {

const WorkerId Worker("w1");
const WorkerAnnouncement Self{Worker, Incarnation{1}};
constexpr Resources Grant{1000, 1000, 0};

TaskId taskId(uint32_t n) { return {RequestId("z.job"), n}; }
AttemptToken token(uint64_t attempt = 1) { return {Term{1}, attempt}; }

HeldAttempt held(uint32_t n, int64_t milliCpu = 500) {
  return {{taskId(n), token(), TaskPhase::Running, {milliCpu, 100, 0}, ""},
          Grant};
}

SyncReply replyOf(uint64_t term, SyncScope scope = SyncScope::Changes) {
  return {Term{term}, Duration::seconds(6), {}, scope};
}

// A worker whose reports pass through the filter.
struct Sender {
  ReportFilter Filter;

  WorkerSync send(const std::vector<HeldAttempt> &running) {
    return Filter.next(Self, {}, running);
  }
  // Sends a sync that is answered.
  std::size_t exchange(const std::vector<HeldAttempt> &running,
                       const SyncReply &reply = replyOf(1)) {
    const std::size_t n = send(running).Reports.size();
    Filter.onReply(reply);
    return n;
  }
};

// A book with tasks 0 to n-1 running on the worker.
FateBook bookWith(uint32_t n) {
  FateBook book;
  Submission work;
  work.Request = RequestId("z.job");
  work.Tasks = 5;
  book.apply(RequestAccepted{work, Instant()});
  for (uint32_t i = 0; i < n; ++i) {
    book.apply(TaskOffered{taskId(i), token(), Worker, Incarnation{1}, Grant,
                           Instant()});
    book.apply(TaskStarted{taskId(i), token(), Instant()});
  }
  return book;
}

// A sync that reports nothing and leaves out tasks 0 to n-1.
WorkerSync quietSync(uint32_t n) {
  WorkerSync sync{Self, {}, AttemptDigest{}};
  for (uint32_t i = 0; i < n; ++i)
    addAttempt(*sync.Unreported, taskId(i), token());
  return sync;
}

BOOST_AUTO_TEST_SUITE(SyncSuite)

// The first 13 digits that `printf z.job:0/1/1 | sha256sum` prints.
BOOST_AUTO_TEST_CASE(ChecksumIsTheOneOfTheDocumentation) {
  BOOST_TEST(attemptChecksum(taskId(0), token()) == UINT64_C(0x27a89985b4143));
}

BOOST_AUTO_TEST_CASE(DigestForgetsOrderAndWhatWasRemoved) {
  AttemptDigest a;
  AttemptDigest b;
  addAttempt(a, taskId(0), token());
  addAttempt(a, taskId(1), token(2));
  addAttempt(b, taskId(1), token(2));
  addAttempt(b, taskId(2), token());
  BOOST_TEST((a != b));
  addAttempt(b, taskId(0), token());
  removeAttempt(b, taskId(2), token());
  BOOST_TEST((a == b));
}

BOOST_AUTO_TEST_CASE(AnsweredReportsAreNotRepeated) {
  Sender it;
  BOOST_TEST(it.exchange({held(0), held(1)}) == 2U);
  const WorkerSync quiet = it.send({held(0), held(1)});
  BOOST_TEST(quiet.Reports.empty());
  BOOST_TEST((quiet.Unreported == quietSync(2).Unreported));
  it.Filter.onReply(replyOf(1));
  BOOST_TEST(it.exchange({held(0), held(1), held(2)}) == 1U);
}

BOOST_AUTO_TEST_CASE(UsageIsReportedWhenItMovesOrExceedsItsGrant) {
  Sender it;
  it.exchange({held(0, 500)});
  BOOST_TEST(it.exchange({held(0, 540)}) == 0U);
  BOOST_TEST(it.exchange({held(0, 560)}) == 1U);
  BOOST_TEST(it.exchange({held(0, 560)}) == 0U);
  it.exchange({held(0, 1001)});
  BOOST_TEST(it.exchange({held(0, 1001)}) == 1U);
}

BOOST_AUTO_TEST_CASE(SyncIsFullAfterAFailureALeaderChangeOrOnRequest) {
  Sender it;
  it.exchange({held(0)});
  it.send({held(0)});
  it.Filter.onFailure();
  BOOST_TEST(it.exchange({held(0)}) == 1U);
  BOOST_TEST(it.exchange({held(0)}, replyOf(2)) == 0U);
  // A full sync that the new leader answered needs no repetition.
  BOOST_TEST(it.exchange({held(0)}, replyOf(2)) == 1U);
  BOOST_TEST(it.exchange({held(0)}, replyOf(2, SyncScope::Full)) == 0U);
  BOOST_TEST(it.exchange({held(0)}, replyOf(3)) == 1U);
  BOOST_TEST(it.exchange({held(0)}, replyOf(3)) == 0U);
  it.Filter.onNewsReply(replyOf(3, SyncScope::Full));
  BOOST_TEST(it.exchange({held(0)}, replyOf(3)) == 1U);
}

BOOST_AUTO_TEST_CASE(NewAttemptOfAReportedTaskIsReported) {
  Sender it;
  it.exchange({held(0)});
  HeldAttempt again = held(0);
  again.Report.Token = token(2);
  BOOST_TEST(it.exchange({again}) == 1U);
}

BOOST_AUTO_TEST_CASE(LeaderAsksEveryWorkerOnceForAFullSync) {
  const FateBook book = bookWith(2);
  SyncScopes scopes;
  scopes.onSync(quietSync(2), book, Instant());
  BOOST_TEST(scopes.isUrgent(Worker));
  BOOST_TEST((scopes.wanted(Worker) == SyncScope::Full));
  scopes.onReply(Worker, Instant());
  // One that ignores this is not answered at once again.
  scopes.onSync(quietSync(2), book, Instant());
  BOOST_TEST(!scopes.isUrgent(Worker));
  BOOST_TEST((scopes.wanted(Worker) == SyncScope::Full));
  scopes.onSync(quietSync(0), book, Instant());
  BOOST_TEST((scopes.wanted(Worker) == SyncScope::Changes));
  scopes.onSync(quietSync(2), book, Instant());
  BOOST_TEST((scopes.wanted(Worker) == SyncScope::Changes));
  // A restarted worker is not known any more.
  WorkerSync restarted = quietSync(2);
  restarted.Announcement.Start = Incarnation{2};
  scopes.onSync(restarted, book, Instant());
  BOOST_TEST(scopes.isUrgent(Worker));
}

BOOST_AUTO_TEST_CASE(LeaderAsksForAFullSyncWhenTheRecordsDiffer) {
  SyncScopes scopes;
  scopes.onSync(quietSync(0), bookWith(2), Instant());
  for (const uint32_t n : {1U, 3U}) {
    // A report may be on its way into the journal.
    scopes.onSync(quietSync(n), bookWith(2), Instant());
    BOOST_TEST(!scopes.isUrgent(Worker));
    scopes.onSync(quietSync(2), bookWith(2), Instant::atMillis(400));
    scopes.onSync(quietSync(n), bookWith(2), Instant::atMillis(600));
    BOOST_TEST(!scopes.isUrgent(Worker));
    scopes.onSync(quietSync(n), bookWith(2), Instant::atMillis(1100));
    BOOST_TEST(scopes.isUrgent(Worker));
    scopes.onReply(Worker, Instant());
    scopes.onSync(quietSync(0), bookWith(2), Instant());
    BOOST_TEST(!scopes.isUrgent(Worker));
  }
  // What the sync itself reports is not expected in its digest.
  WorkerSync mixed = quietSync(1);
  mixed.Reports = {{taskId(1), token(), TaskPhase::Finished, {}, "done"},
                   {taskId(2), token(), TaskPhase::Started, {}, ""}};
  BOOST_TEST(agreesWith(bookWith(2), mixed));
  mixed.Reports.front().Token = token(2);
  BOOST_TEST(!agreesWith(bookWith(2), mixed));
}

// News that waited would let the next sync pass at once, and so on.
BOOST_AUTO_TEST_CASE(NewsOfAWorkerWithDigestsDoesNotWait) {
  SyncScopes scopes;
  scopes.onSync(quietSync(0), bookWith(0), Instant());
  scopes.onReply(Worker, Instant());
  BOOST_TEST((scopes.holdOf({Self, {}}, Duration::seconds(6), Instant()) ==
              Duration()));
}

// What is left of a lease when the reply to the next sync is sent, if that sync
// is lost some times and sent again after `timeout`.
Duration leaseLeft(Duration lease, Duration timeout, int64_t lost) {
  const FateBook book = bookWith(0);
  const WorkerSync sync = quietSync(0);
  SyncScopes scopes;
  scopes.onSync(sync, book, Instant());
  scopes.onReply(Worker, Instant());
  // The lease counts from now; its sync waits as long as it may.
  const Instant renewedAt = Instant() + scopes.holdOf(sync, lease, Instant());
  scopes.onReply(Worker, renewedAt);
  const Instant arrivedAt = renewedAt + timeout * lost;
  return Instant() + lease -
         (arrivedAt + scopes.holdOf(sync, lease, arrivedAt));
}

BOOST_AUTO_TEST_CASE(LeaseOutlivesTwoLostSyncsInARow) {
  const Duration lease = Duration::seconds(6);
  const Duration timeout = Duration::millis(1900);
  BOOST_TEST((leaseLeft(lease, timeout, 0) >= Duration::seconds(3)));
  BOOST_TEST((leaseLeft(lease, timeout, 1) >= Duration::seconds(2)));
  BOOST_TEST((leaseLeft(lease, timeout, 2) >= Duration::millis(500)));
  // Also a short lease outlives quiet times.
  BOOST_TEST(
      (leaseLeft(Duration::millis(900), timeout, 0) >= Duration::millis(400)));
}

BOOST_AUTO_TEST_CASE(WorkerWithoutDigestsIsNeverAsked) {
  SyncScopes scopes;
  scopes.onSync({Self, {}}, bookWith(2), Instant());
  BOOST_TEST(!scopes.isUrgent(Worker));
  BOOST_TEST((scopes.wanted(Worker) == SyncScope::Changes));
  BOOST_TEST((scopes.holdOf({Self, {}}, Duration::seconds(6), Instant()) ==
              Duration::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::fate
