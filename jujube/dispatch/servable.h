// Which jobs can be served at all.
#ifndef JUJUBE_DISPATCH_SERVABLE_H_
#define JUJUBE_DISPATCH_SERVABLE_H_

#include "jujube/base/result.h"
#include "jujube/jobs/types.h"

namespace jujube::dispatch {

// Ok, or ImpossibleRequest with the reason: no steps, a step that waits for a
// later one, too many tasks, or a kind of step that is not served.
Status checkServable(const jobs::JobSpec &spec);

} // namespace jujube::dispatch

#endif // JUJUBE_DISPATCH_SERVABLE_H_
