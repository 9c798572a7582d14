#include "testing/standin_worker.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace jujube::testing {
namespace {

using fate::Directive;
using fate::DirectiveKind;
using fate::TaskPhase;
using fate::TaskReport;

constexpr Duration FailAfter = Duration::millis(50);
constexpr std::size_t MaxFences = 50000;

std::string teamOf(const RunInstructions &instructions, const EntryId &entry) {
  return instructions.Team.empty() ? entry.str() : instructions.Team;
}

} // namespace

StandinWorker::StandinWorker(StandinWorkerOptions options)
    : Options(std::move(options)) {}

fate::WorkerSync StandinWorker::sync(Instant now) const {
  fate::WorkerSync sync{Options.Announcement, Ended};
  for (const auto &[id, task] : Running)
    sync.Reports.push_back(
        {id, task.Token, TaskPhase::Running, usageOf(task, now), ""});
  return sync;
}

fate::WorkerSync StandinWorker::nextSync(Instant now) {
  std::vector<fate::RunningAttempt> held;
  for (const auto &[id, task] : Running)
    held.push_back(
        {{id, task.Token, TaskPhase::Running, usageOf(task, now), ""},
         task.Grant});
  return Filter.next(Options.Announcement, Ended, held);
}

void StandinWorker::onReply(const fate::SyncReply &reply) {
  if (isStale(reply))
    Filter.onFailure();
  else
    Filter.onReply(reply);
}

void StandinWorker::onUnfilteredReply(const fate::SyncReply &reply) {
  if (!isStale(reply))
    Filter.onUnfilteredReply(reply);
}

// Usage as of UsageLag ago; zero if the task had not started then.
Resources StandinWorker::usageOf(const RunningTask &task, Instant now) const {
  if (now - task.StartedAt < Options.UsageLag)
    return {};
  Resources usage = task.Grant;
  usage.MilliCpu = std::min(
      usage.MilliCpu, task.Instructions.MilliCpu.value_or(usage.MilliCpu));
  return usage;
}

Resources StandinWorker::used() const {
  return std::accumulate(Running.begin(), Running.end(), Resources{},
                         [](const Resources &sum, const auto &row) {
                           return sum + row.second.Grant;
                         });
}

void StandinWorker::apply(const fate::SyncReply &reply, Instant sentAt,
                          Instant now) {
  if (isStale(reply)) {
    ++Stats.StaleReplies;
    return;
  }
  LeaderTerm = reply.LeaderTerm;
  LeaseUntil = std::max(LeaseUntil, sentAt + reply.Lease);
  for (const Directive &directive : reply.Directives)
    execute(directive, now);
}

void StandinWorker::execute(const Directive &directive, Instant now) {
  switch (directive.Kind) {
  case DirectiveKind::Start:
    return start(directive, now);
  case DirectiveKind::Stop:
    return stop(directive, TaskPhase::Stopped, now);
  case DirectiveKind::Checkpoint:
    return stop(directive, TaskPhase::Checkpointed, now);
  case DirectiveKind::Throttle:
    return throttle(directive, now);
  case DirectiveKind::Acknowledge:
    std::erase_if(Ended, [&](const TaskReport &report) {
      return report.Task == directive.Task && report.Token <= directive.Token;
    });
    return;
  }
}

// Returns false for a token that is not newer than all seen for the task.
bool StandinWorker::raiseFence(const TaskId &id, AttemptToken token) {
  const auto [it, isNew] = Fences.try_emplace(id, token);
  if (!isNew && token <= it->second)
    return false;
  it->second = token;
  if (isNew)
    FenceOrder.push_back(id);
  if (FenceOrder.size() > MaxFences) {
    Fences.erase(FenceOrder.front());
    FenceOrder.pop_front();
  }
  return true;
}

