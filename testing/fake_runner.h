// A runner as the routing code's fake world sees it: slots, a service time per
// request, and an oracle that counts what must never happen.
#ifndef TESTING_FAKE_RUNNER_H_
#define TESTING_FAKE_RUNNER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jujube/routing/actions.h"
#include "jujube/routing/types.h"
#include "testing/event_queue.h"

namespace jujube::testing {

// How a runner treats one request.
struct Service {
  Duration Time;
  bool Fails = false;
};
using ServiceHook = std::function<Service(const RunnerId &runner)>;

// When an attempt was started by a runner, and for how long it took a slot.
struct Run {
  RunnerId Runner;
  Instant StartedAt;
  Duration Time;
};

// What the oracle saw, over all runners.
struct RunnerOracle {
  // Broken promises, in words.
  std::vector<std::string> Violations;
  // How often each request that is not idempotent was started.
  std::map<RequestId, uint32_t> OnceStarts;
  std::set<RequestId> Started;
  uint64_t Starts = 0;
  // Requests that found all slots taken and waited on the runner.
  uint64_t Excess = 0;
  std::map<std::pair<RequestId, uint32_t>, Run> Runs;
  // Starts beyond the slots are violations; baselines let them wait instead.
  bool ChecksSlots = true;
};

// One attempt as it arrives. `Answer` is called when it ends at the runner.
struct Arrival {
  routing::LiveRequest Request;
  uint32_t Attempt = 1;
  Incarnation Start;
  Duration Timeout;
  std::function<void(routing::AttemptOutcome)> Answer;
};

class FakeRunner {
public:
  FakeRunner(routing::RunnerAnnouncement announcement, EventQueue &events,
             RunnerOracle &oracle, ServiceHook service);

  void arrive(Arrival arrival);
  // The state of an attempt; one that was not seen is refused from then on.
  // Nothing while it runs, or if another start of the runner got it.
  std::optional<routing::AttemptOutcome>
  inquire(const RequestId &id, uint32_t attempt, Incarnation start);
  void leave();
  // Everything in progress is lost and nothing is answered until restart().
  void kill();
  void restart();

  bool isAlive() const { return IsAlive; }
  const routing::RunnerAnnouncement &announcement() const {
    return Announcement;
  }
  std::size_t inProgress() const { return InProgress; }

private:
  using AttemptKey = std::pair<RequestId, uint32_t>;

  void start(Arrival arrival);
  void end(const Arrival &arrival, routing::AttemptOutcome outcome);
  void violate(const std::string &what, const RequestId &id);

  routing::RunnerAnnouncement Announcement;
  EventQueue &Events;
  RunnerOracle &Oracle;
  ServiceHook ServiceOf;
  bool IsAlive = true;
  // Tells the requests of one life from those of the next.
  uint64_t WorkerIncarnation = 0;
  Instant LeftAt = Instant::never();
  std::size_t InProgress = 0;
  std::deque<std::pair<Instant, Arrival>> Waiting;
  std::map<AttemptKey, std::optional<routing::AttemptOutcome>> Seen;
};

} // namespace jujube::testing

#endif // TESTING_FAKE_RUNNER_H_
