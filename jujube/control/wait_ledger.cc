#include "jujube/control/wait_ledger.h"

#include <utility>

namespace jujube::control {
namespace {

// A wait is told once it has lasted this long. Source: two turns of planning,
// so that waits which end at once leave no line.
constexpr Duration ToldAfter = Duration::millis(100);

} // namespace

void WaitLedger::begin(const jobs::JobId &job, Instant now) {
  Jobs.try_emplace(job, JobEntry{now, std::nullopt, now});
}

void WaitLedger::settle(JobEntry &entry, Instant now) {
  if (entry.Why)
    entry.Waited[static_cast<std::size_t>(*entry.Why)] =
        entry.Waited[static_cast<std::size_t>(*entry.Why)] +
        (now - entry.Since);
  entry.Since = now;
}

std::vector<dispatch::StepWait>
WaitLedger::update(const std::vector<dispatch::StepWait> &waits, Instant now) {
  std::map<jobs::JobId, std::pair<jobs::StepKey, dispatch::WaitCause>> first;
  std::map<jobs::StepKey, StepEntry> steps;
  std::vector<dispatch::StepWait> told;
  for (const dispatch::StepWait &wait : waits) {
    const auto [it, isNew] =
        first.try_emplace(wait.Step.Job, wait.Step, wait.Why);
    if (!isNew && wait.Step < it->second.first)
      it->second = {wait.Step, wait.Why};
    const auto held = Steps.find(wait.Step);
    StepEntry entry = held != Steps.end() && held->second.Why == wait.Why
                          ? held->second
                          : StepEntry{wait.Why, now};
    if (!entry.IsTold && now - entry.Since >= ToldAfter) {
      entry.IsTold = true;
      told.push_back(wait);
    }
    steps.emplace(wait.Step, entry);
    begin(wait.Step.Job, now);
  }
  Steps = std::move(steps);
  for (auto &[job, entry] : Jobs) {
    settle(entry, now);
    const auto it = first.find(job);
    entry.Why =
        it == first.end() ? std::nullopt : std::optional(it->second.second);
  }
  return told;
}

std::optional<WaitLedger::Account> WaitLedger::finish(const jobs::JobId &job,
                                                      Instant now) {
  const auto it = Jobs.find(job);
  if (it == Jobs.end())
    return std::nullopt;
  settle(it->second, now);
  const Account account{now - it->second.Began, it->second.Waited};
  Jobs.erase(it);
  return account;
}

} // namespace jujube::control
