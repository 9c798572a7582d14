// Checks of submitted jobs that don't depend on the state of the cluster.
#ifndef JUJUBE_DISPATCH_SERVABLE_H_
#define JUJUBE_DISPATCH_SERVABLE_H_

#include <cstddef>

#include "jujube/base/result.h"
#include "jujube/jobs/types.h"

namespace jujube::dispatch {

// Most steps of a job.
inline constexpr std::size_t MaxSteps = 64;
// The error for a job with more steps, or none.
Error tooManySteps();

// Returns ImpossibleRequest with the reason if the job can never run: it has no
// steps or too many, a step without tasks or with a negative resource request,
// a step that waits for a later step, or too many tasks over all occurrences.
Status checkServable(const jobs::JobSpec &spec);

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_SERVABLE_H_
