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
// Most workers that the approval service takes in one query, and that the short
// or medium queries of a step name together.
constexpr std::size_t MaxServiceWorkers = 100;
// Candidates are chosen among this many times as many workers, so that the
// queries of concurrent steps name different ones.
constexpr std::size_t SearchedMultiple = 3;
// Fewest workers that a short or medium query names, as far as there are
// candidates, so that one denial does not cost another call.
constexpr std::size_t MinQueryWorkers = 4;
// Long queries find workers until the approved ones, if idle, could run this
// many times the step: the free part of a worker on a full fleet is seldom
// large enough for a task.
constexpr int64_t SufficientApprovedMultiple = 8;
// Time for the messages between the leader and the host that makes the call.
constexpr Duration QueryOverhead = Duration::millis(100);
// Tasks that a worker without free capacity is expected to take when a query is
// sent ahead: capacity becomes free while the query is in flight.
constexpr double ExpectedTasksOnFullWorker = 0.5;

// Number of workers of a query whose names take as long as `span`.
std::size_t workersNamedIn(const jobs::ApprovalTerms &terms, Duration span) {
  const double count =
      static_cast<double>(span.millis()) / std::max(terms.PerWorkerMs, 0.001);
  return static_cast<std::size_t>(
      std::clamp(count, 0.0, static_cast<double>(MaxServiceWorkers)));
}

// Most workers that one query names. A long query names as many as take as long
// as its fixed part, unless their tickets could not be renewed before they
// expire.
std::size_t maxWorkersOf(const jobs::ApprovalTerms &terms) {
  if (lengthOf(terms) != QueryLength::Long)
    return MaxQueryWorkers;
  const Duration renewal =
      terms.Validity - TicketMargin - QueryOverhead - terms.Base;
  return std::max(MaxQueryWorkers, std::min(workersNamedIn(terms, terms.Base),
                                            workersNamedIn(terms, renewal)));
}

// Most short or medium queries of one step in a plan, if the plan may add
// `free`: where few hosts send queries, one step must not occupy them all.
std::size_t maxQueriesOfStep(std::size_t free) {
  return std::max<std::size_t>(1, free / 4);
}

} // namespace

void Pass::queryApproval(const ReadyStep &step, int64_t tasks) {
  if (!step.Queue->Approval)
    return;
  const QueryLength length = lengthOf(*step.Queue->Approval);
  const bool isLong = length == QueryLength::Long;
  const bool isPending =
      step.Approval != nullptr && !step.Approval->Pending.empty();
  if (isPending && !isLong)
    return;
  std::size_t &used = isLong ? LongQueries : ShortQueries;
  const std::size_t most =
      isLong ? Input.MaxLongQueries : Input.MaxShortQueries;
  if (used >= most)
    return;
  if (length == QueryLength::Short && !hasCapacityAnywhere(step))
    return;
  std::vector<NodeIndex> named =
      isLong ? nodesForLongQueries(step) : nodesForQuery(step, tasks);
  const std::size_t size = maxWorkersOf(*step.Queue->Approval);
  if (!isLong)
    named.resize(std::min(named.size(), size * maxQueriesOfStep(most)));
  for (std::size_t i = 0; i < named.size() && used < most; i += size, ++used) {
    jobs::ApprovalQuery query{step.Key};
    for (std::size_t k = i; k < std::min(i + size, named.size()); ++k)
      query.Workers.push_back(Workers[named[k]].Worker->Id);
    Plan.Queries.push_back(std::move(query));
  }
}

