#include "jujube/control/wait_ledger.h"

#include <algorithm>
#include <tuple>

namespace jujube::control {
namespace {

// A wait is logged once it has lasted this long: two turns of planning, so that
// waits that end at once are not logged.
constexpr Duration ToldAfter = Duration::millis(100);
// The most waits that are logged per second: a page of the log. The metrics
// count all waits.
constexpr int MaxToldPerSecond = 40;

} // namespace

void WaitLedger::begin(const jobs::JobId &job, Instant now) { jobOf(job, now); }

WaitLedger::JobEntry &WaitLedger::jobOf(const jobs::JobId &job, Instant now) {
  return Jobs.try_emplace(job, JobEntry{now, std::nullopt, now, {}, {}})
      .first->second;
}

WaitLedger::StepEntry &WaitLedger::stepOf(JobEntry &entry,
                                          const jobs::StepKey &key) {
  const auto place = [](const StepEntry &it) {
    return std::tuple(it.Occurrence, it.Step);
  };
  const std::tuple wanted(key.Occurrence, key.Step);
  const auto it = std::ranges::lower_bound(entry.Steps, wanted, {}, place);
  if (it != entry.Steps.end() && place(*it) == wanted)
    return *it;
  return *entry.Steps.insert(it, StepEntry{key.Occurrence, key.Step});
}

void WaitLedger::settle(JobEntry &entry, Instant now) {
  if (entry.Why)
    entry.Waited[static_cast<std::size_t>(*entry.Why)] =
        entry.Waited[static_cast<std::size_t>(*entry.Why)] +
        (now - entry.Since);
  entry.Since = now;
}

void WaitLedger::refresh(JobEntry &entry, Instant now) {
  const auto first = std::ranges::find_if(
      entry.Steps, [](const StepEntry &it) { return it.Why.has_value(); });
  const std::optional<dispatch::WaitCause> why =
      first == entry.Steps.end() ? std::nullopt : first->Why;
  if (why == entry.Why)
    return;
  settle(entry, now);
  entry.Why = why;
}

bool WaitLedger::note(const dispatch::StepWait &wait, Instant now) {
  JobEntry &entry = jobOf(wait.Step.Job, now);
  StepEntry &step = stepOf(entry, wait.Step);
  step.Round = Round;
  if (step.Why != wait.Why) {
    Waiting += step.Why ? 0 : 1;
    step.Why = wait.Why;
    step.Since = now;
    refresh(entry, now);
    return false;
  }
  const auto cause = static_cast<std::size_t>(wait.Why);
  if (step.Told[cause] || now - step.Since < ToldAfter)
    return false;
  step.Told[cause] = true;
  ++Lasting[cause];
  return mayTell(now);
}

bool WaitLedger::mayTell(Instant now) {
  if (now - TellingSince >= Duration::seconds(1)) {
    TellingSince = now;
    Told = 0;
  }
  return Told++ < MaxToldPerSecond;
}

void WaitLedger::clear(JobEntry &entry, StepEntry &step, Instant now) {
  if (!step.Why)
    return;
  step.Why.reset();
  --Waiting;
  refresh(entry, now);
}

std::vector<dispatch::StepWait>
WaitLedger::update(const std::vector<dispatch::StepWait> &waits, Instant now) {
  ++Round;
  std::vector<dispatch::StepWait> told;
  for (const dispatch::StepWait &wait : waits)
    if (note(wait, now))
      told.push_back(wait);
  if (Waiting > waits.size())
    for (auto &[id, entry] : Jobs)
      for (StepEntry &step : entry.Steps)
        if (step.Round != Round)
          clear(entry, step, now);
  return told;
}

std::vector<dispatch::StepWait>
WaitLedger::updatePart(const dispatch::DispatchPlan &plan, Instant now) {
  ++Round;
  std::vector<dispatch::StepWait> told;
  for (const dispatch::StepWait &wait : plan.Waits)
    if (note(wait, now))
      told.push_back(wait);
  for (const dispatch::PlannedStart &it : plan.Starts) {
    JobEntry &entry = jobOf(it.Start.Task.Job, now);
    StepEntry &step = stepOf(entry, jobs::stepOf(it.Start.Task));
    if (step.Round != Round)
      clear(entry, step, now);
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
  Waiting -= static_cast<std::size_t>(
      std::ranges::count_if(it->second.Steps, [](const StepEntry &step) {
        return step.Why.has_value();
      }));
  Jobs.erase(it);
  return account;
}

} // namespace jujube::control
