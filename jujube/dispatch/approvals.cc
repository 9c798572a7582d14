#include "jujube/dispatch/approvals.h"

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
    if (!step.Workers[worker].IsApproved)
      rate.Asked += 1;
  for (const jobs::Approval &approval : answer.Approved) {
    const auto [known, isNew] = step.Workers.try_emplace(approval.Worker);
    Verdict &verdict = known->second;
    if (!isNew && !verdict.IsApproved)
      rate.Approved += 1;
    verdict = {true, approval.Ticket, sentAt + answer.Validity - TicketMargin};
  }
}

void Approvals::abandon(const jobs::StepKey &step) {
  const auto it = Steps.find(step);
  if (it != Steps.end())
    it->second.IsAsking = false;
}

bool Approvals::isAsking(const jobs::StepKey &step) const {
  const Step *held = find(step);
  return held != nullptr && held->IsAsking;
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
  const Step *held = find(step);
  return held == nullptr ? ApprovalState::Unknown : held->stateOf(worker, now);
}

std::optional<std::string> Approvals::ticket(const jobs::StepKey &step,
                                             const WorkerId &worker,
                                             Instant now) const {
  const Step *held = find(step);
  if (held == nullptr || held->stateOf(worker, now) != ApprovalState::Valid)
    return std::nullopt;
  return held->Workers.at(worker).Ticket;
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
    return !it.second.IsAsking && !isWanted(it.first);
  });
}

double Approvals::approvalRate(const jobs::QueueId &queue) const {
  const auto it = Rates.find(queue);
  const Rate rate = it == Rates.end() ? Rate{} : it->second;
  return rate.Approved / rate.Asked;
}

} // namespace jujube::dispatch
