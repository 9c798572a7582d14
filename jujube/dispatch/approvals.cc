#include "jujube/dispatch/approvals.h"

namespace jujube::dispatch {

void Approvals::begin(const jobs::ApprovalQuery &query,
                      const jobs::QueueId &queue) {
  Step &step = Steps[query.Step];
  step.Queue = queue;
  step.Pending.insert(query.Workers.begin(), query.Workers.end());
}

void Approvals::finish(const jobs::ApprovalQuery &query,
                       const jobs::ApprovalAnswer &answer, Instant issuedAt) {
  abandon(query);
  const auto it = Steps.find(query.Step);
  if (it == Steps.end())
    return;
  Step &step = it->second;
  Rate &rate = Rates[step.Queue];
  absl::flat_hash_set<WorkerId> denied(query.Workers.begin(),
                                       query.Workers.end());
  for (const jobs::Approval &approval : answer.Approved) {
    denied.erase(approval.Worker);
    const Instant end = issuedAt + answer.Validity - TicketMargin;
    const bool isNew =
        step.Approved
            .insert_or_assign(approval.Worker, Ticket{approval.Ticket, end})
            .second;
    if (!isNew)
      continue;
    step.Denied.erase(approval.Worker);
    rate.Asked += 1;
    rate.Approved += 1;
  }
  for (const WorkerId &worker : denied)
    if (step.Approved.erase(worker) == 0)
      rate.Asked += 1;
  step.Denied.merge(denied);
}

void Approvals::abandon(const jobs::ApprovalQuery &query) {
  const auto it = Steps.find(query.Step);
  if (it == Steps.end())
    return;
  for (const WorkerId &worker : query.Workers)
    it->second.Pending.erase(worker);
}

bool Approvals::isQueryPending(const jobs::StepKey &step) const {
  const Step *found = find(step);
  return found != nullptr && !found->Pending.empty();
}

const Approvals::Step *Approvals::find(const jobs::StepKey &step) const {
  const auto it = Steps.find(step);
  return it == Steps.end() ? nullptr : &it->second;
}

ApprovalState Approvals::Step::stateOf(const WorkerId &worker,
                                       Instant now) const {
  if (const auto it = Approved.find(worker); it != Approved.end())
    return now < it->second.ValidUntil ? ApprovalState::Valid
                                       : ApprovalState::Expired;
  return Denied.contains(worker) ? ApprovalState::Denied
                                 : ApprovalState::Unknown;
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
  return found->Approved.at(worker).Value;
}

void Approvals::expire(const jobs::StepKey &step, const WorkerId &worker) {
  if (const auto it = Steps.find(step); it != Steps.end())
    expire(it->second, worker);
}

void Approvals::expireWorker(const WorkerId &worker) {
  for (auto &[key, step] : Steps)
    expire(step, worker);
}

void Approvals::expire(Step &step, const WorkerId &worker) {
  if (const auto it = step.Approved.find(worker); it != step.Approved.end())
    it->second.ValidUntil = Instant();
}

void Approvals::retain(
    const std::function<bool(const jobs::StepKey &)> &isWanted) {
  absl::erase_if(Steps, [&](const auto &it) {
    return it.second.Pending.empty() && !isWanted(it.first);
  });
}

double Approvals::approvalRate(const jobs::QueueId &queue) const {
  const auto it = Rates.find(queue);
  const Rate rate = it == Rates.end() ? Rate{} : it->second;
  return rate.Approved / rate.Asked;
}

} // namespace jujube::dispatch
