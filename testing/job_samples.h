// Jobs, queues and workers for tests of stepped jobs.
#ifndef TESTING_JOB_SAMPLES_H_
#define TESTING_JOB_SAMPLES_H_

#include <string>
#include <utility>
#include <vector>

#include "jujube/jobs/events.h"
#include "jujube/jobs/job_state_machine.h"

namespace jujube::testing {

inline const jobs::QueueId SampleQueue("plans");
inline const jobs::PoolId SamplePool("desk");
inline const TeamId SampleTeam("billing");

inline jobs::Configuration sampleConfiguration(uint64_t version = 1) {
  jobs::Configuration config;
  config.Version = version;
  jobs::Queue queue;
  queue.Id = SampleQueue;
  queue.HostName = "a.example";
  queue.PathPrefix = "/plans/";
  queue.Pool = SamplePool;
  queue.Timeout = Duration::seconds(3);
  queue.MaxAttempts = 2;
  queue.SlackFactor = 2;
  queue.LatencyTarget = Duration::seconds(1);
  config.Queues = {queue};
  config.Pools = {{SamplePool}};
  config.Teams = {{SampleTeam, {"key-a"}, 10, {}}};
  return config;
}

inline jobs::StepSpec sampleStep(uint32_t tasks, int64_t milliCpu = 1000) {
  jobs::StepSpec step;
  step.Tasks = tasks;
  step.Ask = {milliCpu, 100, 0};
  step.Estimate = Duration::seconds(1);
  return step;
}

inline jobs::JobSpec sampleJob(const std::string &id,
                               std::vector<jobs::StepSpec> steps) {
  jobs::JobSpec job;
  job.Id = jobs::JobId(id);
  job.Queue = SampleQueue;
  job.Team = SampleTeam;
  job.Payload = "payload of " + id;
  job.Steps = std::move(steps);
  return job;
}

inline jobs::Worker sampleWorker(const std::string &id,
                                 int64_t milliCpu = 4000) {
  jobs::Worker worker;
  worker.Id = WorkerId(id);
  worker.WorkerIncarnation = Incarnation{1};
  worker.Pool = SamplePool;
  worker.At = {"127.0.0.1", 9000};
  worker.Capacity = {milliCpu, 100'000, 0};
  worker.Labels = {"a", "r1"};
  worker.Rack = "r1";
  return worker;
}

// A book with the configuration, the workers and the jobs.
inline jobs::JobStateMachine
sampleBook(const std::vector<jobs::Worker> &workers,
           const std::vector<jobs::JobSpec> &specs) {
  jobs::JobStateMachine book;
  book.apply(jobs::ConfigurationPut{sampleConfiguration()});
  for (const jobs::Worker &worker : workers)
    book.apply(jobs::WorkerChanged{worker});
  for (const jobs::JobSpec &spec : specs)
    book.apply(jobs::JobAccepted{spec, Instant::fromMillis(1000)});
  return book;
}

inline jobs::TaskKey taskOf(const std::string &job, uint32_t index,
                            uint32_t step = 0) {
  return {jobs::JobId(job), 0, step, index};
}

} // namespace jujube::testing

#endif // TESTING_JOB_SAMPLES_H_
