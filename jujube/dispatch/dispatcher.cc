#include "jujube/dispatch/dispatcher.h"

#include <algorithm>
#include <tuple>

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch {
namespace {

// Queries whose fixed part takes this long are of medium length, and long.
// Sources: a tenth of the shortest objective of the queues, and the time for
// naming 48 workers, about.
constexpr Duration MediumQuery = Duration::millis(40);
constexpr Duration LongQuery = Duration::millis(250);

// The longest chain of estimates over the job's steps.
Duration longestChain(const jobs::JobSpec &spec) {
  std::vector<Duration> ends;
  for (const jobs::StepSpec &step : spec.Steps) {
    Duration begin;
    for (const uint32_t before : step.After)
      begin = std::max(begin, ends[before]);
    ends.push_back(begin + step.Estimate);
  }
  return ends.empty() ? Duration() : *std::ranges::max_element(ends);
}

} // namespace

Instant dueAt(const jobs::Job &job, uint32_t occurrence) {
  return job.Spec.FirstDue ? *job.Spec.FirstDue + job.Spec.Period * occurrence
                           : job.AcceptedAt;
}

Instant objectiveOf(const jobs::Job &job, const jobs::Queue &queue,
                    uint32_t occurrence) {
  const auto chain = static_cast<double>(longestChain(job.Spec).millis());
  return dueAt(job, occurrence) +
         Duration::millis(static_cast<int64_t>(chain * queue.SlackFactor)) +
         queue.LatencyTarget;
}

QueryLength lengthOf(const jobs::ApprovalTerms &terms) {
  if (terms.Base < MediumQuery)
    return QueryLength::Short;
  return terms.Base < LongQuery ? QueryLength::Medium : QueryLength::Long;
}

Duration queryTime(const jobs::ApprovalTerms &terms, std::size_t workers) {
  return terms.Base + Duration::millis(static_cast<int64_t>(
                          terms.PerWorkerMs * static_cast<double>(workers)));
}

DispatchHooks defaultHooks() {
  DispatchHooks hooks;
  hooks.GoesFirst = [](const ReadyStep &a, const ReadyStep &b,
                       Instant wallNow) {
    const auto rank = [wallNow](const ReadyStep &step) {
      const bool isLate = step.DueBy < wallNow + step.Spec->Estimate;
      return std::tuple(step.Queue->Priority, isLate, step.DueBy, step.Key);
    };
    return rank(a) < rank(b);
  };
  return hooks;
}

DispatchPlan planStarts(const DispatchInput &input,
                        const DispatchHooks &hooks) {
  return internal::Pass(input, hooks).run();
}

} // namespace jujube::dispatch
