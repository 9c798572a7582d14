// Weighted fair queueing of one catalogue entry's requests among teams.
#ifndef JUJUBE_ROUTING_FAIR_QUEUE_H_
#define JUJUBE_ROUTING_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"

namespace jujube::routing {

struct QueuedRequest {
  RequestId Request;
  Instant QueuedAt;
};

// Queue of one catalogue entry's requests. Implements start-time fair queueing:
// of the teams with queued requests, the team that has received the least
// service in proportion to its weight is served next. An idle team does not
// accumulate credit for later. Requests of one team are served in order of
// arrival. Part of a Router; not thread-safe.
class FairQueue {
public:
  void push(const TeamId &team, uint32_t weight, QueuedRequest request);
  // Puts `request` at the head of its team's queue and takes back the service
  // that was charged for it. For a request that was popped but has to wait
  // again.
  void pushFront(const TeamId &team, uint32_t weight, QueuedRequest request);
  // Removes the next request. Returns an empty optional if the queue is empty.
  std::optional<RequestId> pop();
  // Returns the request that pop() would return.
  std::optional<RequestId> front() const;
  // Returns false if the request was not queued.
  bool remove(const TeamId &team, const RequestId &request);
  std::vector<RequestId> removeAll();

  // Number of queued requests of all teams.
  std::size_t size() const { return Total; }
  bool empty() const { return Total == 0; }
  std::size_t sizeOf(const TeamId &team) const;
  // The fraction of the service, 0 to 1, that `team` would get in competition
  // with the other teams that have queued requests.
  double shareOf(const TeamId &team, uint32_t weight) const;
  // When the oldest request was queued; Instant::never() if the queue is empty.
  Instant oldestQueuedAt() const;
  // Number of queued requests of each team that has any.
  std::map<TeamId, uint32_t> queuedByTeam() const;

private:
  struct Flow {
    std::deque<QueuedRequest> Waiting;
    // Virtual start time of the team's next request: requests served so far,
    // divided by the weight.
    double Served = 0;
    uint32_t Weight = 1;
  };
  using Flows = std::map<TeamId, Flow>;
  // The team to serve next.
  Flows::const_iterator next() const;
  Flow &flowOf(const TeamId &team, uint32_t weight);

  Flows Teams;
  // Virtual start time of the latest request that was popped.
  double VirtualTime = 0;
  std::size_t Total = 0;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_FAIR_QUEUE_H_
