#include "jujube/dispatch/approvals.h"

namespace jujube::dispatch {
namespace {

// Tickets are not used this shortly before they expire: the start has to be
// replicated and to reach the worker first.
constexpr Duration TicketMargin = Duration::millis(150);

} // namespace

void Approvals::begin(const jobs::ApprovalQuery &query,
                      const jobs::QueueId &queue) {
  Step &step = Steps[query.Step];
  step.Queue = queue;
  step.IsQueryPending = true;
}

void Approvals::finish(const jobs::ApprovalQuery &query,
                       const jobs::ApprovalAnswer &answer, Instant issuedAt) {
  const auto it = Steps.find(query.Step);
  if (it == Steps.end())
    return;
  Step &step = it->second;
  step.IsQueryPending = false;
  Rate &rate = Rates[step.Queue];
  for (const WorkerId &worker : query.Workers)
    if (!step.Workers[worker].IsApproved)
      rate.Asked += 1;
  for (const jobs::Approval &approval : answer.Approved) {
    const auto [known, isNew] = step.Workers.try_emplace(approval.Worker);
    Verdict &verdict = known->second;
    if (!isNew && !verdict.IsApproved)
      rate.Approved += 1;
    verdict = {true, approval.Ticket,
               issuedAt + answer.Validity - TicketMargin};
  }
}

void Approvals::abandon(const jobs::StepKey &step) {
  const auto it = Steps.find(step);
  if (it != Steps.end())
    it->second.IsQueryPending = false;
}

bool Approvals::isQueryPending(const jobs::StepKey &step) const {
  const Step *found = find(step);
  return found != nullptr && found->IsQueryPending;
}

const Approvals::Step *Approvals::find(const jobs::StepKey &step) const {
  const auto it = Steps.find(step);
  return it == Steps.end() ? nullptr : &it->second;
}

ApprovalState Approvals::Step::stateOf(const WorkerId &worker,
                                       Instant now) const {
  const auto it = Workers.find(worker);
  if (it == Workers.end())
    return ApprovalState::Unknown;
  if (!it->second.IsApproved)
    return ApprovalState::Denied;
  return now < it->second.ValidUntil ? ApprovalState::Valid
                                     : ApprovalState::Expired;
}

ApprovalState Approvals::stateOf(const jobs::StepKey &step,
                                 const WorkerId &worker, Instant now) const {
  const Step *found = find(step);
  return found == nullptr ? ApprovalState::Unknown
                          : found->stateOf(worker, now);
}

std::optional<std::string> Approvals::ticket(const jobs::StepKey &step,
                                             const WorkerId &worker,
                                             Instant now) const {
  const Step *found = find(step);
  if (found == nullptr || found->stateOf(worker, now) != ApprovalState::Valid)
    return std::nullopt;
  return found->Workers.at(worker).Ticket;
}

void Approvals::expire(const jobs::StepKey &step, const WorkerId &worker) {
  const auto it = Steps.find(step);
  if (it == Steps.end())
    return;
  const auto known = it->second.Workers.find(worker);
  if (known != it->second.Workers.end())
    known->second.ValidUntil = Instant();
}

void Approvals::expireWorker(const WorkerId &worker) {
  for (auto &[key, step] : Steps)
    if (const auto it = step.Workers.find(worker); it != step.Workers.end())
      it->second.ValidUntil = Instant();
}

void Approvals::retain(
    const std::function<bool(const jobs::StepKey &)> &isWanted) {
  absl::erase_if(Steps, [&](const auto &it) {
    return !it.second.IsQueryPending && !isWanted(it.first);
  });
}

double Approvals::approvalRate(const jobs::QueueId &queue) const {
  const auto it = Rates.find(queue);
  const Rate rate = it == Rates.end() ? Rate{} : it->second;
  return rate.Approved / rate.Asked;
}

} // namespace jujube::dispatch
