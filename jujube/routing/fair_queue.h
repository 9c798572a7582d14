// Weighted fair queueing of one catalogue entry's requests over teams.
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

// A request that waits.
struct QueuedRequest {
  RequestId Request;
  Instant Since;
};

// Start-time fair queueing: of the teams that wait, the one with the least
// service for its weight goes next. A team that was idle does not save up
// service. Within a team requests are first come, first served.
class FairQueue {
public:
  void push(const TeamId &team, uint32_t weight, QueuedRequest request);
  // Puts back a request that was popped and not started.
  void pushFront(const TeamId &team, uint32_t weight, QueuedRequest request);
  std::optional<RequestId> pop();
  // The request that pop() would return.
  std::optional<RequestId> front() const;
  bool remove(const TeamId &team, const RequestId &request);
  std::vector<RequestId> removeAll();

  std::size_t size() const { return Total; }
  bool empty() const { return Total == 0; }
  std::size_t sizeOf(const TeamId &team) const;
  // The part of the service, 0 to 1, that `team` would get among the teams that
  // wait.
  double shareOf(const TeamId &team, uint32_t weight) const;
  Instant oldest() const;
  std::map<TeamId, uint32_t> queued() const;

private:
  struct Flow {
    std::deque<QueuedRequest> Waiting;
    double Served = 0;
    uint32_t Weight = 1;
  };
  using Flows = std::map<TeamId, Flow>;
  Flows::const_iterator next() const;
  Flow &flowOf(const TeamId &team, uint32_t weight);

  Flows Teams;
  double VirtualTime = 0;
  std::size_t Total = 0;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_FAIR_QUEUE_H_
