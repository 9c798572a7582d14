// The approval queries of a pass.
#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <functional>
#include <tuple>
#include <utility>

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch::internal {
namespace {

// Most workers that a short or medium query names; the objective allows for one
// call about 30 workers for each step.
constexpr std::size_t MaxQueryWorkers = 30;
// Fewest workers that such a query names, as far as there are candidates, so
// that one denial does not cost another call.
constexpr std::size_t MinQueryWorkers = 4;
// Most workers that a long query names. If a quarter of them are approved,
// these twelve can run a wide gang.
constexpr std::size_t MaxLongQueryWorkers = 48;
// A long query names no unknown workers once the approved ones, if idle, could
// run this many times the step. A full fleet has about a fifth of its capacity
// free, and the free part of a worker is seldom large enough for a task.
constexpr int64_t SufficientApprovedMultiple = 8;
// Time for the messages between the leader and the host that makes the call.
constexpr Duration QueryOverhead = Duration::millis(100);
// Tasks that a worker without free capacity is expected to take when a query is
// sent ahead: capacity becomes free while the query is in flight.
constexpr double ExpectedTasksOnFullWorker = 0.5;
// Exceeds the capacity of any worker.
constexpr Resources Unbounded = {INT64_MAX, INT64_MAX, INT64_MAX};

} // namespace

void Pass::queryApproval(const ReadyStep &step, int64_t tasks) {
  if (!step.Queue->Approval ||
      (step.Approval != nullptr && step.Approval->IsQueryPending))
    return;
  const QueryLength length = lengthOf(*step.Queue->Approval);
  const bool isLong = length == QueryLength::Long;
  std::size_t &used = isLong ? LongQueries : ShortQueries;
  if (used >= (isLong ? Input.MaxLongQueries : Input.MaxShortQueries))
    return;
  if (length == QueryLength::Short && !hasCapacityAnywhere(step))
    return;
  jobs::ApprovalQuery query =
      isLong ? longQuery(step) : sizedQuery(step, tasks);
  if (query.Workers.empty())
    return;
  ++used;
  Plan.Queries.push_back(std::move(query));
}

jobs::ApprovalQuery Pass::sizedQuery(const ReadyStep &step, int64_t tasks) {
  auto needed = static_cast<double>(tasks);
  jobs::ApprovalQuery query{step.Key};
  // Renewals are always approved; unknown workers may be denied.
  addToQuery(step, ApprovalState::Expired, 1.0, needed, query);
  const double rate = Input.Approved.approvalRate(step.Queue->Id);
  addToQuery(step, ApprovalState::Unknown, rate, needed, query);
  const bool isGangUnlikelyToFit =
      step.Spec->IsGang &&
      lengthOf(*step.Queue->Approval) == QueryLength::Short &&
      needed > 0.5 * static_cast<double>(tasks);
  if (isGangUnlikelyToFit)
    query.Workers.clear();
  return query;
}

jobs::ApprovalQuery Pass::longQuery(const ReadyStep &step) {
  const Duration lead =
      queryTime(*step.Queue->Approval, MaxQueryWorkers) + QueryOverhead;
  jobs::ApprovalQuery query{step.Key};
  bool isDue = false;
  int64_t approvedTasks = 0;
  for (const ApprovalState state :
       {ApprovalState::Expired, ApprovalState::Valid})
    for (const Candidate &it : candidates(step, state)) {
      const jobs::Worker &worker = *Workers[it.Node].Worker;
      query.Workers.push_back(worker.Id);
      approvedTasks += fitCount(step, worker.Capacity);
      isDue |=
          step.Approval->Workers.at(worker.Id).ValidUntil < Input.Now + lead;
    }
  if (approvedTasks < SufficientApprovedMultiple *
                          static_cast<int64_t>(step.State->Tasks.size()))
    for (const Candidate &it : candidates(step, ApprovalState::Unknown)) {
      query.Workers.push_back(Workers[it.Node].Worker->Id);
      isDue = true;
    }
  if (!isDue)
    return {step.Key};
  if (query.Workers.size() > MaxLongQueryWorkers)
    query.Workers.resize(MaxLongQueryWorkers);
  return query;
}

bool Pass::isQueryable(const ReadyStep &step, NodeIndex index) const {
  const Fleet::Node &node = Workers[index];
  if (node.IsSuspect)
    return false;
  return lengthOf(*step.Queue->Approval) == QueryLength::Short
             ? taskCapacityOn(step, index) > 0
             : isEligible(step, *node.Worker);
}

std::vector<NodeIndex> Pass::nodesWithVerdict(const ReadyStep &step) {
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
    std::vector<Candidate> fitting = fullFitCandidates(step);
    if (fitting.size() == MaxLongQueryWorkers)
      return fitting;
  }
  std::vector<NodeIndex> nodes;
  if (state == ApprovalState::Unknown) {
    const NodeSpan all = nodesToQuery(step);
    nodes.assign(all.begin(), all.end());
  } else {
    nodes = nodesWithVerdict(step);
  }
  std::vector<Candidate> found;
  for (const NodeIndex it : nodes)
    if (isCandidate(step, it, state))
      found.push_back({fitCount(step, Workers[it].Free),
                       tieBreakHash(step.Key, Workers[it].Worker->Id), it});
  const auto most = std::min(found.size(), MaxLongQueryWorkers);
  std::ranges::partial_sort(found,
                            found.begin() + static_cast<std::ptrdiff_t>(most),
                            std::greater<>(), [](const Candidate &it) {
                              return std::tuple(it.Fit, it.TieBreak, it.Node);
                            });
  return found;
}

