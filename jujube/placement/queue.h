// The waiting work: lanes, back-off, deadlines, cancels, impossible requests.
#ifndef JUJUBE_PLACEMENT_QUEUE_H_
#define JUJUBE_PLACEMENT_QUEUE_H_

#include <optional>

#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Returns the request's state, creating it if it is new.
RequestState &findOrAddRequest(PlannerState &state,
                               const fate::Submission &work,
                               Instant acceptedAt);

// Queues the tasks of a request that are neither waiting nor placed.
void enqueueTasks(PlannerState &state, RequestState &request,
                  const std::vector<uint32_t> &tasks, Instant now);

// Queues a task again; one that failed waits for its back-off first.
void requeueTask(PlannerState &state, RequestState &request, uint32_t index,
                 Instant now);

// Takes a task out of its lane in order to place it.
void dequeueTask(PlannerState &state, RequestState &request, uint32_t index);

// Gives the request its place in its lane after its order key changed.
void reorder(PlannerState &state, RequestState &request);

// Drops queued tasks and has the placed ones stopped.
void cancelRequest(PlannerState &state, RequestState &request);

// Drops the request with everything that refers to it.
void eraseRequest(PlannerState &state, RequestState &request);
// Drops it if nothing is waiting or placed and no further attempt can come.
void eraseIfFinished(PlannerState &state, RequestState &request);

// Why the zone could never run the request, or nothing.
std::optional<Error> findImpossible(const PlannerState &state,
                                    const RequestState &request);

// Rejects the request, unless some of its tasks have been placed.
void rejectRequest(PlannerState &state, RequestState &request, Error why);

// Queues tasks whose back-off is over, rejects requests whose deadline has
// passed or that are found impossible.
void runQueueTimers(PlannerState &state, Instant now);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_QUEUE_H_
