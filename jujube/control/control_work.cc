// Metrics and log lines about the work of the control task: the duration of its
// turns, the time by kind of work, and the loss of leadership.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/control/control_task.h"
#include "jujube/logging/line.h"

namespace jujube::control {
namespace {

using logging::Event;
using logging::Level;
using logging::Line;

// Longer turns are logged, since no heartbeat is sent during a turn.
constexpr Duration LongTurn = GroupHeartbeat;
// Minimum time between two log lines about long turns.
constexpr Duration LongTurnPause = Duration::seconds(1);
constexpr int64_t MicrosPerMilli = 1000;

} // namespace

void ControlTask::noteTurn() {
  const TurnMeter::Turn turn = Meter.endTurn();
  const std::string kind(nameIn(WorkNames, turn.Longest));
  TaskMetrics.observe("turn_ms", {"", kind},
                      static_cast<double>(turn.Elapsed.millis()));
  if (CurrentLeadership) {
    CurrentLeadership->Confirmed = Group.log().confirmedAt();
    if (turn.Elapsed >= CurrentLeadership->LongestTurn) {
      CurrentLeadership->LongestTurn = turn.Elapsed;
      CurrentLeadership->LongestWork = turn.Longest;
    }
  }
  if (turn.Elapsed <= LongTurn)
    return;
  ++LongTurns;
  const Instant now = Loop.now();
  if (now < NextLongTurnLine)
    return;
  NextLongTurnLine = now + LongTurnPause;
  Line(Event::LongTurn, Level::Warning)
      .with("elapsed_ms", turn.Elapsed)
      .with("work", kind)
      .with("long_turns", std::exchange(LongTurns, 0))
      .with("leads", CurrentLeadership.has_value())
      .with("open_jobs", Book.openJobs().size())
      .with("term", Group.log().term());
}

void ControlTask::notePlan(const dispatch::DispatchPlan &plan,
                           Duration elapsed) {
  Meter.addUnits(Work::Plan,
                 plan.Examined + plan.Steps * dispatch::WorkPerStep);
  TaskMetrics.observe("plan_ms", {}, static_cast<double>(elapsed.millis()));
  TaskMetrics.observe("plan_examined", {}, static_cast<double>(plan.Examined));
  TaskMetrics.observe("plan_steps", {}, static_cast<double>(plan.Steps));
}

void ControlTask::noteLeadershipTaken(Duration elapsed) {
  TaskMetrics.observe("take_over_ms", {},
                      static_cast<double>(elapsed.millis()));
  Line(Event::LeadershipTaken)
      .with("elapsed_ms", elapsed)
      .with("open_jobs", Book.openJobs().size())
      .with("kept_jobs", Book.jobs().size())
      .with("workers", Book.workers().size())
      .with("busy_workers", Book.loads().size())
      .with("term", Group.log().term());
}

void ControlTask::noteLeadershipLost(const consensus::RoleChanged &change) {
  if (!CurrentLeadership)
    return;
  const Instant now = Loop.now();
  TaskMetrics.add("leaderships_lost", {});
  Line(Event::LeadershipLost, Level::Warning)
      .with("led_ms", now - CurrentLeadership->Since)
      .with("longest_turn_ms", CurrentLeadership->LongestTurn)
      .with("longest_work", nameIn(WorkNames, CurrentLeadership->LongestWork))
      .with("unanswered_ms", now - CurrentLeadership->Confirmed)
      .with("open_jobs", Book.openJobs().size())
      .with("leader", change.Leader)
      .with("term", change.At);
  CurrentLeadership.reset();
}

void ControlTask::logWork() {
  Line line(Event::WorkDone);
  line.with("leads", CurrentLeadership.has_value())
      .with("open_jobs", Book.openJobs().size())
      .with("term", Group.log().term());
  for (const auto &row : WorkNames) {
    const auto at = static_cast<std::size_t>(row.Value);
    const TurnMeter::Account &now = Meter.totals()[at];
    const TurnMeter::Account &then = LoggedWork[at];
    line.with(absl::StrCat(row.Name, "_cpu_ms"),
              (now.CpuMicros - then.CpuMicros) / MicrosPerMilli);
    line.with(absl::StrCat(row.Name, "_units"), now.Units - then.Units);
  }
  LoggedWork = Meter.totals();
}

void ControlTask::addWork(metrics::Snapshot &all) const {
  for (const auto &row : WorkNames) {
    const TurnMeter::Account &account =
        Meter.totals()[static_cast<std::size_t>(row.Value)];
    const metrics::Labels labels{"", std::string(row.Name)};
    all.Counters.push_back({"work_units", labels, account.Units});
    all.Counters.push_back(
        {"work_cpu_us", labels,
         static_cast<uint64_t>(std::max<int64_t>(account.CpuMicros, 0))});
  }
}

} // namespace jujube::control
