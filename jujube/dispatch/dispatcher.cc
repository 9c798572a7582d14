#include "jujube/dispatch/dispatcher.h"

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch {
namespace {

// Least fixed part of a medium query: a tenth of the shortest objective of the
// queues.
constexpr Duration MediumQuery = Duration::millis(40);
// Least fixed part of a long query: about the time for naming 48 workers.
constexpr Duration LongQuery = Duration::millis(250);

} // namespace

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
  hooks.CanMeetObjective = [](const jobs::WaitingStep &step, Instant wallNow) {
    return wallNow + step.Estimate <= step.DueBy;
  };
  hooks.IsWithinShare = [](const jobs::WaitingStep &) { return true; };
  return hooks;
}

DispatchPlan planStarts(const DispatchInput &input,
                        const DispatchHooks &hooks) {
  return internal::Pass(input, hooks).run();
}

} // namespace jujube::dispatch
