// Metrics of the leader, and the log lines about the outcome of jobs.
#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"
#include "jujube/control/control_task.h"
#include "jujube/logging/line.h"

namespace jujube::control {
namespace {

using logging::Event;
using logging::Line;

metrics::Labels labelsOf(const jobs::Job &job) {
  return {job.Spec.Team.str(), job.Spec.Queue.str()};
}

// Adds the keys that identify a task.
Line &nameTask(Line &line, const jobs::TaskKey &task) {
  return line.with("job", task.Job)
      .with("occurrence", task.Occurrence)
      .with("step", task.Step)
      .with("index", task.Index);
}

} // namespace

void ControlTask::noteRefusal(const CommandSummary &command,
                              const Error &error) {
  const absl::string_view kind = nameIn(jobs::CommandKindNames, command.Kind);
  const absl::string_view cause = nameIn(ErrorKindNames, error.Kind);
  TaskMetrics.add("commands_refused",
                  {"", std::string(kind), std::string(cause)});
  // Requests for unknown jobs are only counted, not logged.
  const bool isAboutJob = !command.Job.empty() && error.Kind != ErrorKind::Gone;
  const bool isPut = command.Kind == jobs::CommandKind::PutConfiguration;
  if (!isAboutJob && !isPut)
    return;
  Line line(isPut ? Event::ConfigurationRefused : Event::JobRefused);
  if (isAboutJob)
    line.with("job", command.Job).with("command", kind);
  line.with("cause", cause)
      .with("error", error.text())
      .with("config", Book.configuration().Version)
      .with("config_age_ms", Loop.now() - ConfiguredAt)
      .with("term", Group.log().term());
}

void ControlTask::noteAccepted(const jobs::JobSpec &spec) {
  const jobs::Job *job = Book.find(spec.Id);
  // It was cancelled before it arrived.
  if (job == nullptr)
    return;
  Waits.begin(spec.Id, Loop.now());
  if (job->State != jobs::JobState::Queued)
    return;
  TaskMetrics.add("jobs_accepted", labelsOf(*job));
  Line line(Event::JobAccepted);
  line.with("job", spec.Id)
      .with("queue", spec.Queue)
      .with("team", job->Spec.Team)
      .with("steps", spec.Steps.size())
      .with("tasks",
            std::accumulate(
                spec.Steps.begin(), spec.Steps.end(), uint64_t{0},
                [](uint64_t n, const auto &step) { return n + step.Tasks; }))
      .with("config", Book.configuration().Version)
      .with("open_jobs", Book.openJobs().size())
      .with("term", Group.log().term());
  if (const std::optional<Duration> objective = objectiveSpan(*job))
    line.with("objective_ms", *objective);
}

std::optional<Duration> ControlTask::objectiveSpan(const jobs::Job &job) const {
  const jobs::Queue *queue = Book.queueOf(job);
  if (queue == nullptr || job.Spec.FirstDue)
    return std::nullopt;
  return dispatch::objectiveOf(job, *queue, 0) - job.AcceptedAt;
}

void ControlTask::noteApproval(const jobs::ApprovalQuery &query,
                               const jobs::ApprovalAnswer &answer,
                               Duration after) {
  const jobs::Job *job = Book.find(query.Step.Job);
  const metrics::Labels labels =
      job != nullptr ? labelsOf(*job) : metrics::Labels();
  TaskMetrics.observe("approval_ms", labels,
                      static_cast<double>(after.millis()));
  Line(Event::ApprovalAnswered)
      .with("job", query.Step.Job)
      .with("step", query.Step.Step)
      .with("workers", query.Workers.size())
      .with("approved", answer.Approved.size())
      .with("after_ms", after);
}

void ControlTask::noteWaits(const dispatch::DispatchPlan &plan, bool isWhole) {
  const Instant now = Loop.now();
  const std::vector<dispatch::StepWait> toLog =
      isWhole ? Waits.update(plan.Waits, now) : Waits.updatePart(plan, now);
  if (toLog.empty())
    return;
  const std::size_t usable = Sessions->usable().size();
  for (const dispatch::StepWait &wait : toLog) {
    const jobs::Job *job = Book.find(wait.Step.Job);
    const Resources used = Book.usedBy(job->Spec.Team);
    Line(Event::StepWaits)
        .with("job", wait.Step.Job)
        .with("occurrence", wait.Step.Occurrence)
        .with("step", wait.Step.Step)
        .with("cause", nameIn(dispatch::WaitCauseNames, wait.Cause))
        .with("tasks", wait.Tasks)
        .with("team_milli_cpu", used.MilliCpu)
        .with("usable_workers", usable)
        .with("open_jobs", Book.openJobs().size())
        .with("term", Group.log().term());
  }
}

void ControlTask::noteEnd(const jobs::AttemptEnded &event, const jobs::Job &job,
                          const WorkerId &worker) {
  metrics::Labels labels = labelsOf(job);
  labels.Cause = std::string(nameIn(jobs::EndKindNames, event.How));
  TaskMetrics.add("attempts_ended", labels);
  if (event.How == jobs::EndKind::Done)
    return;
  Line line(Event::AttemptEnded);
  nameTask(line, event.Task)
      .with("attempt", event.Attempt)
      .with("worker", worker)
      .with("how", labels.Cause)
      .with("saved", !event.Checkpoint.empty())
      .with("term", Group.log().term());
}

void ControlTask::noteJobEnded(const jobs::Job &job,
                               std::optional<Duration> objective) {
  const auto account = Waits.finish(job.Spec.Id, Loop.now());
  const Duration total = WallClock.now() - job.AcceptedAt;
  const metrics::Labels labels = labelsOf(job);
  metrics::Labels ended = labels;
  ended.Cause = std::string(nameIn(jobs::JobStateNames, job.State));
  TaskMetrics.add("jobs_ended", ended);
  TaskMetrics.observe("job_total_ms", labels,
                      static_cast<double>(total.millis()));
  if (objective && total > *objective)
    TaskMetrics.add("jobs_late", labels);
  Line line(Event::JobEnded);
  line.with("job", job.Spec.Id)
      .with("state", ended.Cause)
      .with("queue", labels.Class)
      .with("team", labels.Team)
      .with("after_ms", total);
  if (objective)
    line.with("objective_ms", *objective);
  if (!account)
    return;
  line.with("observed_ms", account->Observed);
  for (const auto &row : dispatch::WaitCauseNames) {
    const Duration waited =
        account->Waited[static_cast<std::size_t>(row.Value)];
    line.with(absl::StrCat("wait_", row.Name, "_ms"), waited);
    if (waited > Duration()) {
      metrics::Labels by = labels;
      by.Cause = std::string(row.Name);
      TaskMetrics.observe("job_wait_ms", by,
                          static_cast<double>(waited.millis()));
    }
  }
  line.with("term", Group.log().term());
}

metrics::Snapshot ControlTask::snapshot() const {
  metrics::Snapshot all = TaskMetrics.snapshot();
  addWork(all);
  for (const auto &row : dispatch::WaitCauseNames)
    all.Counters.push_back(
        {"step_waits",
         {"", "", std::string(row.Name)},
         Waits.longWaits()[static_cast<std::size_t>(row.Value)]});
  const auto gauge = [&all](const std::string &name, auto value,
                            const metrics::Labels &labels = {}) {
    all.Gauges.push_back({name, labels, static_cast<double>(value)});
  };
  gauge("is_leader", isServing());
  gauge("term", Group.log().term().Value);
  gauge("members", Group.log().memberAddresses().size());
  gauge("configuration_version", Book.configuration().Version);
  gauge("configuration_age_ms", (Loop.now() - ConfiguredAt).millis());
  gauge("jobs_kept", Book.jobs().size());
  gauge("jobs_open", Book.openJobs().size());
  for (const jobs::Queue &queue : Book.configuration().Queues)
    gauge("jobs_pending", Book.pending(queue.Id), {"", queue.Id.str()});
  for (const jobs::Team &team : Book.configuration().Teams)
    gauge("team_milli_cpu", Book.usedBy(team.Id).MilliCpu, {team.Id.str()});
  for (const auto &[team, share] : Shares.shares()) {
    gauge("team_share_due", share.Due, {team.str()});
    gauge("team_share_used", share.Now, {team.str()});
    gauge("team_past_use_ratio", share.PastRatio, {team.str()});
  }
  gauge("teams_remembered", Book.usage().size());
  gauge("withdrawals", Book.withdrawals().size());
  gauge("workers", Book.workers().size());
  gauge("zones_evacuated", Book.evacuatedZones().size());
  std::size_t attempts = 0;
  for (const auto &[worker, load] : Book.loads())
    attempts += load.Tasks.size();
  gauge("attempts_live", attempts);
  if (!Sessions)
    return all;
  const WorkerSessions::LinkCounts links = Sessions->countLinks();
  gauge("workers_usable", Sessions->usable().size());
  gauge("worker_links", links.Answering, {"", "", "sound"});
  gauge("worker_links", links.Silent, {"", "", "silent"});
  gauge("leases", links.Leased);
  gauge("helpers_free", Helpers.countFree(Loop.now(), Duration(), false));
  return all;
}

} // namespace jujube::control
