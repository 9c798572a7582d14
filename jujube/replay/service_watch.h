// Tracks the availability of services in a replay.
#ifndef JUJUBE_REPLAY_SERVICE_WATCH_H_
#define JUJUBE_REPLAY_SERVICE_WATCH_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::replay {

// Availability of one service.
struct ServiceRecord {
  // Minimum number of running tasks since all tasks first ran at once; 0 if
  // they never all ran.
  uint32_t FewestRunning = 0;
  // Longest time for which any task did not run after its first start.
  Duration LongestOutage;
};

// Tracks the tasks of services. A task counts as not running from the loss of
// its worker.
class ServiceWatch {
public:
  void add(const RequestId &service, uint32_t tasks);
  // The event functions ignore tasks of requests that were not added.
  void started(const TaskId &id, const WorkerId &worker, Instant now);
  void ended(const TaskId &id, Instant now);
  void markWorkerLost(const WorkerId &worker, Instant now);
  // Returns the records of all services; outages still open at `now` count.
  std::map<RequestId, ServiceRecord> finish(Instant now);

private:
  struct Task {
    bool WasStarted = false;
    bool IsRunning = false;
    WorkerId Worker;
    Instant StoppedAt;
  };
  struct Service {
    std::vector<Task> Tasks;
    uint32_t Running = 0;
    bool WereAllRunning = false;
    ServiceRecord Record;
  };

  static void stop(Service &service, Task &task, Instant now);

  std::map<RequestId, Service> Services;
};

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_SERVICE_WATCH_H_
