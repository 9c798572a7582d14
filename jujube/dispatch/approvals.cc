#include "jujube/dispatch/approvals.h"

#include <algorithm>

namespace jujube::dispatch {
namespace {

// A ticket is not used this shortly before its end, since the start has to be
// stored and to arrive first.
constexpr Duration TicketMargin = Duration::millis(150);

} // namespace

void Approvals::begin(const jobs::ApprovalQuery &query,
                      const jobs::QueueId &queue) {
  Step &step = Steps[query.Step];
  step.Queue = queue;
  step.IsAsking = true;
}

void Approvals::finish(const jobs::ApprovalQuery &query,
                       const jobs::ApprovalAnswer &answer, Instant sentAt) {
  const auto it = Steps.find(query.Step);
  if (it == Steps.end())
    return;
  Step &step = it->second;
  step.IsAsking = false;
  Rate &rate = Rates[step.Queue];
  for (const WorkerId &worker : query.Workers)
    if (!step.Approved.contains(worker)) {
      rate.Asked += 1;
      step.Denied.insert(worker);
    }
  for (const jobs::Approval &approval : answer.Approved) {
    if (step.Denied.erase(approval.Worker) > 0)
      rate.Approved += 1;
    step.Approved[approval.Worker] = {approval.Ticket,
                                      sentAt + answer.Validity - TicketMargin};
  }
}

void Approvals::abandon(const jobs::StepKey &step) {
  const auto it = Steps.find(step);
  if (it != Steps.end())
    it->second.IsAsking = false;
}

bool Approvals::isAsking(const jobs::StepKey &step) const {
  const auto it = Steps.find(step);
  return it != Steps.end() && it->second.IsAsking;
}

ApprovalState Approvals::stateOf(const jobs::StepKey &step,
                                 const WorkerId &worker, Instant now) const {
  const auto it = Steps.find(step);
  if (it == Steps.end())
    return ApprovalState::Unknown;
  const auto ticket = it->second.Approved.find(worker);
  if (ticket != it->second.Approved.end())
    return now < ticket->second.ValidUntil ? ApprovalState::Valid
                                           : ApprovalState::Expired;
  return it->second.Denied.contains(worker) ? ApprovalState::Denied
                                            : ApprovalState::Unknown;
}

std::optional<std::string> Approvals::ticket(const jobs::StepKey &step,
                                             const WorkerId &worker,
                                             Instant now) const {
  if (stateOf(step, worker, now) != ApprovalState::Valid)
    return std::nullopt;
  return Steps.at(step).Approved.at(worker).Text;
}

Instant Approvals::validUntil(const jobs::StepKey &step,
                              const WorkerId &worker) const {
  const auto it = Steps.find(step);
  if (it == Steps.end())
    return Instant();
  const auto ticket = it->second.Approved.find(worker);
  return ticket == it->second.Approved.end() ? Instant()
                                             : ticket->second.ValidUntil;
}

void Approvals::expire(const jobs::StepKey &step, const WorkerId &worker) {
  const auto it = Steps.find(step);
  if (it == Steps.end())
    return;
  const auto ticket = it->second.Approved.find(worker);
  if (ticket != it->second.Approved.end())
    ticket->second.ValidUntil = Instant();
}

void Approvals::expireWorker(const WorkerId &worker) {
  for (auto &[key, step] : Steps)
    expire(key, worker);
}

void Approvals::retain(
    const std::function<bool(const jobs::StepKey &)> &isWanted) {
  std::erase_if(Steps, [&](const auto &it) {
    return !it.second.IsAsking && !isWanted(it.first);
  });
}

double Approvals::approvalRate(const jobs::QueueId &queue) const {
  const auto it = Rates.find(queue);
  const Rate rate = it == Rates.end() ? Rate{} : it->second;
  return rate.Approved / rate.Asked;
}

} // namespace jujube::dispatch
