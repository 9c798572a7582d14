// Waiting requests: queueing, backoff, deadlines, cancellation and the
// rejection of impossible requests.
#ifndef JUJUBE_PLACEMENT_QUEUE_H_
#define JUJUBE_PLACEMENT_QUEUE_H_

#include <optional>

#include "jujube/placement/state.h"

namespace jujube::placement::internal {

// Returns the state of the request; adds the request if it is new.
RequestState &findOrAddRequest(PlannerState &state,
                               const fate::Submission &work,
                               Instant acceptedAt);

// Queues those of the given tasks that are neither waiting, placed nor
// finished. Rejects the request if it is impossible.
void enqueueTasks(PlannerState &state, RequestState &request,
                  const std::vector<uint32_t> &tasks, Instant now);

// Queues a task again; a failed task may wait for a backoff first.
void requeueTask(PlannerState &state, RequestState &request, uint32_t index,
                 Instant now);

// Removes a task that is about to be placed from the queue.
void dequeueTask(PlannerState &state, RequestState &request, uint32_t index);

// Moves the request in its lane after its order key changed.
void reorder(PlannerState &state, RequestState &request);

// Drops the queued tasks and stops the placed tasks.
void cancelRequest(PlannerState &state, RequestState &request);

// Removes the request and every reference to it.
void eraseRequest(PlannerState &state, RequestState &request);
// Removes the request if no task is placed and all are finished or the request
// is cancelled.
void eraseIfFinished(PlannerState &state, RequestState &request);

// The reason why the zone can never run the request; empty if it could.
std::optional<Error> findImpossible(const PlannerState &state,
                                    const RequestState &request);

// Rejects the request, unless a task is placed or may have run.
void rejectRequest(PlannerState &state, RequestState &request, Error why);

// Queues tasks whose backoff has ended, and rejects requests that are
// impossible or past their deadline.
void runQueueTimers(PlannerState &state, Instant now);

} // namespace jujube::placement::internal

#endif // JUJUBE_PLACEMENT_QUEUE_H_
