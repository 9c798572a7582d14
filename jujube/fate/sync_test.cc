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

RunningAttempt runningAttempt(uint32_t n, int64_t milliCpu = 500) {
  return {{taskId(n), token(), TaskPhase::Running, {milliCpu, 100, 0}, ""},
          Grant};
}

SyncReply replyOf(uint64_t term, SyncScope scope = SyncScope::Changes) {
  return {Term{term}, Duration::seconds(6), {}, scope};
}

// A worker that sends its reports through a ReportFilter.
struct Sender {
  ReportFilter Filter;

  WorkerSync send(const std::vector<RunningAttempt> &running) {
    return Filter.next(Self, {}, running);
  }
  // Sends a sync, delivers `reply` to the filter, and returns the number of
  // reports that the sync carried.
  std::size_t exchange(const std::vector<RunningAttempt> &running,
                       const SyncReply &reply = replyOf(1)) {
    const std::size_t n = send(running).Reports.size();
    Filter.onReply(reply);
    return n;
  }
};

// Returns a FateStateMachine in which tasks 0 to n-1 run on the worker.
FateStateMachine bookWith(uint32_t n) {
  FateStateMachine book;
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

// Returns a sync without reports whose digest covers tasks 0 to n-1.
WorkerSync digestOnlySync(uint32_t n) {
  WorkerSync sync{Self, {}, AttemptDigest{}};
  for (uint32_t i = 0; i < n; ++i)
    addAttempt(*sync.Unreported, taskId(i), token());
  return sync;
}

BOOST_AUTO_TEST_SUITE(SyncSuite)

// The first 13 digits of the output of `printf z.job:0/1/1 | sha256sum`.
BOOST_AUTO_TEST_CASE(ChecksumMatchesTheDocumentedExample) {
  BOOST_TEST(attemptChecksum(taskId(0), token()) == UINT64_C(0x27a89985b4143));
}

BOOST_AUTO_TEST_CASE(DigestDependsOnlyOnTheCurrentSet) {
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
  Sender sender;
  BOOST_TEST(sender.exchange({runningAttempt(0), runningAttempt(1)}) == 2U);
  const WorkerSync quiet = sender.send({runningAttempt(0), runningAttempt(1)});
  BOOST_TEST(quiet.Reports.empty());
  BOOST_TEST((quiet.Unreported == digestOnlySync(2).Unreported));
  sender.Filter.onReply(replyOf(1));
  BOOST_TEST(sender.exchange({runningAttempt(0), runningAttempt(1),
                              runningAttempt(2)}) == 1U);
}

BOOST_AUTO_TEST_CASE(UsageIsReportedWhenItChangesOrExceedsItsGrant) {
  Sender sender;
  sender.exchange({runningAttempt(0, 500)});
  BOOST_TEST(sender.exchange({runningAttempt(0, 540)}) == 0U);
  BOOST_TEST(sender.exchange({runningAttempt(0, 560)}) == 1U);
  BOOST_TEST(sender.exchange({runningAttempt(0, 560)}) == 0U);
  sender.exchange({runningAttempt(0, 1001)});
  BOOST_TEST(sender.exchange({runningAttempt(0, 1001)}) == 1U);
}

BOOST_AUTO_TEST_CASE(SyncIsFullAfterAFailureALeaderChangeOrOnRequest) {
  Sender sender;
  sender.exchange({runningAttempt(0)});
  sender.send({runningAttempt(0)});
  sender.Filter.onFailure();
  BOOST_TEST(sender.exchange({runningAttempt(0)}) == 1U);
  BOOST_TEST(sender.exchange({runningAttempt(0)}, replyOf(2)) == 0U);
  // A full sync that the new leader has answered is not repeated.
  BOOST_TEST(sender.exchange({runningAttempt(0)}, replyOf(2)) == 1U);
  BOOST_TEST(
      sender.exchange({runningAttempt(0)}, replyOf(2, SyncScope::Full)) == 0U);
  BOOST_TEST(sender.exchange({runningAttempt(0)}, replyOf(3)) == 1U);
  BOOST_TEST(sender.exchange({runningAttempt(0)}, replyOf(3)) == 0U);
  sender.Filter.onUnfilteredReply(replyOf(3, SyncScope::Full));
  BOOST_TEST(sender.exchange({runningAttempt(0)}, replyOf(3)) == 1U);
}

BOOST_AUTO_TEST_CASE(NewAttemptOfAReportedTaskIsReported) {
  Sender sender;
  sender.exchange({runningAttempt(0)});
  RunningAttempt again = runningAttempt(0);
  again.Report.Token = token(2);
  BOOST_TEST(sender.exchange({again}) == 1U);
}

BOOST_AUTO_TEST_CASE(LeaderRequestsAFullSyncFromEveryWorkerOnce) {
  const FateStateMachine book = bookWith(2);
  SyncScopeTracker scopes;
  scopes.onSync(digestOnlySync(2), book, Instant());
  BOOST_TEST(scopes.isUrgent(Worker));
  BOOST_TEST((scopes.nextScope(Worker) == SyncScope::Full));
  scopes.onReply(Worker, Instant());
  // A worker that ignores the request doesn't get another urgent reply.
  scopes.onSync(digestOnlySync(2), book, Instant());
  BOOST_TEST(!scopes.isUrgent(Worker));
  BOOST_TEST((scopes.nextScope(Worker) == SyncScope::Full));
  scopes.onSync(digestOnlySync(0), book, Instant());
  BOOST_TEST((scopes.nextScope(Worker) == SyncScope::Changes));
  scopes.onSync(digestOnlySync(2), book, Instant());
  BOOST_TEST((scopes.nextScope(Worker) == SyncScope::Changes));
  // After a restart, the worker has to send a full sync again.
  WorkerSync restarted = digestOnlySync(2);
  restarted.Announcement.WorkerIncarnation = Incarnation{2};
  scopes.onSync(restarted, book, Instant());
  BOOST_TEST(scopes.isUrgent(Worker));
}

BOOST_AUTO_TEST_CASE(LeaderRequestsAFullSyncWhenTheRecordsDiffer) {
  SyncScopeTracker scopes;
  scopes.onSync(digestOnlySync(0), bookWith(2), Instant());
  for (const uint32_t n : {1U, 3U}) {
    // A single mismatch may be due to a report that is not journaled yet.
    scopes.onSync(digestOnlySync(n), bookWith(2), Instant());
    BOOST_TEST(!scopes.isUrgent(Worker));
    scopes.onSync(digestOnlySync(2), bookWith(2), Instant::fromMillis(400));
    scopes.onSync(digestOnlySync(n), bookWith(2), Instant::fromMillis(600));
    BOOST_TEST(!scopes.isUrgent(Worker));
    scopes.onSync(digestOnlySync(n), bookWith(2), Instant::fromMillis(1100));
    BOOST_TEST(scopes.isUrgent(Worker));
    scopes.onReply(Worker, Instant());
    scopes.onSync(digestOnlySync(0), bookWith(2), Instant());
    BOOST_TEST(!scopes.isUrgent(Worker));
  }
  // Attempts that the sync reports itself are not part of its digest.
  WorkerSync mixed = digestOnlySync(1);
  mixed.Reports = {{taskId(1), token(), TaskPhase::Finished, {}, "done"},
                   {taskId(2), token(), TaskPhase::Started, {}, ""}};
  BOOST_TEST(digestMatches(bookWith(2), mixed));
  mixed.Reports.front().Token = token(2);
  BOOST_TEST(!digestMatches(bookWith(2), mixed));
}

// If the reply to such a sync were held back, the following sync would be
// answered at once, and so would the syncs after it.
BOOST_AUTO_TEST_CASE(ReplyToASyncThatBypassesTheFilterIsNotHeld) {
  SyncScopeTracker scopes;
  scopes.onSync(digestOnlySync(0), bookWith(0), Instant());
  scopes.onReply(Worker, Instant());
  BOOST_TEST((scopes.replyHold({Self, {}}, Duration::seconds(6), Instant()) ==
              Duration()));
}

// Returns the remaining time of a lease when the reply to the next sync is
// sent, if that sync is lost `lost` times and resent after `timeout` each time.
Duration remainingLease(Duration lease, Duration timeout, int64_t lost) {
  const FateStateMachine book = bookWith(0);
  const WorkerSync sync = digestOnlySync(0);
  SyncScopeTracker scopes;
  scopes.onSync(sync, book, Instant());
  scopes.onReply(Worker, Instant());
  // The lease starts at Instant(); the reply to its sync is held as long as
  // possible.
  const Instant renewedAt =
      Instant() + scopes.replyHold(sync, lease, Instant());
  scopes.onReply(Worker, renewedAt);
  const Instant arrivedAt = renewedAt + timeout * lost;
  return Instant() + lease -
         (arrivedAt + scopes.replyHold(sync, lease, arrivedAt));
}

BOOST_AUTO_TEST_CASE(LeaseOutlivesTwoLostSyncsInARow) {
  const Duration lease = Duration::seconds(6);
  const Duration timeout = Duration::millis(1900);
  BOOST_TEST((remainingLease(lease, timeout, 0) >= Duration::seconds(3)));
  BOOST_TEST((remainingLease(lease, timeout, 1) >= Duration::seconds(2)));
  BOOST_TEST((remainingLease(lease, timeout, 2) >= Duration::millis(500)));
  // A short lease survives if no sync is lost.
  BOOST_TEST((remainingLease(Duration::millis(900), timeout, 0) >=
              Duration::millis(400)));
}

BOOST_AUTO_TEST_CASE(WorkerWithoutDigestsIsNeverAskedForAFullSync) {
  SyncScopeTracker scopes;
  scopes.onSync({Self, {}}, bookWith(2), Instant());
  BOOST_TEST(!scopes.isUrgent(Worker));
  BOOST_TEST((scopes.nextScope(Worker) == SyncScope::Changes));
  BOOST_TEST((scopes.replyHold({Self, {}}, Duration::seconds(6), Instant()) ==
              Duration::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::fate
