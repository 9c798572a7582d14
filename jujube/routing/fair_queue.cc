#include "jujube/routing/fair_queue.h"

#include <algorithm>
#include <numeric>

namespace jujube::routing {

FairQueue::Flow &FairQueue::flowOf(const TeamId &team, uint32_t weight) {
  Flow &flow = Teams[team];
  flow.Weight = std::max(weight, 1U);
  if (flow.Waiting.empty())
    flow.Served = std::max(flow.Served, VirtualTime);
  return flow;
}

void FairQueue::push(const TeamId &team, uint32_t weight,
                     QueuedRequest request) {
  flowOf(team, weight).Waiting.push_back(std::move(request));
  ++Total;
}

void FairQueue::pushFront(const TeamId &team, uint32_t weight,
                          QueuedRequest request) {
  Flow &flow = flowOf(team, weight);
  flow.Served -= 1.0 / flow.Weight;
  flow.Waiting.push_front(std::move(request));
  ++Total;
}

FairQueue::Flows::const_iterator FairQueue::next() const {
  const auto rank = [](const auto &a, const auto &b) {
    const bool isEmptyA = a.second.Waiting.empty();
    const bool isEmptyB = b.second.Waiting.empty();
    if (isEmptyA != isEmptyB)
      return isEmptyB;
    return a.second.Served < b.second.Served;
  };
  return std::min_element(Teams.begin(), Teams.end(), rank);
}

std::optional<RequestId> FairQueue::front() const {
  if (Total == 0)
    return std::nullopt;
  return next()->second.Waiting.front().Request;
}

std::optional<RequestId> FairQueue::pop() {
  if (Total == 0)
    return std::nullopt;
  Flow &flow = Teams.at(next()->first);
  RequestId id = std::move(flow.Waiting.front().Request);
  flow.Waiting.pop_front();
  --Total;
  VirtualTime = std::max(VirtualTime, flow.Served);
  flow.Served += 1.0 / flow.Weight;
  return id;
}

bool FairQueue::remove(const TeamId &team, const RequestId &request) {
  const auto flow = Teams.find(team);
  if (flow == Teams.end())
    return false;
  const std::size_t n =
      std::erase_if(flow->second.Waiting, [&](const QueuedRequest &waiting) {
        return waiting.Request == request;
      });
  Total -= n;
  return n > 0;
}

std::vector<RequestId> FairQueue::removeAll() {
  std::vector<RequestId> all;
  while (std::optional<RequestId> id = pop())
    all.push_back(*std::move(id));
  return all;
}

std::size_t FairQueue::sizeOf(const TeamId &team) const {
  const auto flow = Teams.find(team);
  return flow == Teams.end() ? 0 : flow->second.Waiting.size();
}

double FairQueue::shareOf(const TeamId &team, uint32_t weight) const {
  const double others = std::accumulate(
      Teams.begin(), Teams.end(), 0.0, [&](double sum, const auto &row) {
        const bool counts = row.first != team && !row.second.Waiting.empty();
        return counts ? sum + row.second.Weight : sum;
      });
  return weight / (others + weight);
}

Instant FairQueue::oldestQueuedAt() const {
  Instant first = Instant::never();
  for (const auto &[team, flow] : Teams)
    if (!flow.Waiting.empty())
      first = std::min(first, flow.Waiting.front().QueuedAt);
  return first;
}

std::map<TeamId, uint32_t> FairQueue::queuedByTeam() const {
  std::map<TeamId, uint32_t> counts;
  for (const auto &[team, flow] : Teams)
    if (!flow.Waiting.empty())
      counts[team] = static_cast<uint32_t>(flow.Waiting.size());
  return counts;
}

} // namespace jujube::routing
