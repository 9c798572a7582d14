// Which approvals are asked for.
#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <functional>
#include <tuple>
#include <utility>

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch::internal {
namespace {

// Most workers that one approval query names. Source: the objective allows for
// a call on 30 workers a step.
constexpr std::size_t MaxAskedWorkers = 30;
// Fewest, so that one refusal does not cost another call.
constexpr std::size_t MinAskedWorkers = 4;
// The same of a long query. Source: with a quarter of the workers approved,
// twelve that are hold a wide gang.
constexpr std::size_t MaxAskedByLongQuery = 48;
// No more workers are asked about once those that are approved hold this many
// times the step when they are empty. Source: a full fleet has about a fifth of
// its room, and what is free is seldom large enough.
constexpr int64_t EnoughKnown = 8;
// Added to the time of a query for the ways to the host and back.
constexpr Duration QueryOverhead = Duration::millis(100);
// What a worker without room for a task counts in a query ahead of room, in
// tasks: room comes up while the query is under way.
constexpr double TasksOnFullWorker = 0.5;
// More than any worker has.
constexpr Resources Unbounded = {INT64_MAX, INT64_MAX, INT64_MAX};

} // namespace

void Pass::askFor(const ReadyStep &step, int64_t tasks) {
  if (!step.Queue->Approval ||
      (step.Approval != nullptr && step.Approval->IsAsking))
    return;
  const QueryLength length = lengthOf(*step.Queue->Approval);
  const bool isLong = length == QueryLength::Long;
  std::size_t &used = isLong ? LongQueries : ShortQueries;
  if (used >= (isLong ? In.MaxLongQueries : In.MaxShortQueries))
    return;
  if (length == QueryLength::Short && !hasAnyRoom(step))
    return;
  jobs::ApprovalQuery query = isLong ? longQuery(step) : queryFor(step, tasks);
  if (query.Workers.empty())
    return;
  ++used;
  Plan.Queries.push_back(std::move(query));
}

jobs::ApprovalQuery Pass::queryFor(const ReadyStep &step, int64_t tasks) {
  auto needed = static_cast<double>(tasks);
  jobs::ApprovalQuery query{step.Key};
  // Renewed tickets are sure; unknown workers may be denied.
  addAsked(step, ApprovalState::Expired, 1.0, needed, query);
  const double rate = In.Approved.approvalRate(step.Queue->Id);
  addAsked(step, ApprovalState::Unknown, rate, needed, query);
  const bool isHopelessGang =
      step.Spec->IsGang &&
      lengthOf(*step.Queue->Approval) == QueryLength::Short &&
      needed > 0.5 * static_cast<double>(tasks);
  if (isHopelessGang)
    query.Workers.clear();
  return query;
}

jobs::ApprovalQuery Pass::longQuery(const ReadyStep &step) {
  const Duration lead =
      queryTime(*step.Queue->Approval, MaxAskedWorkers) + QueryOverhead;
  jobs::ApprovalQuery query{step.Key};
  bool isDue = false;
  int64_t known = 0;
  for (const ApprovalState state :
       {ApprovalState::Expired, ApprovalState::Valid})
    for (const Candidate &it : candidates(step, state)) {
      const jobs::Worker &worker = *Workers[it.Node].Who;
      query.Workers.push_back(worker.Id);
      known += fitCount(step, worker.Capacity);
      isDue |= step.Approval->Workers.at(worker.Id).ValidUntil < In.Now + lead;
    }
  if (known < EnoughKnown * static_cast<int64_t>(step.State->Tasks.size()))
    for (const Candidate &it : candidates(step, ApprovalState::Unknown)) {
      query.Workers.push_back(Workers[it.Node].Who->Id);
      isDue = true;
    }
  if (!isDue)
    return {step.Key};
  if (query.Workers.size() > MaxAskedByLongQuery)
    query.Workers.resize(MaxAskedByLongQuery);
  return query;
}

bool Pass::isAskable(const ReadyStep &step, NodeIndex index) const {
  const Fleet::Node &node = Workers[index];
  if (node.IsDoubtful)
    return false;
  return lengthOf(*step.Queue->Approval) == QueryLength::Short
             ? roomOn(step, index) > 0
             : isEligible(step, *node.Who);
}

std::vector<NodeIndex> Pass::knownNodes(const ReadyStep &step) {
  std::vector<NodeIndex> nodes;
  if (step.Approval == nullptr)
    return nodes;
  for (const auto &[id, verdict] : step.Approval->Workers) {
    ++Plan.Examined;
    if (const auto node = Workers.find(id))
      nodes.push_back(*node);
  }
  return nodes;
}

std::vector<Pass::Candidate> Pass::candidates(const ReadyStep &step,
                                              ApprovalState state) {
  if (state == ApprovalState::Unknown) {
    std::vector<Candidate> roomy = roomyCandidates(step);
    if (roomy.size() == MaxAskedByLongQuery)
      return roomy;
  }
  std::vector<NodeIndex> nodes;
  if (state == ApprovalState::Unknown) {
    const NodeSpan all = askableSource(step);
    nodes.assign(all.begin(), all.end());
  } else {
    nodes = knownNodes(step);
  }
  std::vector<Candidate> found;
  for (const NodeIndex it : nodes)
    if (isCandidate(step, it, state))
      found.push_back({fitCount(step, Workers[it].Free),
                       spread(step.Key, Workers[it].Who->Id), it});
  const auto most = std::min(found.size(), MaxAskedByLongQuery);
  std::ranges::partial_sort(found,
                            found.begin() + static_cast<std::ptrdiff_t>(most),
                            std::greater<>(), [](const Candidate &it) {
                              return std::tuple(it.Fit, it.Spread, it.Node);
                            });
  return found;
}

std::vector<Pass::Candidate> Pass::roomyCandidates(const ReadyStep &step) {
  const int64_t most = fitCount(step, Unbounded);
  const NodeSpan roomy =
      step.Spec->IsFiller
          ? NodeSpan()
          : Workers.withFree(step.Queue->Pool,
                             demandOf(*step.Spec).MilliCpu * most);
  std::vector<Candidate> found;
  if (roomy.size() < MaxAskedByLongQuery)
    return found;
  const std::size_t begin = spread(step.Key, WorkerId()) % roomy.size();
  for (std::size_t i = 0;
       i < roomy.size() && found.size() < MaxAskedByLongQuery; ++i) {
    const NodeIndex it = roomy[(begin + i) % roomy.size()];
    if (isCandidate(step, it, ApprovalState::Unknown) &&
        fitCount(step, Workers[it].Free) == most)
      found.push_back({most, i, it});
  }
  return found;
}

Pass::NodeSpan Pass::askableSource(const ReadyStep &step) const {
  return lengthOf(*step.Queue->Approval) == QueryLength::Short
             ? roomSource(step)
             : Workers.members(step.Queue->Pool);
}

bool Pass::isCandidate(const ReadyStep &step, NodeIndex index,
                       ApprovalState state) {
  ++Plan.Examined;
  const ApprovalState held =
      step.Approval == nullptr
          ? ApprovalState::Unknown
          : step.Approval->stateOf(Workers[index].Who->Id, In.Now);
  return held == state && isAskable(step, index);
}

void Pass::addAsked(const ReadyStep &step, ApprovalState state, double rate,
                    double &needed, jobs::ApprovalQuery &query) {
  for (const Candidate &it : candidates(step, state)) {
    const bool isEnough =
        needed <= 0 && (state == ApprovalState::Expired ||
                        query.Workers.size() >= MinAskedWorkers);
    if (isEnough || query.Workers.size() >= MaxAskedWorkers)
      return;
    query.Workers.push_back(Workers[it.Node].Who->Id);
    needed -= rate * std::max(static_cast<double>(it.Fit), TasksOnFullWorker);
  }
}

std::size_t Pass::spread(const jobs::StepKey &step, const WorkerId &worker) {
  std::size_t seed = std::hash<std::string>()(step.Job.str());
  boost::hash_combine(seed, step.Step);
  boost::hash_combine(seed, std::hash<std::string>()(worker.str()));
  return seed;
}

} // namespace jujube::dispatch::internal
