// When the occurrences of a job are due, and by when they should be done.
#ifndef JUJUBE_JOBS_OBJECTIVE_H_
#define JUJUBE_JOBS_OBJECTIVE_H_

#include <cstdint>

#include "jujube/base/clock.h"
#include "jujube/jobs/configuration.h"
#include "jujube/jobs/job_book.h"

namespace jujube::jobs {

// Wall time at which an occurrence of a job is due.
Instant dueAt(const Job &job, uint32_t occurrence);
// Wall time by which an occurrence should be done. Precondition: the job has
// not ended.
Instant objectiveOf(const Job &job, const Queue &queue, uint32_t occurrence);

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_OBJECTIVE_H_
