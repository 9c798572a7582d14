// Worker sessions whose orders are answered, and whose events are stored, by
// the test.
#ifndef TESTING_SESSIONS_FIXTURE_H_
#define TESTING_SESSIONS_FIXTURE_H_

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "jujube/control/worker_sessions.h"
#include "testing/job_samples.h"

namespace jujube::testing {

inline const WorkerId W1("w1");
inline constexpr uint64_t LeaderTerm = 7;
// Fence of the orders to the only worker, as long as it has not restarted.
inline constexpr uint64_t Fence = dispatch::fenceOf(LeaderTerm, 1);

// Sessions whose orders and events wait until the test answers or stores them.
struct SessionsFixture {
  struct Sent {
    dispatch::Order What;
    std::function<void(dispatch::OrderAnswer)> Done;
  };
  struct PendingWrite {
    std::vector<jobs::Event> Events;
    std::function<void(bool)> Done;
  };

  ManualClock Time;
  jobs::JobStateMachine Book;
  std::deque<Sent> Orders;
  std::deque<PendingWrite> Writes;
  // False while another leader may have been elected.
  bool MayGrant = true;
  std::unique_ptr<control::WorkerSessions> Sessions;

  SessionsFixture(const SessionsFixture &) = delete;
  SessionsFixture &operator=(const SessionsFixture &) = delete;
  explicit SessionsFixture(jobs::JobStateMachine book,
                           std::size_t maxWaitingOrders = 10,
                           Duration maxLease = Duration::seconds(5))
      : Book(std::move(book)) {
    Time.advance(Duration::seconds(100));
    control::WorkerSessions::Hooks hooks;
    hooks.Send = [this](dispatch::Order order, Duration,
                        std::function<void(dispatch::OrderAnswer)> done) {
      Orders.push_back({std::move(order), std::move(done)});
    };
    hooks.Store = [this](std::vector<jobs::Event> events,
                         std::function<void(bool)> done) {
      Writes.push_back({std::move(events), std::move(done)});
    };
    hooks.Now = [this] { return Time.now(); };
    hooks.MayGrant = [this] { return MayGrant; };
    hooks.ExpireTicket = [](const jobs::StepKey &, const WorkerId &) {};
    dispatch::LeasePolicy leases;
    leases.Lease = Duration::seconds(5);
    leases.MaxLease = maxLease;
    Sessions = std::make_unique<control::WorkerSessions>(
        std::move(hooks), Book, leases, LeaderTerm, maxWaitingOrders);
  }

  void announce(uint64_t life = 1) {
    jobs::Announcement what;
    what.AnnouncedWorker = sampleWorker("w1");
    what.AnnouncedWorker.WorkerIncarnation = Incarnation{life};
    what.WorkerClock = Instant::fromMillis(500'000);
    Book.apply(jobs::WorkerChanged{what.AnnouncedWorker});
    Sessions->noteAnnouncement(what);
  }
  // Starts task 0 of job a with the given attempt number.
  void start(uint32_t attempt = 1) {
    const jobs::AttemptStarted event{taskOf("a", 0), attempt, W1};
    Book.apply(event);
    Sessions->start({event, "ticket"});
  }
  template <typename Order> std::optional<Sent> take() {
    const auto it = std::ranges::find_if(Orders, [](const Sent &sent) {
      return std::holds_alternative<Order>(sent.What.What);
    });
    if (it == Orders.end())
      return std::nullopt;
    Sent sent = std::move(*it);
    Orders.erase(it);
    return sent;
  }
  template <typename Order> void answer(dispatch::OrderVerdict verdict) {
    auto sent = take<Order>();
    BOOST_REQUIRE(sent.has_value());
    dispatch::OrderAnswer reply;
    reply.Verdict = verdict;
    sent->Done(reply);
  }
  // Waits for the next lease order.
  Sent awaitLeaseOrder() {
    Time.advance(Duration::millis(300));
    Sessions->tick();
    auto sent = take<dispatch::LeaseOrder>();
    BOOST_REQUIRE(sent.has_value());
    return *std::move(sent);
  }
  // Waits for the next lease order and answers it with these lists.
  void answerLeaseOrder(std::vector<dispatch::ReportedAttempt> running,
                        std::vector<dispatch::ReportedEnd> ended,
                        std::optional<uint64_t> life = std::nullopt) {
    const Sent sent = awaitLeaseOrder();
    dispatch::OrderAnswer reply;
    reply.Verdict = dispatch::OrderVerdict::Accepted;
    reply.Running = std::move(running);
    reply.Ended = std::move(ended);
    if (life)
      reply.WorkerIncarnation = Incarnation{*life};
    sent.Done(reply);
  }
  void storeAll() {
    while (!Writes.empty()) {
      const PendingWrite write = std::move(Writes.front());
      Writes.pop_front();
      for (const jobs::Event &event : write.Events) {
        Book.apply(event);
        if (const auto *end = std::get_if<jobs::AttemptEnded>(&event))
          Sessions->noteEnded(end->Task, W1);
      }
      write.Done(true);
    }
  }
  // Refuses the events that wait, as while the leader's lease has expired.
  void refuseAll() {
    for (const PendingWrite &write : std::exchange(Writes, {}))
      write.Done(false);
  }
  jobs::JobState jobState() const { return Book.find(jobs::JobId("a"))->State; }
  const jobs::Task &task() const { return *Book.findTask(taskOf("a", 0)); }
};

// A fixture in which task 0 of job a is running.
struct RunningFixture : SessionsFixture {
  RunningFixture()
      : SessionsFixture(sampleBook({}, {sampleJob("a", {sampleStep(1)})})) {
    announce();
    start();
    answer<dispatch::StartOrder>(dispatch::OrderVerdict::Accepted);
  }
};

// Task 0 of job a, as running and as ended.
inline dispatch::ReportedAttempt runningRow() {
  return {taskOf("a", 0), 1, "", 10};
}
inline dispatch::ReportedEnd endedRow(jobs::EndKind how) {
  return {4, taskOf("a", 0), 1, how, ""};
}

} // namespace jujube::testing

#endif // TESTING_SESSIONS_FIXTURE_H_
