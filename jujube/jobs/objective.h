// Due times and objectives of the occurrences of jobs.
#ifndef JUJUBE_JOBS_OBJECTIVE_H_
#define JUJUBE_JOBS_OBJECTIVE_H_

#include <cstdint>

#include "jujube/base/clock.h"
#include "jujube/jobs/configuration.h"
#include "jujube/jobs/job_state_machine.h"

namespace jujube::jobs {

// Returns the wall time at which an occurrence of a job is due.
Instant dueAt(const Job &job, uint32_t occurrence);
// Returns the wall time by which an occurrence should be done. Requires that
// the job has not ended.
Instant objectiveOf(const Job &job, const Queue &queue, uint32_t occurrence);

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_OBJECTIVE_H_