std::vector<NodeIndex> Pass::nodesForQuery(const ReadyStep &step,
                                           int64_t tasks) {
  const double rate = Input.Approved.approvalRate(step.Queue->Id);
  // Renewals are always approved; unknown workers may be denied.
  std::vector<Candidate> found = expiredCandidates(step);
  for (Candidate &it : found)
    it.ExpectedTasks = expectedTasks(it);
  for (Candidate &it : unknownCandidates(step, MaxServiceWorkers)) {
    it.ExpectedTasks = rate * expectedTasks(it);
    found.push_back(it);
  }
  std::ranges::stable_sort(found, std::greater<>(), [](const Candidate &it) {
    return std::pair(it.Fit > 0, it.ExpectedTasks);
  });
  auto needed = static_cast<double>(tasks);
  std::vector<NodeIndex> nodes;
  for (const Candidate &it : found) {
    if (nodes.size() >= MaxServiceWorkers ||
        (needed <= 0 && nodes.size() >= MinQueryWorkers))
      break;
    nodes.push_back(it.Node);
    needed -= it.ExpectedTasks;
  }
  const bool isGangUnlikelyToFit =
      step.Spec->IsGang &&
      lengthOf(*step.Queue->Approval) == QueryLength::Short &&
      needed > 0.5 * static_cast<double>(tasks);
  return isGangUnlikelyToFit ? std::vector<NodeIndex>() : nodes;
}

double Pass::expectedTasks(const Candidate &it) {
  return std::max(static_cast<double>(it.Fit), ExpectedTasksOnFullWorker);
}

std::vector<NodeIndex> Pass::nodesForLongQueries(const ReadyStep &step) {
  std::vector<NodeIndex> nodes = nodesToRenew(step);
  const double rate = Input.Approved.approvalRate(step.Queue->Id);
  double missing = static_cast<double>(SufficientApprovedMultiple *
                                       step.State->Tasks.size());
  if (step.Approval != nullptr) {
    for (const NodeIndex it : approvedNodes(step))
      missing -= static_cast<double>(fitIdle(step, it));
    for (const WorkerId &it : step.Approval->Pending)
      if (const auto node = Workers.find(it);
          node && !step.Approval->Approved.contains(it))
        missing -= rate * static_cast<double>(fitIdle(step, *node));
  }
  if (missing <= 0)
    return nodes;
  const auto most = static_cast<std::size_t>(std::min(missing / rate, 1e6)) + 1;
  for (const Candidate &it : unknownCandidates(step, most)) {
    if (missing <= 0)
      break;
    nodes.push_back(it.Node);
    missing -= rate * static_cast<double>(fitIdle(step, it.Node));
  }
  return nodes;
}

std::vector<NodeIndex> Pass::nodesToRenew(const ReadyStep &step) {
  if (step.Approval == nullptr)
    return {};
  const jobs::ApprovalTerms &terms = *step.Queue->Approval;
  const Instant due =
      Input.Now + queryTime(terms, maxWorkersOf(terms)) + QueryOverhead;
  std::vector<NodeIndex> nodes = approvedNodes(step);
  std::erase_if(nodes, [&](NodeIndex it) {
    return step.Approval->Pending.contains(Workers[it].Worker->Id) ||
           !isQueryable(step, it);
  });
  const bool isDue = std::ranges::any_of(nodes, [&](NodeIndex it) {
    return step.Approval->Approved.at(Workers[it].Worker->Id).ValidUntil < due;
  });
  return isDue ? nodes : std::vector<NodeIndex>();
}

bool Pass::isQueryable(const ReadyStep &step, NodeIndex index) const {
  const Fleet::Node &node = Workers[index];
  if (node.IsSuspect)
    return false;
  return lengthOf(*step.Queue->Approval) == QueryLength::Short
             ? taskCapacityOn(step, index) > 0
             : isEligible(step, *node.Worker);
}

const std::vector<NodeIndex> &Pass::approvedNodes(const ReadyStep &step) {
  if (ApprovedNodes)
    return *ApprovedNodes;
  ApprovedNodes.emplace();
  if (step.Approval == nullptr)
    return *ApprovedNodes;
  for (const auto &[id, ticket] : step.Approval->Approved) {
    ++Plan.Examined;
    if (const auto node = Workers.find(id))
      ApprovedNodes->push_back(*node);
  }
  return *ApprovedNodes;
}

