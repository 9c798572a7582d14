// How well services kept running in a replay.
#ifndef JUJUBE_REPLAY_SERVICE_WATCH_H_
#define JUJUBE_REPLAY_SERVICE_WATCH_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::replay {

// What is known of one service.
struct ServiceRecord {
  // Fewest tasks that ran at once since all had started for the first time; 0
  // if they never all did.
  uint32_t FewestRunning = 0;
  // Longest time for which a task that had started before did not run.
  Duration LongestOutage;
};

// Watches the tasks of services. A task on a lost worker counts as not running
// from the loss on.
class ServiceWatch {
public:
  void add(const RequestId &service, uint32_t tasks);
  // These ignore tasks of requests that were not added.
  void started(const TaskId &id, const WorkerId &worker, Instant now);
  void ended(const TaskId &id, Instant now);
  void markWorkerLost(const WorkerId &worker, Instant now);
  // Counts outages that last until the end of the replay.
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
