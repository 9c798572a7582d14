// Stand-ins for the platform's workers. They answer the platform's protocol on
// a manual clock, can be silenced, restarted or made to execute orders late,
// and record violations.
#ifndef TESTING_PLATFORM_WORKERS_H_
#define TESTING_PLATFORM_WORKERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/http/caller.h"
#include "jujube/jobs/commands.h"

namespace jujube::testing {

class PlatformWorkers {
public:
  using Reply = std::function<void(http::OutboundResult)>;

  // Tasks run for the milliseconds that their payload gives; "fail" fails.
  // Worker wN has the address NETWORK.(N / 256).(N % 256).
  explicit PlatformWorkers(Clock clock, std::string network = "10.9")
      : Time(std::move(clock)), Network(std::move(network)) {}

  void add(const std::string &id, Resources capacity);
  Address addressOf(const std::string &id) const;
  // The worker's current announcement.
  jobs::Announcement announcement(const std::string &id);

  // False while the worker is gone.
  bool isUp(const std::string &id) const { return !Workers.at(id).IsGone; }

  // Handles a call; `reply` is called at once or from a later tick().
  void handle(const http::OutboundCall &call, const Reply &reply);
  // Loses a call on its way: the caller waits for its timeout.
  void lose(const http::OutboundCall &call, const Reply &reply);
  // Ends due tasks, expires leases and answers waiting calls.
  void tick();

  // A silent worker neither receives nor answers calls; its running tasks
  // continue.
  void setSilent(const std::string &id, bool isSilent);
  // Orders get no answer and are executed after this span.
  void delayOrders(const std::string &id, Duration span);
  // Ends all running tasks; the worker is gone until restart(). Calls that
  // arrive meanwhile wait, for as long as their callers do, for whoever is at
  // the address next.
  void crash(const std::string &id);
  // Ends all running tasks and restarts the worker under the same id.
  void restart(const std::string &id);
  // Ends all running tasks; a worker with another name starts at the address.
  void replace(const std::string &id, const std::string &name);
  // From now on, the worker's clock advances by this many thousandths of real
  // time.
  void setClockRate(const std::string &id, int64_t perMille);
  // From now on, what the worker says of its clock is this old on arrival.
  void setAnswerAge(const std::string &id, Duration age) {
    Workers.at(id).AnswerAge = age;
  }
  // From now on, the worker announces this zone.
  void setZone(const std::string &id, const ZoneId &zone) {
    Workers.at(id).Zone = zone;
  }
  void setDraining(const std::string &id) { Workers.at(id).IsDraining = true; }

  // Every task that starts on the worker from now on fails after 50 ms.
  void setFailing(const std::string &id) { Workers.at(id).IsFailing = true; }

  // From now on, longer leases are shortened to this.
  void setMaxLease(Duration span) { MaxLease = span; }

  // Number of executed starts, by task.
  const std::map<std::string, int> &starts() const { return Starts; }
  std::size_t running() const;
  // Number of start orders that one worker has received.
  int startOrdersTo(const std::string &id) const {
    return Workers.at(id).StartOrders;
  }
  // Number of tasks that run on one worker.
  std::size_t runningOn(const std::string &id) const {
    return Workers.at(id).Tasks.size();
  }
  // The share of full speed that a running task was last assigned; -1 if the
  // task does not run.
  int shareOf(const std::string &task) const;
  // Descriptions of violations: concurrent runs of one task, a start after an
  // acknowledged end, or a worker over its capacity.
  const std::vector<std::string> &violations() const { return Violations; }

private:
  static constexpr int64_t ClockOffset = 400'000;

  struct RunningTask {
    uint32_t Attempt = 0;
    Instant Began;
    Instant Ends;
    bool Fails = false;
    Resources Ask;
    int Percent = 100;
  };
  struct Ended {
    uint64_t Number = 0;
    std::string Task;
    uint32_t Attempt = 0;
    std::string How;
  };
  struct Waiting {
    Instant Until;
    Reply Answer;
  };
  struct DelayedOrder {
    Instant At;
    http::OutboundCall Call;
  };
  struct UndeliveredCall {
    Instant Until;
    http::OutboundCall Call;
    Reply Answer;
  };
  struct Worker {
    // The id that it announces, and that callers must expect.
    std::string Name;
    ZoneId Zone;
    Resources Capacity;
    // The worker's clock showed ClockBase at RateSince, and has since advanced
    // by ClockRate thousandths of real time. Its origin is not the test's.
    int64_t ClockBase = ClockOffset;
    Instant RateSince;
    int64_t ClockRate = 1000;
    Duration AnswerAge;
    uint64_t Born = 1;
    uint64_t Sequence = 0;
    uint64_t Fence = 0;
    Instant Expires;
    uint64_t LastEnd = 0;
    int StartOrders = 0;
    bool IsSilent = false;
    bool IsGone = false;
    bool IsDraining = false;
    bool IsFailing = false;
    Duration Delay;
    std::map<std::string, RunningTask> Tasks;
    std::map<std::string, uint32_t> LastAttempts;
    std::vector<Ended> Ends;
    std::vector<Waiting> Holds;
    std::vector<DelayedOrder> Orders;
    std::vector<UndeliveredCall> Undelivered;
  };

  // A task's contribution to the tail latency at full speed.
  static constexpr Duration TailAtFullSpeed = Duration::millis(80);

  void deliver(Worker &worker, const http::OutboundCall &call,
               const Reply &reply);
  http::OutboundResponse execute(Worker &worker,
                                 const http::OutboundCall &call);
  http::OutboundResponse start(Worker &worker, const std::string &body);
  http::OutboundResponse stop(Worker &worker, const std::string &body);
  std::string lists(const Worker &worker) const;
  // The tail latency reported for all tasks of a worker: each task adds to it
  // in proportion to its share.
  int64_t tailOn(const Worker &worker) const;
  void end(Worker &worker, const std::string &task, const std::string &how);
  void acknowledge(Worker &worker, uint64_t upTo);
  int64_t clockOf(const Worker &worker) const;
  int64_t shownClockOf(const Worker &worker) const;

  Clock Time;
  std::string Network;
  Duration MaxLease = Duration::seconds(10);
  std::map<std::string, Worker> Workers;
  std::map<std::string, int> Starts;
  std::set<std::string> Done;
  std::vector<std::string> Violations;
};

} // namespace jujube::testing

#endif // TESTING_PLATFORM_WORKERS_H_