std::vector<Pass::Candidate> Pass::expiredCandidates(const ReadyStep &step) {
  std::vector<Candidate> found;
  for (const NodeIndex it : approvedNodes(step))
    if (isCandidate(step, it, ApprovalState::Expired))
      found.push_back(candidate(step, it));
  return found;
}

std::vector<Pass::Candidate> Pass::unknownCandidates(const ReadyStep &step,
                                                     std::size_t most) {
  const NodeSpan members = Workers.members(step.Queue->Pool);
  std::vector<Candidate> found;
  if (knownWorkers(step) >= members.size())
    return found;
  const NodeSpan searched = nodesToQuery(step);
  for (std::size_t i = searched.size();
       i > 0 && found.size() < SearchedMultiple * most; --i)
    if (isCandidate(step, searched[i - 1], ApprovalState::Unknown))
      found.push_back(candidate(step, searched[i - 1]));
  // Reserved workers may become free for this step later.
  if (lengthOf(*step.Queue->Approval) == QueryLength::Long &&
      found.size() < most)
    for (const NodeIndex it : members)
      if (Workers[it].IsReserved &&
          isCandidate(step, it, ApprovalState::Unknown))
        found.push_back(candidate(step, it));
  const auto kept = std::min(found.size(), most);
  std::ranges::partial_sort(found,
                            found.begin() + static_cast<std::ptrdiff_t>(kept),
                            std::greater<>(), [](const Candidate &it) {
                              return std::tuple(it.Fit, it.TieBreak, it.Node);
                            });
  found.resize(kept);
  return found;
}

// Workers that are not part of the pass, such as those of evacuated zones, may
// have been named before.
std::size_t Pass::knownWorkers(const ReadyStep &step) {
  if (step.Approval == nullptr)
    return 0;
  const std::size_t all =
      step.Approval->Approved.size() + step.Approval->Denied.size();
  if (all < Workers.members(step.Queue->Pool).size())
    return all;
  Plan.Examined += all;
  const auto isPresent = [this](const WorkerId &id) {
    return Workers.find(id).has_value();
  };
  return static_cast<std::size_t>(
      std::ranges::count_if(
          step.Approval->Approved,
          [&](const auto &it) { return isPresent(it.first); }) +
      std::ranges::count_if(step.Approval->Denied, isPresent));
}

Pass::NodeSpan Pass::nodesToQuery(const ReadyStep &step) const {
  return lengthOf(*step.Queue->Approval) == QueryLength::Short
             ? nodesToSearch(step)
             : Workers.byFreeCpu(step.Queue->Pool);
}

Pass::Candidate Pass::candidate(const ReadyStep &step, NodeIndex index) {
  return {fitCount(step, Workers[index].Free),
          tieBreakHash(step.Key, Workers[index].Worker->Id), index};
}

bool Pass::isCandidate(const ReadyStep &step, NodeIndex index,
                       ApprovalState state) {
  ++Plan.Examined;
  const WorkerId &worker = Workers[index].Worker->Id;
  const ApprovalState current = step.Approval == nullptr
                                    ? ApprovalState::Unknown
                                    : step.Approval->stateOf(worker, Input.Now);
  const bool isPending =
      step.Approval != nullptr && step.Approval->Pending.contains(worker);
  return current == state && !isPending && isQueryable(step, index);
}

int64_t Pass::fitIdle(const ReadyStep &step, NodeIndex index) const {
  return fitCount(step, Workers[index].Worker->Capacity);
}

std::size_t Pass::tieBreakHash(const jobs::StepKey &step,
                               const WorkerId &worker) {
  std::size_t seed = std::hash<std::string>()(step.Job.str());
  boost::hash_combine(seed, step.Step);
  boost::hash_combine(seed, std::hash<std::string>()(worker.str()));
  return seed;
}

} // namespace jujube::dispatch::internal
