#include <fcntl.h>
#include <poll.h>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

#include "absl/synchronization/notification.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/reply_slot.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::runtime {
namespace {

using EventRecord = MailboxPtr<std::string>;

// Returns a body that records its start and its stop.
TaskBody recordingBody(const EventRecord &events) {
  return [events](TaskContext &context) -> Status {
    (void)events->post("+" + context.name());
    Status status = context.loop().run();
    (void)events->post("-" + context.name());
    return status;
  };
}

// Returns a body that records its start and fails the first `failures` times.
TaskBody failingBody(const EventRecord &events, int failures) {
  auto left = std::make_shared<int>(failures);
  return [events, left](TaskContext &context) -> Status {
    (void)events->post("+" + context.name());
    if ((*left)-- > 0)
      return Error{ErrorKind::Internal, "broken", "fix it"};
    return context.loop().run();
  };
}

std::string drainEvents(const EventRecord &events) {
  std::string all;
  for (const std::string &event : events->drain())
    all += event;
  return all;
}

// Runs the supervisor and stops it after `expected` events have been recorded.
Status runUntilEvents(const Supervisor &supervisor, const EventRecord &events,
                      std::size_t expected, std::string &recorded) {
  auto stop = std::make_shared<SignalEvent>();
  TaskContext context("test", Clock::monotonic(), stop);
  std::size_t seen = 0;
  context.loop().watchMailbox<std::string>(events,
                                           [&](const std::string &event) {
                                             recorded += event;
                                             if (++seen == expected)
                                               stop->raise();
                                           });
  return supervisor.run(context);
}

Supervisor make(RestartPolicy policy, std::vector<ChildSpec> children,
                std::size_t maxRestarts = 5) {
  return valueOf(
      Supervisor::create({"sup", policy, {maxRestarts, Duration::minutes(5)}},
                         std::move(children)));
}

BOOST_AUTO_TEST_SUITE(RuntimeSuite)

BOOST_AUTO_TEST_CASE(ChildrenStopInReverseOrder) {
  const EventRecord events = makeMailbox<std::string>(100);
  const Supervisor supervisor =
      make(RestartPolicy::OneForOne, {{"a", recordingBody(events)},
                                      {"b", recordingBody(events)},
                                      {"c", recordingBody(events)}});
  std::string recorded;
  BOOST_TEST(isOk(runUntilEvents(supervisor, events, 3, recorded)));
  BOOST_TEST(drainEvents(events) == "-c-b-a");
}

BOOST_AUTO_TEST_CASE(OneForOneRestartsOnlyTheFailed) {
  const EventRecord events = makeMailbox<std::string>(100);
  const Supervisor supervisor =
      make(RestartPolicy::OneForOne,
           {{"a", failingBody(events, 2)}, {"b", recordingBody(events)}});
  std::string recorded;
  BOOST_TEST(isOk(runUntilEvents(supervisor, events, 4, recorded)));
  BOOST_TEST(std::ranges::count(recorded, 'a') == 3);
  BOOST_TEST(std::ranges::count(recorded, 'b') == 1);
}

BOOST_AUTO_TEST_CASE(RestForOneRestartsLaterChildren) {
  const EventRecord events = makeMailbox<std::string>(100);
  const Supervisor supervisor =
      make(RestartPolicy::RestForOne, {{"a", recordingBody(events)},
                                       {"b", failingBody(events, 1)},
                                       {"c", recordingBody(events)}});
  std::string recorded;
  BOOST_TEST(isOk(runUntilEvents(supervisor, events, 6, recorded)));
  BOOST_TEST(std::ranges::count(recorded, 'a') == 1);
  BOOST_TEST(std::ranges::count(recorded, 'b') == 2);
  BOOST_TEST(std::ranges::count(recorded, 'c') == 3); // start, stop, start
}

BOOST_AUTO_TEST_CASE(SpentBudgetEscalates) {
  const EventRecord events = makeMailbox<std::string>(100);
  const Supervisor inner =
      make(RestartPolicy::OneForOne, {{"a", failingBody(events, 100)}}, 2);
  const Supervisor outer = make(RestartPolicy::OneForOne, {inner.asChild()}, 1);
  std::string recorded;
  const Status status = runUntilEvents(outer, events, 1000, recorded);
  BOOST_REQUIRE(!isOk(status));
  BOOST_TEST(errorOf(status).Message == "sup gave up: sup gave up: broken");
  recorded += drainEvents(events);
  BOOST_TEST(std::ranges::count(recorded, 'a') == 6); // 3 starts, twice
}

// A child that waits for a disk with free space must not end the process.
BOOST_AUTO_TEST_CASE(RestartsWithBackoffDoNotUseTheBudget) {
  const EventRecord events = makeMailbox<std::string>(100);
  RestartBackoff backoff;
  backoff.First = Duration::millis(4);
  backoff.Max = Duration::millis(16);
  backoff.CanPass = [](const Error &error) {
    return error.Kind == ErrorKind::Internal;
  };
  const Supervisor supervisor = make(
      RestartPolicy::OneForOne, {{"a", failingBody(events, 6), backoff}}, 1);
  std::string recorded;
  const Instant begin = Clock::monotonic().now();
  BOOST_TEST(isOk(runUntilEvents(supervisor, events, 7, recorded)));
  BOOST_TEST(std::ranges::count(recorded, 'a') == 7);
  // The delays are 4, 8, 16, 16, 16 and 16 ms.
  BOOST_TEST((Clock::monotonic().now() - begin >= Duration::millis(70)));
}

BOOST_AUTO_TEST_CASE(ErrorsThatCannotPassUseTheBudget) {
  const EventRecord events = makeMailbox<std::string>(100);
  RestartBackoff backoff;
  backoff.CanPass = [](const Error &) { return false; };
  const Supervisor supervisor = make(
      RestartPolicy::OneForOne, {{"a", failingBody(events, 100), backoff}}, 2);
  std::string recorded;
  BOOST_TEST(!isOk(runUntilEvents(supervisor, events, 1000, recorded)));
}

BOOST_AUTO_TEST_CASE(ExceptionCountsAsFailure) {
  const EventRecord events = makeMailbox<std::string>(100);
  const Supervisor supervisor = make(
      RestartPolicy::OneForOne,
      {{"a",
        [](TaskContext &) -> Status { throw std::runtime_error("oops"); }}},
      1);
  std::string recorded;
  const Status status = runUntilEvents(supervisor, events, 1000, recorded);
  BOOST_REQUIRE(!isOk(status));
  BOOST_TEST(errorOf(status).Message == "sup gave up: exception: oops");
}

BOOST_AUTO_TEST_CASE(ChildNamesAreUnique) {
  const EventRecord events = makeMailbox<std::string>(100);
  BOOST_TEST(!isOk(
      Supervisor::create({"sup", {}, {}}, {{"a", recordingBody(events)},
                                           {"a", recordingBody(events)}})));
  BOOST_TEST(!isOk(Supervisor::create({"sup", {}, {}}, {{"a", nullptr}})));
}

BOOST_AUTO_TEST_CASE(FullMailboxRefusesWithTypedError) {
  const auto mailbox = makeMailbox<int>(2);
  BOOST_TEST(isOk(mailbox->post(1)));
  BOOST_TEST(isOk(mailbox->post(2)));
  const Status status = mailbox->post(3);
  BOOST_REQUIRE(!isOk(status));
  BOOST_TEST(nameIn(ErrorKindNames, errorOf(status).Kind) == "overloaded");
  BOOST_TEST(mailbox->drain().size() == 2U);
  BOOST_TEST(isOk(mailbox->post(3)));
}

BOOST_AUTO_TEST_CASE(TimersFireInOrderAndCanBeCancelled) {
  ManualClock manual;
  PollLoop loop(manual.clock());
  std::string fired;
  loop.callAt(manual.now() + Duration::seconds(2), [&] { fired += "b"; });
  loop.callAt(manual.now() + Duration::seconds(1), [&] { fired += "a"; });
  const TimerId cancelled =
      loop.callAt(manual.now() + Duration::seconds(1), [&] { fired += "x"; });
  loop.callEvery(Duration::seconds(3), [&] { fired += "e"; });
  loop.cancel(cancelled);
  manual.advance(Duration::seconds(3));
  BOOST_TEST(isOk(loop.runOnce()));
  BOOST_TEST(fired == "abe");
  manual.advance(Duration::seconds(3));
  BOOST_TEST(isOk(loop.runOnce()));
  BOOST_TEST(fired == "abee");
}

BOOST_AUTO_TEST_CASE(HandlerMayRemoveAnotherWatch) {
  PollLoop loop(Clock::monotonic());
  SignalEvent first;
  SignalEvent second;
  first.raise();
  second.raise();
  int calls = 0;
  loop.watch(first.fd(), POLLIN, [&](short) {
    ++calls;
    loop.unwatch(first.fd());
    loop.unwatch(second.fd());
  });
  loop.watch(second.fd(), POLLIN, [&](short) {
    ++calls;
    loop.unwatch(first.fd());
    loop.unwatch(second.fd());
  });
  BOOST_TEST(isOk(loop.runOnce()));
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(RegularFileIsAlwaysReady) {
  PollLoop loop(Clock::monotonic());
  const FileDescriptor file(open("/proc/self/exe", O_RDONLY | O_CLOEXEC));
  short seen = 0;
  loop.watch(file.get(), POLLIN, [&](short events) { seen = events; });
  BOOST_TEST(isOk(loop.runOnce()));
  BOOST_TEST(seen == POLLIN);
  loop.unwatch(file.get());
  seen = 0;
  loop.callAt(loop.now(), [] {});
  BOOST_TEST(isOk(loop.runOnce()));
  BOOST_TEST(seen == 0);
}

BOOST_AUTO_TEST_CASE(DescriptorThatIsNotOpenIsReported) {
  PollLoop loop(Clock::monotonic());
  FileDescriptor file(open("/proc/self/exe", O_RDONLY | O_CLOEXEC));
  const int fd = file.get();
  file = FileDescriptor();
  short seen = 0;
  loop.watch(fd, POLLIN, [&](short events) { seen = events; });
  BOOST_TEST(isOk(loop.runOnce()));
  BOOST_TEST(seen == POLLNVAL);
}

BOOST_AUTO_TEST_CASE(ReusedDescriptorIsWatchedAnew) {
  PollLoop loop(Clock::monotonic());
  auto first = std::make_unique<SignalEvent>();
  const int fd = first->fd();
  loop.watch(fd, POLLIN, [](short) {});
  loop.unwatch(fd);
  first.reset();
  SignalEvent second;
  BOOST_REQUIRE(second.fd() == fd);
  bool isSeen = false;
  loop.watch(fd, POLLIN, [&](short) { isSeen = true; });
  second.raise();
  BOOST_TEST(isOk(loop.runOnce()));
  BOOST_TEST(isSeen);
}

BOOST_AUTO_TEST_CASE(MoreReadyDescriptorsThanOneTurnHandlesAreAllServed) {
  PollLoop loop(Clock::monotonic());
  std::vector<std::unique_ptr<SignalEvent>> events;
  std::size_t seen = 0;
  for (int i = 0; i < 600; ++i) {
    events.push_back(std::make_unique<SignalEvent>());
    events.back()->raise();
    loop.watch(events.back()->fd(), POLLIN,
               [&, raw = events.back().get()](short) {
                 raw->clear();
                 ++seen;
               });
  }
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(isOk(loop.runOnce()));
  BOOST_TEST(seen == events.size());
}

BOOST_AUTO_TEST_CASE(LoopBlocksUntilMessageArrives) {
  PollLoop loop(Clock::monotonic());
  const auto mailbox = makeMailbox<int>(1);
  const auto sender = Task::start(
      "sender", Clock::monotonic(),
      [mailbox](TaskContext &context) -> Status {
        context.loop().callAt(context.now() + Duration::millis(50), [&] {
          (void)mailbox->post(1);
          context.loop().stop();
        });
        return context.loop().run();
      },
      [](const TaskExit &) {});
  BOOST_REQUIRE(isOk(sender));
  bool isDone = false;
  loop.watchMailbox<int>(mailbox, [&](int) { isDone = true; });
  BOOST_TEST(isOk(loop.runOnce()));
  // A single turn suffices: the loop blocks until the message arrives and does
  // not poll.
  BOOST_TEST(isDone);
}

BOOST_AUTO_TEST_CASE(NextTimerIsTheEarliest) {
  const ManualClock clock;
  PollLoop loop(clock.clock());
  BOOST_TEST((loop.nextTimer() == Instant::never()));
  loop.callAt(Instant::fromMillis(20), [] {});
  const TimerId first = loop.callAt(Instant::fromMillis(10), [] {});
  BOOST_TEST((loop.nextTimer() == Instant::fromMillis(10)));
  loop.cancel(first);
  BOOST_TEST((loop.nextTimer() == Instant::fromMillis(20)));
}

BOOST_AUTO_TEST_CASE(ReplySlotKeepsTheFirstValue) {
  const auto slot = makeReplySlot<int>();
  BOOST_TEST(!isOk(slot->wait(Duration::millis(0))));
  slot->set(1);
  slot->set(2);
  BOOST_TEST(valueOf(slot->wait(Duration::seconds(1))) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::runtime
