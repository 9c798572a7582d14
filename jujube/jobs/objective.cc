#include "jujube/jobs/objective.h"

#include <algorithm>
#include <vector>

namespace jujube::jobs {
namespace {

// Length of the critical path through the job's steps, by their estimates.
Duration criticalPath(const JobSpec &spec) {
  std::vector<Duration> ends;
  for (const StepSpec &step : spec.Steps) {
    Duration begin;
    for (const uint32_t before : step.After)
      begin = std::max(begin, ends[before]);
    ends.push_back(begin + step.Estimate);
  }
  return ends.empty() ? Duration() : *std::ranges::max_element(ends);
}

} // namespace

Instant dueAt(const Job &job, uint32_t occurrence) {
  return job.Spec.FirstDue ? *job.Spec.FirstDue + job.Spec.Period * occurrence
                           : job.AcceptedAt;
}

Instant objectiveOf(const Job &job, const Queue &queue, uint32_t occurrence) {
  const auto path = static_cast<double>(criticalPath(job.Spec).millis());
  return dueAt(job, occurrence) +
         Duration::millis(static_cast<int64_t>(path * queue.SlackFactor)) +
         queue.LatencyTarget;
}

} // namespace jujube::jobs
