#include "jujube/dispatch/servable.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"

namespace jujube::dispatch {
namespace {

// Size limits of a job: a snapshot has to hold thousands of jobs. A job may use
// a task on each worker of the largest fleet in each occurrence.
constexpr uint64_t MaxTasksPerOccurrence = 4096;
constexpr uint64_t MaxTasks = 16'384;

} // namespace

Error tooManySteps() {
  return Error{ErrorKind::ImpossibleRequest, "a job must have 1 to 64 steps",
               "split the job"};
}

Status checkServable(const jobs::JobSpec &spec) {
  const auto impossible = [](const std::string &message,
                             const std::string &remedy) {
    return Error{ErrorKind::ImpossibleRequest, message, remedy};
  };
  if (spec.Steps.empty() || spec.Steps.size() > MaxSteps)
    return tooManySteps();
  uint64_t tasks = 0;
  for (std::size_t i = 0; i < spec.Steps.size(); ++i) {
    const jobs::StepSpec &step = spec.Steps[i];
    tasks += step.Tasks;
    if (step.Tasks == 0 || step.Ask.isNegative())
      return impossible(
          absl::StrCat("step ", i,
                       " has no tasks or a negative resource request"),
          "give the step at least one task and resource requests of 0 or more");
    if (std::ranges::any_of(step.After,
                            [i](uint32_t before) { return before >= i; }))
      return impossible(absl::StrCat("step ", i, " waits for a later step"),
                        "let steps wait for earlier steps only");
  }
  if (tasks > MaxTasksPerOccurrence)
    return impossible("the job has more than 4096 tasks", "split the job");
  if (tasks * std::max<uint32_t>(spec.Occurrences, 1) > MaxTasks)
    return impossible("the job has more than 16384 tasks in all occurrences",
                      "submit it with fewer occurrences");
  return Ok{};
}

} // namespace jujube::dispatch
