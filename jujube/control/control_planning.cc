// Work at the end of each turn and at intervals: planning starts, sending
// approval queries, and removing expired state.
#include <algorithm>
#include <iterator>
#include <utility>

#include "jujube/control/control_task.h"
#include "jujube/logging/line.h"
#include "jujube/shares/backlog.h"

namespace jujube::control {
namespace {

using logging::Event;
using logging::Level;
using logging::Line;

// A leader transfers leadership after this many consecutive slow syncs.
constexpr int MaxSlowSyncs = 3;
// A worker that has been silent for this long and runs nothing is removed.
constexpr Duration DropSilentAfter = Duration::seconds(20);
// The longest wait at a helper that a query accepts: a tenth of the objective
// of the queues that send such queries.
constexpr Duration ShortQueryMaxWait = Duration::millis(100);
constexpr Duration LongQueryMaxWait = Duration::millis(150);
// A few of the steps that have waited longest are planned first in each period,
// so that an overload does not make everything late.
constexpr Duration AgedPeriod = Duration::seconds(1);
constexpr std::size_t AgedPerPeriod = 8;

} // namespace

void ControlTask::endTurn() {
  if (Sessions != nullptr && Group.log().mayServe()) {
    planIfDue();
    if (SlowSyncs >= MaxSlowSyncs) {
      Line(Event::DiskSlow, Level::Warning)
          .with("slow_syncs", SlowSyncs)
          .with("action", "pass_leadership")
          .with("term", Group.log().term());
      SlowSyncs = 0;
      Group.log().transferLeadership();
      return;
    }
  }
  flushBatch();
}

void ControlTask::planIfDue() {
  if (!IsPlanDue || IsPlanStoring)
    return;
  const Instant now = Loop.now();
  if (now < Pacer.next()) {
    wakeForPlan(Pacer.next());
    return;
  }
  IsPlanDue = false;
  if (Book.waiting().empty()) {
    PlanResume.reset();
    Shares = {};
    if (Waits.isAnyWaiting())
      noteWaits({}, true);
    return;
  }
  dispatch::DispatchInput input{
      Book,
      Sessions->usable(),
      Approved,
      now,
      WallClock.now(),
      Helpers.countFree(now, ShortQueryMaxWait, false),
      Helpers.countFree(now, LongQueryMaxWait, true)};
  input.Resume = std::exchange(PlanResume, std::nullopt);
  if (!input.Resume)
    input.Aged = nextAgedWindow(now);
  updateShares(input.Workers);
  dispatch::DispatchPlan plan = dispatch::planStarts(input, Policy);
  startPlanned(plan.Starts);
  noteWaits(plan, !input.Resume && !plan.NextCursor);
  for (const jobs::ApprovalQuery &query : plan.Queries)
    sendApprovalQuery(query);
  IsPlanDue |= plan.NextCursor.has_value();
  PlanResume = std::move(plan.NextCursor);
  const Instant end = Loop.now();
  Pacer.note(now, end);
  notePlan(plan, end - now);
  if (IsPlanDue)
    wakeForPlan(Pacer.next());
}

dispatch::DispatchHooks ControlTask::dispatchPolicy() {
  dispatch::DispatchHooks hooks = dispatch::defaultHooks();
  hooks.IsWithinShare = [this](const jobs::WaitingStep &step) {
    return !step.IsBeyondRate && Shares.isWithinShare(step.Team);
  };
  return hooks;
}

dispatch::AgedWindow ControlTask::nextAgedWindow(Instant now) {
  if (now < NextAged)
    return {};
  NextAged = now + AgedPeriod;
  AgedOffset += AgedPerPeriod;
  return {AgedPerPeriod, AgedOffset};
}

void ControlTask::updateShares(
    const std::vector<dispatch::WorkerView> &workers) {
  ShareCapacity = {};
  for (const dispatch::WorkerView &view : workers)
    ShareCapacity += view.Worker->Capacity;
  std::map<TeamId, Resources> running = Book.usedByTeams();
  for (const auto &[key, work] : Book.queuedWork())
    running.try_emplace(key.first);
  std::vector<shares::Contender> contenders;
  for (const auto &[id, used] : running) {
    const jobs::Team *team = jobs::findTeam(Book.configuration(), id);
    // Callers without a team together are one of the least weight.
    contenders.push_back({id, team == nullptr ? 1 : team->Weight, used,
                          Book.usage().pastUse(id)});
  }
  Shares = shares::ShareTable(contenders, ShareCapacity);
}

std::optional<Duration>
ControlTask::retryAfterBacklog(const jobs::JobSpec &spec,
                               const jobs::Queue &queue,
                               const TeamId &id) const {
  const jobs::Team *team = jobs::findTeam(Book.configuration(), id);
  const auto share = Shares.shares().find(id);
  const Instant now = WallClock.now();
  if (team == nullptr || share == Shares.shares().end() ||
      ShareCapacity.MilliCpu == 0 ||
      Book.usage().hasAllowance(id, team->Weight, now))
    return std::nullopt;
  const auto queued = Book.queuedWork().find({id, jobs::placeOf(queue)});
  shares::BacklogInput input;
  input.QueuedWork = queued == Book.queuedWork().end() ? 0 : queued->second;
  input.DueMilliCpu = static_cast<int64_t>(
      share->second.Due * static_cast<double>(ShareCapacity.MilliCpu));
  input.Objective = dispatch::objectiveOf(jobs::Job{spec, now}, queue, 0) - now;
  input.IsBeyondRate = true;
  return shares::refusalOf(input);
}

void ControlTask::wakeForPlan(Instant at) {
  if (IsPlanWakeSet)
    return;
  IsPlanWakeSet = true;
  Loop.callAt(at, [this] { IsPlanWakeSet = false; });
}

void ControlTask::startPlanned(
    const std::vector<dispatch::PlannedStart> &starts) {
  if (starts.empty())
    return;
  IsPlanStoring = true;
  std::vector<jobs::Event> events;
  std::ranges::transform(
      starts, std::back_inserter(events),
      [now = WallClock.now()](const dispatch::PlannedStart &planned) {
        return jobs::AttemptStartedAt{planned.Start, now};
      });
  store(std::move(events),
        [this, starts,
         sessions = std::weak_ptr<WorkerSessions>(Sessions)](bool isStored) {
          if (sessions.lock() == nullptr || sessions.lock() != Sessions)
            return;
          IsPlanStoring = false;
          IsPlanDue = true;
          if (isStored)
            sendStarts(starts);
        });
}

// A start that was planned before a zone was evacuated may have changed
// nothing. The other members of its gang would wait for it in vain.
void ControlTask::sendStarts(
    const std::vector<dispatch::PlannedStart> &starts) {
  std::set<jobs::StepKey> broken;
  for (const dispatch::PlannedStart &planned : starts) {
    const jobs::StepKey step = jobs::stepOf(planned.Start.Task);
    const jobs::StepSpec *spec = Book.findStep(step);
    if (spec != nullptr && spec->IsGang &&
        !Book.isLive(planned.Start.Task, planned.Start.Attempt))
      broken.insert(step);
  }
  for (const dispatch::PlannedStart &planned : starts) {
    const jobs::AttemptStarted &start = planned.Start;
    if (!broken.contains(jobs::stepOf(start.Task)))
      Sessions->start(planned);
    else if (Book.isLive(start.Task, start.Attempt))
      store({jobs::AttemptEndedAt{
                {start.Task, start.Attempt, jobs::EndKind::Lost, {}},
                WallClock.now()}},
            [this, planned, sessions = std::weak_ptr<WorkerSessions>(Sessions)](
                bool isStored) {
              // Otherwise the attempt would stay live without a session.
              if (!isStored && sessions.lock() != nullptr)
                Sessions->start(planned);
            });
  }
}

void ControlTask::sendApprovalQuery(const jobs::ApprovalQuery &query) {
  const jobs::Job *job = Book.find(query.Step.Job);
  const jobs::Queue *queue = Book.queueOf(*job);
  const Instant now = Loop.now();
  const bool isLong =
      dispatch::lengthOf(*queue->Approval) == dispatch::QueryLength::Long;
  const auto helper = Helpers.choose(
      now, isLong ? LongQueryMaxWait : ShortQueryMaxWait, isLong);
  if (!helper)
    return;
  const Duration length =
      dispatch::queryTime(*queue->Approval, query.Workers.size());
  const Instant due = Helpers.assign(*helper, length, now);
  const Duration timeout = due - now + Duration::millis(500);
  Approved.begin(query, queue->Id);
  Line(Event::ApprovalAsked)
      .with("job", query.Step.Job)
      .with("step", query.Step.Step)
      .with("workers", query.Workers.size())
      .with("helper", *helper)
      .with("due_in_ms", due - now);
  Messages.call(
      Helpers.addressOf(*helper), wire::QueryApproval{query, timeout}, timeout,
      [this, query, now, length, helper = *helper,
       sessions = std::weak_ptr<WorkerSessions>(Sessions)](
          const Result<wire::Message> &result) {
        if (sessions.lock() == nullptr || sessions.lock() != Sessions)
          return;
        IsPlanDue = true;
        const auto *news =
            isOk(result) ? std::get_if<wire::ApprovalReply>(&valueOf(result))
                         : nullptr;
        if (news != nullptr) {
          // An idle approval service would have answered after
          // `length`, so the approval was not given earlier than
          // that.
          Approved.finish(query, news->Answer, now + length);
          noteApproval(query, news->Answer, Loop.now() - now);
          return;
        }
        Line(Event::ApprovalUnanswered, Level::Warning)
            .with("job", query.Step.Job)
            .with("step", query.Step.Step)
            .with("workers", query.Workers.size())
            .with("helper", helper)
            .with("after_ms", Loop.now() - now);
        TaskMetrics.add("approvals_unanswered", {});
        Helpers.markBusyUntil(helper, Loop.now() + Duration::seconds(1));
        Approved.abandon(query);
      });
}

void ControlTask::sweep() {
  if (Sessions == nullptr || !Group.log().mayServe())
    return;
  forgetEnded();
  dropSilentWorkers();
  Approved.retain([this](const jobs::StepKey &key) {
    const jobs::Job *job = Book.find(key.Job);
    const jobs::StepState *state = Book.findStepState(key);
    return job != nullptr && !isEnded(job->State) && state != nullptr &&
           !state->isDone();
  });
}

void ControlTask::forgetEnded() {
  jobs::JobsForgotten event;
  std::erase_if(EndedAt, [&](const auto &it) {
    const bool isDue = Loop.now() - it.second > Settings.EndedJobRetention;
    if (isDue)
      event.Jobs.push_back(it.first);
    return isDue;
  });
  if (!event.Jobs.empty())
    store({std::move(event)}, [](bool) {});
}

void ControlTask::dropSilentWorkers() {
  for (const auto &[id, worker] : Book.workers()) {
    const std::optional<Instant> heard = Sessions->lastHeard(id);
    if (heard && Loop.now() - *heard > DropSilentAfter)
      removeIdleWorker(id, worker.WorkerIncarnation);
  }
}

void ControlTask::removeIdleWorker(const WorkerId &id, Incarnation life) {
  // A start that is being stored is not part of the load yet.
  if (!IsPlanStoring && Book.loadOf(id).Tasks.empty())
    store({jobs::WorkerGone{id, life}}, [](bool) {});
}

} // namespace jujube::control
