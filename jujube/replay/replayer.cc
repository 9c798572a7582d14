#include "jujube/replay/replayer.h"

#include <algorithm>
#include <queue>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/placement/planner.h"
#include "jujube/replay/platform.h"

namespace jujube::replay {
namespace {

using fate::FateState;
using placement::EndKind;
using placement::Planner;

constexpr Duration MeasureInterval = Duration::seconds(1);

class Replayer {
public:
  Replayer(Planner planner, const ReplayOptions &options,
           const std::vector<Record> &records)
      : ActivePlanner(std::move(planner)), Options(options), Records(records),
        Tasks(std::get<TraceHeader>(records.front().What)) {}

  ReplayResult run() {
    while (!IsOver) {
      step(nextInstant());
      planUntilIdle();
    }
    return finish();
  }

private:
  Instant nextInstant() const {
    const Instant recorded =
        NextRecord < Records.size() ? Records[NextRecord].At : Instant::never();
    return std::max(Now, std::min({recorded, Tasks.nextAt(), NextMeasure,
                                   ActivePlanner.nextPlanAt(Now)}));
  }

  void step(Instant now) {
    Now = now;
    if (Now >= NextMeasure)
      measure();
    for (; NextRecord < Records.size() && Records[NextRecord].At <= Now;
         ++NextRecord)
      std::visit([this](const auto &event) { handle(event); },
                 Records[NextRecord].What);
    for (const TaskEvent &event : Tasks.takeDue(Now))
      handle(event);
  }

  void planUntilIdle() {
    do {
      const int64_t before = processorTime();
      const auto actions = ActivePlanner.plan(Now);
      const int64_t spent = processorTime() - before;
      PlannerNanos += spent;
      Result.Measured.PlanMicros.add(static_cast<double>(spent) / 1000);
      for (Finding &finding : DecisionLedger.apply(actions))
        Result.Findings.push_back(std::move(finding));
      for (const placement::Action &action : actions)
        std::visit([this](const auto &a) { carryOut(a); }, action);
    } while (ActivePlanner.nextPlanAt(Now) <= Now);
    for (const WorkerId &worker : ActivePlanner.quarantinedWorkers())
      Quarantined.insert(worker);
  }

  // Handlers of recorded events.
  void handle(const TraceHeader &) {}
  void handle(const TeamRecord &record) {
    Teams.push_back(record.Team);
    ActivePlanner.setTeams(Teams);
    Shares.push_back({record.Team.Id, record.Team.Share, record.Team.Ceiling});
    handle(SliceRecord{record.Team.Id, record.Team.Ceiling});
  }
  void handle(const EntryRecord &record) {
    Entries[record.Entry.Id] = record.Entry;
  }
  void handle(const WorkerRecord &record) {
    DecisionLedger.announceWorker(record.Worker);
    Tasks.setFailing(record.Worker.Worker, record.IsFailing);
    timed([&] { ActivePlanner.announceWorker(record.Worker, Now); });
  }
  void handle(const LostRecord &record) {
    DecisionLedger.markWorkerLost(record.Worker);
    Tasks.loseWorker(record.Worker, Now);
    Services.markWorkerLost(record.Worker, Now);
    timed([&] { ActivePlanner.markWorkerLost(record.Worker, Now); });
  }
  void handle(const SliceRecord &record) {
    DecisionLedger.setSlice(record.Team, record.Slice);
    ActivePlanner.setSlice(record.Team, record.Slice);
    for (ShareView &share : Shares)
      if (share.Team == record.Team)
        share.Slice = record.Slice;
  }
  void handle(const SubmitRecord &record) {
    fate::Submission work;
    work.Request = record.Request;
    work.Entry = Entries.at(record.Entry);
    work.Team = work.Entry.Owner;
    work.Tasks = record.Tasks;
    work.StartWithin = record.StartWithin;
    placement::PendingRequest pending = {work, Now, {}};
    for (uint32_t i = 0; i < record.Tasks; ++i)
      pending.Tasks.push_back(i);
    DecisionLedger.submitted(work);
    Tasks.add(record, work.Entry, Now);
    if (work.Entry.Class == catalogue::WorkClass::Service)
      Services.add(record.Request, record.Tasks);
    Result.Fates[record.Request] = FateState::Queued;
    timed([&] { ActivePlanner.enqueue(pending, Now); });
  }
  void handle(const CancelRecord &record) {
    end(record.Request, FateState::Cancelled);
  }
  void handle(const ExpectRecord &) {}
  void handle(const EndRecord &) { IsOver = true; }

  // Handlers of simulated task events.
  void handle(const TaskEvent &event) {
    switch (event.Kind) {
    case TaskEventKind::Started:
      return start(event.Task);
    case TaskEventKind::Measured:
      return timed([&] { ActivePlanner.recordUsage(event.Task, event.Use); });
    case TaskEventKind::Ended:
      return endTask(event);
    }
  }

  void start(const TaskId &id) {
    const LiveRequest &request = Tasks.request(id.Request);
    if (!std::exchange(Tasks.task(id).WasStarted, true))
      addWait(request, Now - request.AcceptedAt);
    Services.started(id, Tasks.task(id).Worker, Now);
    timed([&] { ActivePlanner.attemptStarted(id, Now); });
    if (!fate::isTerminal(Result.Fates[id.Request]))
      Result.Fates[id.Request] = FateState::Running;
  }

  void addWait(const LiveRequest &request, Duration wait) {
    const auto millis = static_cast<double>(wait.millis());
    Result.Measured.WaitByClass[waitClass(request.Entry)].add(millis);
    Result.Measured.WaitByTeam[request.Entry.Owner.str()].add(millis);
  }

