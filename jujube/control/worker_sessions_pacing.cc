// Throttles filler tasks that share a worker with serving tasks.
#include <algorithm>
#include <utility>

#include "jujube/control/worker_sessions.h"
#include "jujube/logging/line.h"

namespace jujube::control {
namespace {

// Period of changes of the share. The figures of a worker cover the last half
// second, and an order takes effect after 0.1 s.
constexpr Duration PacePeriod = Duration::millis(600);
// The share, in percent, that a new leader assumes while it does not know the
// actual share.
constexpr int AssumedShare = 50;

} // namespace

void WorkerSessions::adjustFillerShare(
    const WorkerId &worker, Session &session,
    const std::vector<dispatch::ReportedAttempt> &rows) {
  const Instant now = Callbacks.Now();
  std::vector<dispatch::ServingTail> tails;
  for (const dispatch::ReportedAttempt &row : rows) {
    const jobs::StepSpec *spec = Book.findStep(jobs::stepOf(row.Task));
    if (spec != nullptr && spec->ResponseTarget > Duration() && row.TailLatency)
      tails.push_back({*row.TailLatency, spec->ResponseTarget});
  }
  std::vector<std::pair<jobs::TaskKey, RunState *>> fillers;
  for (auto &[task, run] : session.Runs) {
    const jobs::StepSpec *spec = Book.findStep(jobs::stepOf(task));
    if (spec != nullptr && spec->IsFiller && run.State == Phase::Running)
      fillers.emplace_back(task, &run);
  }
  if (fillers.empty() || now < session.NextPace)
    return;
  session.NextPace = now + PacePeriod;
  const bool isKnown = std::ranges::all_of(
      fillers, [](const auto &it) { return it.second->Share.has_value(); });
  const int before = session.FillerShare.value_or(isKnown ? dispatch::FullShare
                                                          : AssumedShare);
  const int share = Callbacks.NextShare(before, tails);
  session.FillerShare = share;
  for (const auto &[task, run] : fillers)
    if (run->Share != share)
      sendPaceOrder(worker, task, *run, share);
}

void WorkerSessions::sendPaceOrder(const WorkerId &worker,
                                   const jobs::TaskKey &task,
                                   const RunState &run, int share) {
  const std::optional<Address> at = addressOf(worker);
  if (!at)
    return;
  logging::Line(logging::Event::TaskThrottled)
      .with("job", task.Job)
      .with("step", task.Step)
      .with("index", task.Index)
      .with("attempt", run.Attempt)
      .with("worker", worker)
      .with("percent", share);
  const uint32_t attempt = run.Attempt;
  send(worker, *at, dispatch::ThrottleOrder{task, attempt, share}, OrderTimeout,
       [this, worker, task, attempt,
        share](const dispatch::OrderAnswer &answer) {
         (void)noteAnswer(worker, sessionOf(worker), answer);
         RunState *held = findRun(worker, task, attempt);
         if (held != nullptr)
           held->Share = answer.Verdict == dispatch::OrderVerdict::Accepted
                             ? std::optional(share)
                             : std::nullopt;
       });
}

} // namespace jujube::control
