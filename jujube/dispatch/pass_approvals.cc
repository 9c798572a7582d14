// Which approvals are asked for.
#include <algorithm>
#include <functional>
#include <utility>

#include "absl/strings/str_cat.h"
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

} // namespace

void Pass::askFor(const ReadyStep &step, std::size_t tasks) {
  if (!step.Queue->Approval || In.Approved.isAsking(step.Key))
    return;
  const QueryLength length = lengthOf(*step.Queue->Approval);
  const bool isLong = length == QueryLength::Long;
  std::size_t &used = isLong ? LongQueries : ShortQueries;
  if (used >= (isLong ? In.MaxLongQueries : In.MaxShortQueries))
    return;
  jobs::ApprovalQuery query = isLong ? longQuery(step) : queryFor(step, tasks);
  if (query.Workers.empty())
    return;
  ++used;
  Plan.Queries.push_back(std::move(query));
}

jobs::ApprovalQuery Pass::queryFor(const ReadyStep &step,
                                   std::size_t tasks) const {
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

jobs::ApprovalQuery Pass::longQuery(const ReadyStep &step) const {
  const Duration lead =
      queryTime(*step.Queue->Approval, MaxAskedWorkers) + QueryOverhead;
  jobs::ApprovalQuery query{step.Key};
  bool isDue = false;
  int64_t known = 0;
  for (const ApprovalState state :
       {ApprovalState::Expired, ApprovalState::Valid})
    for (const Candidate &it : candidates(step, state)) {
      query.Workers.push_back(it.View->Who->Id);
      known += fitCount(step, it.View->Who->Capacity);
      isDue |=
          In.Approved.validUntil(step.Key, it.View->Who->Id) < In.Now + lead;
    }
  if (known < EnoughKnown * static_cast<int64_t>(step.State->Tasks.size()))
    for (const Candidate &it : candidates(step, ApprovalState::Unknown)) {
      query.Workers.push_back(it.View->Who->Id);
      isDue = true;
    }
  if (!isDue)
    return {step.Key};
  if (query.Workers.size() > MaxAskedByLongQuery)
    query.Workers.resize(MaxAskedByLongQuery);
  return query;
}

bool Pass::isAskable(const ReadyStep &step, const WorkerView &view) const {
  if (view.IsDoubtful)
    return false;
  return lengthOf(*step.Queue->Approval) == QueryLength::Short
             ? hasRoom(step, view)
             : isEligible(step, *view.Who);
}

std::vector<Pass::Candidate> Pass::candidates(const ReadyStep &step,
                                              ApprovalState state) const {
  std::vector<Candidate> found;
  Examined += In.Workers.size();
  for (const WorkerView &view : In.Workers)
    if (isAskable(step, view) &&
        In.Approved.stateOf(step.Key, view.Who->Id, In.Now) == state)
      found.push_back({fitCount(step, Free.at(view.Who->Id)),
                       spread(step.Key, view.Who->Id), &view});
  std::ranges::sort(found, std::greater<>(), [](const Candidate &it) {
    return std::pair(it.Fit, it.Spread);
  });
  return found;
}

void Pass::addAsked(const ReadyStep &step, ApprovalState state, double rate,
                    double &needed, jobs::ApprovalQuery &query) const {
  for (const Candidate &it : candidates(step, state)) {
    const bool isEnough =
        needed <= 0 && (state == ApprovalState::Expired ||
                        query.Workers.size() >= MinAskedWorkers);
    if (isEnough || query.Workers.size() >= MaxAskedWorkers)
      return;
    query.Workers.push_back(it.View->Who->Id);
    needed -= rate * std::max(static_cast<double>(it.Fit), TasksOnFullWorker);
  }
}

std::size_t Pass::spread(const jobs::StepKey &step, const WorkerId &worker) {
  return std::hash<std::string>()(
      absl::StrCat(step.Job.str(), step.Step, worker.str()));
}

} // namespace jujube::dispatch::internal