  void endTask(const TaskEvent &event) {
    DecisionLedger.ended(event.Task, event.End);
    Services.ended(event.Task, Now);
    timed([&] { ActivePlanner.attemptEnded(event.Task, event.End, Now); });
    const RequestId &id = event.Task.Request;
    if (event.End == EndKind::Finished) {
      ++Result.Measured.FinishedTasks;
      if (Tasks.isFinished(id))
        complete(id);
      return;
    }
    if (fate::isTerminal(Result.Fates[id]))
      return;
    Result.Measured.LostSeconds += event.LostSeconds;
    if (!event.MayRunAgain) {
      end(id, FateState::Failed);
      return;
    }
    DecisionLedger.requeued(event.Task);
    timed([&] { ActivePlanner.requeue(event.Task, Now); });
  }

  void complete(const RequestId &id) {
    Result.Fates[id] = FateState::Finished;
    Result.Measured.Completion.add(
        static_cast<double>((Now - Tasks.request(id).AcceptedAt).millis()));
  }

  // Settles the request's fate and stops its tasks that still run.
  void end(const RequestId &id, FateState fate) {
    if (fate::isTerminal(Result.Fates[id]))
      return;
    Result.Fates[id] = fate;
    DecisionLedger.cancelled(id);
    timed([&] { ActivePlanner.cancel(id); });
  }

  // Handlers of planner actions.
  void carryOut(const placement::Offer &offer) {
    Tasks.offer(offer.Task, offer.Worker, offer.Reserved, Now);
  }
  void carryOut(const placement::StopTask &stop) {
    Tasks.stop(stop.Task, false, Now);
  }
  void carryOut(const placement::CheckpointTask &stop) {
    Tasks.stop(stop.Task, true, Now);
  }
  void carryOut(const placement::ThrottleTask &throttle) {
    Tasks.task(throttle.Task).Grant = throttle.Grant;
  }
  void carryOut(const placement::RejectRequest &reject) {
    Result.Fates[reject.Request] = FateState::NotRun;
    Result.Rejections[reject.Request] = reject.Why.text();
  }

  void measure() {
    measurePacking(Result.Measured, DecisionLedger, Tasks.used(),
                   MeasureInterval);
    measureShares(Result.Measured, DecisionLedger, Shares);
    Result.Measured.OverloadedSeconds += Tasks.countOverloaded(DecisionLedger);
    NextMeasure = Now + MeasureInterval;
  }

  ReplayResult finish() {
    for (const auto &[id, request] : Tasks.requests()) {
      const FateState fate = Result.Fates[id];
      if (fate::isTerminal(fate))
        continue;
      if (request.Entry.Class != catalogue::WorkClass::Service)
        ++Result.Measured.Unsettled;
      for (const LiveTask &task : request.Tasks)
        if (!task.WasStarted)
          addWait(request, Now - request.AcceptedAt);
    }
    const placement::PlannerCounters &counters = ActivePlanner.counters();
    Measures &measured = Result.Measured;
    measured.Offers = counters.Offers;
    measured.Stops = counters.Stops;
    measured.Checkpoints = counters.Checkpoints;
    measured.Throttles = counters.Throttles;
    measured.Rejections = counters.Rejections;
    measured.Quarantines = counters.Quarantines;
    measured.MicrosPerOffer =
        static_cast<double>(PlannerNanos) / 1000 /
        static_cast<double>(std::max<uint64_t>(counters.Offers, 1));
    Result.Services = Services.finish(Now);
    Result.Quarantined.assign(Quarantined.begin(), Quarantined.end());
    return std::move(Result);
  }

  int64_t processorTime() const {
    return Options.ProcessorTime ? Options.ProcessorTime() : 0;
  }
  template <typename F> void timed(F call) {
    const int64_t before = processorTime();
    call();
    PlannerNanos += processorTime() - before;
  }

  Planner ActivePlanner;
  const ReplayOptions &Options;
  const std::vector<Record> &Records;
  Platform Tasks;
  Ledger DecisionLedger;
  ServiceWatch Services;
  ReplayResult Result;
  std::vector<catalogue::Team> Teams;
  std::vector<ShareView> Shares;
  std::map<EntryId, catalogue::Entry> Entries;
  std::set<WorkerId> Quarantined;
  Instant Now;
  Instant NextMeasure = Instant::fromMillis(MeasureInterval.millis());
  std::size_t NextRecord = 0;
  int64_t PlannerNanos = 0;
  bool IsOver = false;
};

// Checks that each submission names an entry defined earlier in the trace.
Status checkEntries(const std::vector<Record> &records) {
  std::set<EntryId> known;
  for (const Record &record : records) {
    if (const auto *entry = std::get_if<EntryRecord>(&record.What))
      known.insert(entry->Entry.Id);
    const auto *submit = std::get_if<SubmitRecord>(&record.What);
    if (submit && !known.contains(submit->Entry))
      return Error{ErrorKind::NotFound,
                   absl::StrCat("request '", submit->Request.str(),
                                "' names the unknown entry '",
                                submit->Entry.str(), "'"),
                   "define the entry before the request"};
  }
  return Ok{};
}

} // namespace

std::string waitClass(const catalogue::Entry &entry) {
  if (entry.Priority == catalogue::Urgency::Urgent)
    return "urgent";
  return std::string(nameIn(catalogue::WorkClassNames, entry.Class));
}

Result<ReplayResult> replay(const std::vector<Record> &records,
                            const ReplayOptions &options) {
  if (Status status = checkEntries(records); !isOk(status))
    return errorOf(status);
  Result<Planner> planner = Planner::create(options.Planner, options.Hooks);
  if (!isOk(planner))
    return errorOf(planner);
  return Replayer(valueOf(std::move(planner)), options, records).run();
}

} // namespace jujube::replay