std::vector<Pass::Candidate> Pass::fullFitCandidates(const ReadyStep &step) {
  const int64_t most = fitCount(step, Unbounded);
  const NodeSpan fitting =
      step.Spec->IsFiller
          ? NodeSpan()
          : Workers.withFreeCpu(step.Queue->Pool,
                                demandOf(*step.Spec).MilliCpu * most);
  std::vector<Candidate> found;
  if (fitting.size() < MaxLongQueryWorkers)
    return found;
  const std::size_t begin = tieBreakHash(step.Key, WorkerId()) % fitting.size();
  for (std::size_t i = 0;
       i < fitting.size() && found.size() < MaxLongQueryWorkers; ++i) {
    const NodeIndex it = fitting[(begin + i) % fitting.size()];
    if (isCandidate(step, it, ApprovalState::Unknown) &&
        fitCount(step, Workers[it].Free) == most)
      found.push_back({most, i, it});
  }
  return found;
}

Pass::NodeSpan Pass::nodesToQuery(const ReadyStep &step) const {
  return lengthOf(*step.Queue->Approval) == QueryLength::Short
             ? nodesToSearch(step)
             : Workers.members(step.Queue->Pool);
}

bool Pass::isCandidate(const ReadyStep &step, NodeIndex index,
                       ApprovalState state) {
  ++Plan.Examined;
  const ApprovalState current =
      step.Approval == nullptr
          ? ApprovalState::Unknown
          : step.Approval->stateOf(Workers[index].Worker->Id, Input.Now);
  return current == state && isQueryable(step, index);
}

void Pass::addToQuery(const ReadyStep &step, ApprovalState state, double rate,
                      double &needed, jobs::ApprovalQuery &query) {
  for (const Candidate &it : candidates(step, state)) {
    const bool isEnough =
        needed <= 0 && (state == ApprovalState::Expired ||
                        query.Workers.size() >= MinQueryWorkers);
    if (isEnough || query.Workers.size() >= MaxQueryWorkers)
      return;
    query.Workers.push_back(Workers[it.Node].Worker->Id);
    needed -=
        rate * std::max(static_cast<double>(it.Fit), ExpectedTasksOnFullWorker);
  }
}

std::size_t Pass::tieBreakHash(const jobs::StepKey &step,
                               const WorkerId &worker) {
  std::size_t seed = std::hash<std::string>()(step.Job.str());
  boost::hash_combine(seed, step.Step);
  boost::hash_combine(seed, std::hash<std::string>()(worker.str()));
  return seed;
}

} // namespace jujube::dispatch::internal
