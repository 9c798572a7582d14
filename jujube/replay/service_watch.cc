#include "jujube/replay/service_watch.h"

#include <algorithm>

namespace jujube::replay {

void ServiceWatch::add(const RequestId &service, uint32_t tasks) {
  Services[service].Tasks.resize(tasks);
}

void ServiceWatch::started(const TaskId &id, const WorkerId &worker,
                           Instant now) {
  const auto it = Services.find(id.Request);
  if (it == Services.end())
    return;
  Service &service = it->second;
  Task &task = service.Tasks[id.Index];
  if (task.WasStarted)
    service.Record.LongestOutage =
        std::max(service.Record.LongestOutage, now - task.StoppedAt);
  task.WasStarted = task.IsRunning = true;
  task.Worker = worker;
  ++service.Running;
  if (service.WereAllRunning || service.Running < service.Tasks.size())
    return;
  service.WereAllRunning = true;
  service.Record.FewestRunning = service.Running;
}

void ServiceWatch::ended(const TaskId &id, Instant now) {
  const auto it = Services.find(id.Request);
  if (it != Services.end())
    stop(it->second, it->second.Tasks[id.Index], now);
}

void ServiceWatch::markWorkerLost(const WorkerId &worker, Instant now) {
  for (auto &[id, service] : Services)
    for (Task &task : service.Tasks)
      if (task.Worker == worker)
        stop(service, task, now);
}

std::map<RequestId, ServiceRecord> ServiceWatch::finish(Instant now) {
  std::map<RequestId, ServiceRecord> records;
  for (auto &[id, service] : Services) {
    ServiceRecord &record = records[id] = service.Record;
    for (const Task &task : service.Tasks)
      if (task.WasStarted && !task.IsRunning)
        record.LongestOutage =
            std::max(record.LongestOutage, now - task.StoppedAt);
  }
  return records;
}

void ServiceWatch::stop(Service &service, Task &task, Instant now) {
  if (!task.IsRunning)
    return;
  task.IsRunning = false;
  task.StoppedAt = now;
  --service.Running;
  service.Record.FewestRunning =
      std::min(service.Record.FewestRunning, service.Running);
}

} // namespace jujube::replay