void StandinWorker::start(const Directive &directive, Instant now) {
  const TaskId &id = directive.Task;
  const auto running = Running.find(id);
  // A directive may arrive again after its attempt was acknowledged.
  const auto fence = Fences.find(id);
  if (fence != Fences.end() && fence->second == directive.Token)
    return;
  if (!raiseFence(id, directive.Token))
    return report(id, directive.Token, TaskPhase::Refused, "stale token");
  if (running != Running.end())
    end(id, TaskPhase::Stopped, "a newer attempt came");
  if (now >= LeaseUntil || Options.Announcement.IsLeaving)
    return report(id, directive.Token, TaskPhase::Refused, "no lease");
  if (!(used() + directive.Grant).fitsIn(Options.Announcement.Capacity)) {
    ++Stats.OverCapacity;
    return report(id, directive.Token, TaskPhase::Refused, "no room");
  }
  RunningTask task{directive.Token, directive.Entry,
                   parseRunInstructions(directive.Payload), directive.Grant,
                   now};
  const Duration runTime =
      Options.FailsAll
          ? FailAfter
          : task.Instructions.RunTime.value_or(Options.DefaultRunTime);
  task.EndsAt = task.Instructions.IsEndless && !Options.FailsAll
                    ? Instant::never()
                    : now + runTime;
  Events.push_back({id, this->id(), teamOf(task.Instructions, task.Entry),
                    task.Grant, true});
  Running.emplace(id, std::move(task));
  ++Stats.Started;
  UnsentChanges.push_back({id, directive.Token, TaskPhase::Started, {}, ""});
  HasChanges = true;
}

void StandinWorker::stop(const Directive &directive, TaskPhase phase,
                         Instant now) {
  (void)now;
  const TaskId &id = directive.Task;
  const auto running = Running.find(id);
  if (running != Running.end() && running->second.Token <= directive.Token) {
    raiseFence(id, directive.Token);
    return end(id, phase, "on request");
  }
  // Confirmed even if the start never arrived: the fence prevents a later
  // start.
  if (raiseFence(id, directive.Token))
    report(id, directive.Token, TaskPhase::Stopped, "not running");
}

void StandinWorker::throttle(const Directive &directive, Instant now) {
  const auto it = Running.find(directive.Task);
  if (it == Running.end() || it->second.Token != directive.Token)
    return;
  RunningTask &task = it->second;
  const int64_t before = std::max<int64_t>(task.Grant.MilliCpu, 1);
  const int64_t after = std::max<int64_t>(directive.Grant.MilliCpu, 1);
  if (task.EndsAt != Instant::never())
    task.EndsAt = now + (task.EndsAt - now) * before / after;
  const std::string team = teamOf(task.Instructions, task.Entry);
  Events.push_back({it->first, id(), team, task.Grant, false});
  task.Grant = directive.Grant;
  Events.push_back({it->first, id(), team, task.Grant, true});
}

void StandinWorker::end(const TaskId &id, TaskPhase phase, std::string text) {
  const auto it = Running.find(id);
  const RunningTask &task = it->second;
  Events.push_back({id, this->id(), teamOf(task.Instructions, task.Entry),
                    task.Grant, false});
  report(id, task.Token, phase, std::move(text));
  Running.erase(it);
}

void StandinWorker::report(const TaskId &id, AttemptToken token,
                           TaskPhase phase, std::string text) {
  uint64_t &count = phase == TaskPhase::Finished  ? Stats.Finished
                    : phase == TaskPhase::Failed  ? Stats.Failed
                    : phase == TaskPhase::Refused ? Stats.Refused
                                                  : Stats.Stopped;
  ++count;
  Ended.push_back({id, token, phase, {}, std::move(text)});
  UnsentChanges.push_back(Ended.back());
  HasChanges = true;
}

void StandinWorker::tick(Instant now) {
  const bool isExpired = now >= LeaseUntil;
  std::vector<TaskId> due;
  for (const auto &[id, task] : Running)
    if (isExpired || task.EndsAt <= now)
      due.push_back(id);
  for (const TaskId &id : due) {
    const RunningTask &task = Running.at(id);
    const RunInstructions instructions = task.Instructions;
    if (task.EndsAt > now || task.EndsAt > LeaseUntil) {
      ++Stats.LeaseStops;
      end(id, TaskPhase::Stopped, "the lease ran out");
    } else if (instructions.Fails || Options.FailsAll) {
      end(id, TaskPhase::Failed, "failed on request");
    } else {
      end(id, TaskPhase::Finished, instructions.Answer);
    }
  }
}

Instant StandinWorker::nextWake() const {
  if (Running.empty())
    return Instant::never();
  const auto ends = [](const auto &row) { return row.second.EndsAt; };
  const auto first = std::ranges::min_element(Running, {}, ends);
  return std::min(first->second.EndsAt, LeaseUntil);
}

fate::WorkerSync StandinWorker::takeChanges() {
  return {Options.Announcement, std::exchange(UnsentChanges, {})};
}

bool StandinWorker::takeHasChanges() {
  return std::exchange(HasChanges, false);
}

std::vector<RunEvent> StandinWorker::takeEvents() {
  return std::exchange(Events, {});
}

} // namespace jujube::testing
