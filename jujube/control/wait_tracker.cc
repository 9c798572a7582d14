#include "jujube/control/wait_tracker.h"

#include <algorithm>
#include <tuple>

namespace jujube::control {
namespace {

// A wait is logged once it has lasted this long: two turns of planning, so that
// waits that end at once are not logged.
constexpr Duration LogAfter = Duration::millis(100);
// The most waits that are logged per second: a page of the log. The metrics
// count all waits.
constexpr int MaxLoggedPerSecond = 40;

} // namespace

void WaitTracker::begin(const jobs::JobId &job, Instant now) {
  jobOf(job, now);
}

WaitTracker::JobEntry &WaitTracker::jobOf(const jobs::JobId &job, Instant now) {
  return Jobs.try_emplace(job, JobEntry{now, std::nullopt, now, {}, {}})
      .first->second;
}

WaitTracker::StepEntry &WaitTracker::stepOf(JobEntry &entry,
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

void WaitTracker::settle(JobEntry &entry, Instant now) {
  if (entry.Why)
    entry.Waited[static_cast<std::size_t>(*entry.Why)] =
        entry.Waited[static_cast<std::size_t>(*entry.Why)] +
        (now - entry.Since);
  entry.Since = now;
}

void WaitTracker::refresh(JobEntry &entry, Instant now) {
  const auto first = std::ranges::find_if(
      entry.Steps, [](const StepEntry &it) { return it.Why.has_value(); });
  const std::optional<dispatch::WaitCause> why =
      first == entry.Steps.end() ? std::nullopt : first->Why;
  if (why == entry.Why)
    return;
  settle(entry, now);
  entry.Why = why;
}

bool WaitTracker::note(const dispatch::StepWait &wait, Instant now) {
  JobEntry &entry = jobOf(wait.Step.Job, now);
  StepEntry &step = stepOf(entry, wait.Step);
  step.Round = Round;
  if (step.Why != wait.Cause) {
    Waiting += step.Why ? 0 : 1;
    step.Why = wait.Cause;
    step.Since = now;
    refresh(entry, now);
    return false;
  }
  const auto cause = static_cast<std::size_t>(wait.Cause);
  if (step.Logged[cause] || now - step.Since < LogAfter)
    return false;
  step.Logged[cause] = true;
  ++LongWaits[cause];
  return mayLog(now);
}

bool WaitTracker::mayLog(Instant now) {
  if (now - LogWindowStart >= Duration::seconds(1)) {
    LogWindowStart = now;
    Logged = 0;
  }
  return Logged++ < MaxLoggedPerSecond;
}

void WaitTracker::clear(JobEntry &entry, StepEntry &step, Instant now) {
  if (!step.Why)
    return;
  step.Why.reset();
  --Waiting;
  refresh(entry, now);
}

std::vector<dispatch::StepWait>
WaitTracker::update(const std::vector<dispatch::StepWait> &waits, Instant now) {
  ++Round;
  std::vector<dispatch::StepWait> toLog;
  for (const dispatch::StepWait &wait : waits)
    if (note(wait, now))
      toLog.push_back(wait);
  if (Waiting > waits.size())
    for (auto &[id, entry] : Jobs)
      for (StepEntry &step : entry.Steps)
        if (step.Round != Round)
          clear(entry, step, now);
  return toLog;
}

std::vector<dispatch::StepWait>
WaitTracker::updatePart(const dispatch::DispatchPlan &plan, Instant now) {
  ++Round;
  std::vector<dispatch::StepWait> toLog;
  for (const dispatch::StepWait &wait : plan.Waits)
    if (note(wait, now))
      toLog.push_back(wait);
  for (const dispatch::PlannedStart &it : plan.Starts) {
    JobEntry &entry = jobOf(it.Start.Task.Job, now);
    StepEntry &step = stepOf(entry, jobs::stepOf(it.Start.Task));
    if (step.Round != Round)
      clear(entry, step, now);
  }
  return toLog;
}

std::optional<WaitTracker::Account> WaitTracker::finish(const jobs::JobId &job,
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
