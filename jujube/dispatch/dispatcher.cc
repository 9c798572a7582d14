#include "jujube/dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::dispatch {
namespace {

// Most workers that one approval query names. Source: the objective allows for
// a call on 30 workers a step.
constexpr std::size_t MaxAskedWorkers = 30;
// Fewest, so that one refusal does not cost another call.
constexpr std::size_t MinAskedWorkers = 4;
// The same of a long query. Source: with a quarter of the workers approved,
// twelve that are hold a wide gang.
constexpr std::size_t MaxAskedByLongQuery = 48;
// Queries whose fixed part takes this long are of medium length, and long.
// Sources: a tenth of the shortest objective of the queues, and the time for
// naming 48 workers, about.
constexpr Duration MediumQuery = Duration::millis(40);
constexpr Duration LongQuery = Duration::millis(250);
// Added to the time of a query for the ways to the host and back.
constexpr Duration QueryOverhead = Duration::millis(100);
// What a worker without room for a task counts in a query ahead of room, in
// tasks: room comes up while the query is under way.
constexpr double TasksOnFullWorker = 0.5;
// Largest share of the workers on which room is kept for gangs, so that less
// urgent steps go on elsewhere.
constexpr double MaxHeldShare = 0.5;
// Tasks that fill may ask for this part of a worker's processors though all are
// given away. Source: tasks use less than they ask for.
constexpr int64_t FillerPart = 4;

bool hasLabel(const jobs::Worker &worker, const std::string &label) {
  return label.empty() ||
         std::ranges::find(worker.Labels, label) != worker.Labels.end();
}

// The longest chain of estimates over the job's steps.
Duration longestChain(const jobs::JobSpec &spec) {
  std::vector<Duration> ends;
  for (const jobs::StepSpec &step : spec.Steps) {
    Duration begin;
    for (const uint32_t before : step.After)
      begin = std::max(begin, ends[before]);
    ends.push_back(begin + step.Estimate);
  }
  return ends.empty() ? Duration() : *std::ranges::max_element(ends);
}

// One pass over the ready steps.
class Pass {
public:
  Pass(const DispatchInput &input, const DispatchHooks &hooks)
      : In(input), Hooks(hooks) {
    for (const WorkerView &view : In.Workers) {
      const jobs::Load &load = In.Book.loadOf(view.Who->Id);
      Free[view.Who->Id] = view.Who->Capacity - load.Used;
      Filling[view.Who->Id] = load.FillerMilliCpu;
    }
  }

  DispatchPlan run() {
    std::vector<ReadyStep> steps = readySteps();
    std::ranges::sort(steps, [&](const ReadyStep &a, const ReadyStep &b) {
      return Hooks.GoesFirst(a, b, In.WallNow);
    });
    for (const ReadyStep &step : steps)
      place(step);
    return std::move(Plan);
  }

private:
  struct Choice {
    const jobs::Worker *Who = nullptr;
    std::string Ticket;
  };

  std::vector<ReadyStep> readySteps() const {
    std::vector<ReadyStep> steps;
    for (const jobs::JobId &id : In.Book.openJobs()) {
      const jobs::Job &job = *In.Book.find(id);
      const jobs::Queue *queue =
          jobs::findQueue(In.Book.configuration(), job.Spec.Queue);
      if (queue == nullptr)
        continue;
      for (uint32_t k = 0; k < job.Rounds.size(); ++k)
        if (dueAt(job, k) <= In.WallNow || !job.Spec.FirstDue)
          addReadySteps(job, *queue, k, steps);
    }
    return steps;
  }

  void addReadySteps(const jobs::Job &job, const jobs::Queue &queue,
                     uint32_t occurrence, std::vector<ReadyStep> &out) const {
    for (uint32_t s = 0; s < job.Spec.Steps.size(); ++s) {
      const jobs::StepState &state = job.Rounds[occurrence].Steps[s];
      const bool isGang = job.Spec.Steps[s].IsGang;
      const bool isWaiting =
          isGang ? state.LiveTasks == 0 && !state.isDone()
                 : std::ranges::any_of(state.Tasks, [](const jobs::Task &it) {
                     return !it.IsDone && !it.Live;
                   });
      if (isWaiting && jobs::JobBook::isReady(job, occurrence, s))
        out.push_back({{job.Spec.Id, occurrence, s},
                       &job,
                       &job.Spec.Steps[s],
                       &state,
                       &queue,
                       objectiveOf(job, queue, occurrence),
                       failedOn(state)});
    }
  }

  static std::set<WorkerId> failedOn(const jobs::StepState &state) {
    std::set<WorkerId> workers;
    for (const jobs::Task &task : state.Tasks)
      if (!task.IsDone && !task.LastFailedOn.empty())
        workers.insert(task.LastFailedOn);
    return workers;
  }

  // Most further tasks that the team may have running.
  int64_t teamRoom(const ReadyStep &step) {
    const jobs::Team *team =
        jobs::findTeam(In.Book.configuration(), step.Job->Spec.Team);
    if (team == nullptr)
      return INT64_MAX;
    const Resources used = In.Book.usedBy(team->Id) + Added[team->Id];
    int64_t room = INT64_MAX;
    const auto bound = [&room](int64_t most, int64_t have, int64_t each) {
      if (most > 0 && each > 0)
        room = std::min(room, std::max<int64_t>(most - have, 0) / each);
    };
    const Resources &ask = step.Spec->Ask;
    bound(team->Maximum.MilliCpu, used.MilliCpu, ask.MilliCpu);
    bound(team->Maximum.MemoryMb, used.MemoryMb, ask.MemoryMb);
    bound(team->Maximum.Accelerators, used.Accelerators, ask.Accelerators);
    return room;
  }

  void place(const ReadyStep &step) {
    if (step.Spec->IsGang)
      placeGang(step);
    else
      placeTasks(step);
  }

  static std::vector<uint32_t> waitingTasks(const ReadyStep &step) {
    std::vector<uint32_t> waiting;
    for (uint32_t i = 0; i < step.State->Tasks.size(); ++i)
      if (!step.State->Tasks[i].IsDone && !step.State->Tasks[i].Live)
        waiting.push_back(i);
    return waiting;
  }

  void placeTasks(const ReadyStep &step) {
    const std::vector<uint32_t> waiting = waitingTasks(step);
    const int64_t most = teamRoom(step);
    std::size_t placed = 0;
    while (placed < waiting.size() && static_cast<int64_t>(placed) < most) {
      const Choice choice = choose(step, nullptr);
      if (choice.Who == nullptr)
        break;
      const jobs::Task &task = step.State->Tasks[waiting[placed]];
      commit(step, waiting[placed], task.LastAttempt + 1, choice);
      ++placed;
    }
    const std::size_t left = waiting.size() - placed;
    if (left == 0)
      return;
    noteWait(step, left, static_cast<int64_t>(placed) >= most);
    if (static_cast<int64_t>(placed) < most)
      askFor(step, left);
  }

  void placeGang(const ReadyStep &step) {
    const auto n = static_cast<int64_t>(step.State->Tasks.size());
    if (teamRoom(step) < n) {
      noteWait(step, step.State->Tasks.size(), true);
      return;
    }
    uint32_t attempt = 0;
    for (const jobs::Task &task : step.State->Tasks)
      attempt = std::max(attempt, task.LastAttempt + 1);
    if (step.Spec->IsTightlyCoupled && placeOnOneRack(step, attempt))
      return;
    if (placeAll(step, attempt, nullptr))
      return;
    noteWait(step, step.State->Tasks.size(), false);
    askFor(step, step.State->Tasks.size());
    holdRoomFor(step);
  }

  // Keeps less urgent steps off as many workers as the gang needs, so that room
  // comes together there.
  void holdRoomFor(const ReadyStep &step) {
    const bool isLate = step.DueBy < In.WallNow + step.Spec->Estimate;
    if (isLate)
      return;
    std::vector<const WorkerView *> usable;
    for (const WorkerView &view : In.Workers)
      if (!Held.contains(view.Who->Id) && isEligible(step, *view.Who) &&
          isKnownApproved(step, view.Who->Id))
        usable.push_back(&view);
    std::ranges::sort(usable, std::greater<>(), [&](const WorkerView *view) {
      return Free.at(view->Who->Id).MilliCpu;
    });
    const auto most = static_cast<std::size_t>(
        MaxHeldShare * static_cast<double>(In.Workers.size()));
    auto needed = static_cast<int64_t>(step.State->Tasks.size());
    for (const WorkerView *view : usable) {
      if (needed <= 0 || Held.size() >= most)
        return;
      Held.insert(view->Who->Id);
      needed -= fitCount(step, view->Who->Capacity);
    }
  }

  bool isKnownApproved(const ReadyStep &step, const WorkerId &worker) const {
    if (!step.Queue->Approval)
      return true;
    const ApprovalState state = In.Approved.stateOf(step.Key, worker, In.Now);
    return state == ApprovalState::Valid || state == ApprovalState::Expired;
  }

  bool placeOnOneRack(const ReadyStep &step, uint32_t attempt) {
    std::set<std::string> racks;
    for (const WorkerView &view : In.Workers)
      racks.insert(view.Who->Rack);
    return std::ranges::any_of(racks, [&](const std::string &rack) {
      return placeAll(step, attempt, &rack);
    });
  }

  // Places all tasks or none.
  bool placeAll(const ReadyStep &step, uint32_t attempt,
                const std::string *rack) {
    const auto freeBefore = Free;
    const auto fillingBefore = Filling;
    const auto addedBefore = Added;
    const std::size_t startsBefore = Plan.Starts.size();
    for (uint32_t i = 0; i < step.State->Tasks.size(); ++i) {
      const Choice choice = choose(step, rack);
      if (choice.Who == nullptr) {
        Free = freeBefore;
        Filling = fillingBefore;
        Added = addedBefore;
        Plan.Starts.resize(startsBefore);
        return false;
      }
      commit(step, i, attempt, choice);
    }
    return true;
  }

  uint32_t tasksOn(const ReadyStep &step, const WorkerId &worker) const {
    const auto isHere = [&](const jobs::Task &task) {
      return task.Live && task.Live->Worker == worker;
    };
    const auto planned =
        std::ranges::count_if(Plan.Starts, [&](const PlannedStart &it) {
          return it.Start.Worker == worker &&
                 jobs::stepOf(it.Start.Task) == step.Key;
        });
    return static_cast<uint32_t>(
        std::ranges::count_if(step.State->Tasks, isHere) + planned);
  }

  void noteWait(const ReadyStep &step, std::size_t tasks,
                bool isAtTeamMaximum) {
    Plan.Waits.push_back(
        {step.Key,
         isAtTeamMaximum ? WaitCause::TeamMaximum : placeCause(step, tasks),
         tasks});
  }

  // Why `tasks` more tasks of the step find no place; a gang needs all at once.
  WaitCause placeCause(const ReadyStep &step, std::size_t tasks) const {
    const auto needed = step.Spec->IsGang ? static_cast<int64_t>(tasks) : 1;
    int64_t room = 0;
    bool isAnyEligible = false;
    for (const WorkerView &view : In.Workers) {
      isAnyEligible |= isEligible(step, *view.Who);
      if (room < needed && hasRoom(step, view))
        room += fitCount(step, Free.at(view.Who->Id));
    }
    if (!isAnyEligible)
      return WaitCause::NoWorker;
    return room >= needed ? WaitCause::Approval : WaitCause::Room;
  }

  // True if one more task of the step fits there, approval aside.
  bool hasRoom(const ReadyStep &step, const WorkerView &view) const {
    const jobs::Worker &worker = *view.Who;
    return !Held.contains(worker.Id) && isEligible(step, worker) &&
           demandOf(*step.Spec).fitsIn(Free.at(worker.Id)) &&
           (!step.Spec->IsFiller || mayFill(step, worker)) &&
           (step.Spec->MaxPerWorker == 0 ||
            tasksOn(step, worker.Id) < step.Spec->MaxPerWorker);
  }

  // Processors that the other tasks leave, less those of tasks that fill.
  int64_t leftOver(const jobs::Worker &worker) const {
    return std::max(Free.at(worker.Id).MilliCpu,
                    worker.Capacity.MilliCpu / FillerPart) -
           Filling.at(worker.Id);
  }

  bool mayFill(const ReadyStep &step, const jobs::Worker &worker) const {
    return step.Spec->Ask.MilliCpu <= leftOver(worker);
  }

  // True if the worker could run a task of the step if it were empty.
  static bool isEligible(const ReadyStep &step, const jobs::Worker &worker) {
    return worker.Pool == step.Queue->Pool &&
           demandOf(*step.Spec).fitsIn(worker.Capacity) &&
           hasLabel(worker, step.Spec->RequiredLabel);
  }

  // Lower goes first: sound workers, those on which the step has not failed,
  // those near the data, the tightest fit; for tasks that fill, the worker that
  // has most left over.
  std::tuple<bool, bool, bool, int64_t> rankOf(const ReadyStep &step,
                                               const WorkerView &view) const {
    return {view.IsDoubtful, step.FailedOn.contains(view.Who->Id),
            isFar(step, *view.Who),
            step.Spec->IsFiller ? -leftOver(*view.Who)
                                : Free.at(view.Who->Id).MilliCpu};
  }

  static bool isFar(const ReadyStep &step, const jobs::Worker &worker) {
    return !step.Spec->DataRack.empty() &&
           !hasLabel(worker, step.Spec->DataRack);
  }

  Choice choose(const ReadyStep &step, const std::string *rack) const {
    const WorkerView *best = nullptr;
    for (const WorkerView &view : In.Workers) {
      if (rack != nullptr && view.Who->Rack != *rack)
        continue;
      if (!hasRoom(step, view) || !isApproved(step, view.Who->Id))
        continue;
      if (best == nullptr || rankOf(step, view) < rankOf(step, *best))
        best = &view;
    }
    if (best == nullptr)
      return {};
    return {best->Who, In.Approved.ticket(step.Key, best->Who->Id, In.Now)
                           .value_or(std::string())};
  }

  bool isApproved(const ReadyStep &step, const WorkerId &worker) const {
    return !step.Queue->Approval ||
           In.Approved.stateOf(step.Key, worker, In.Now) ==
               ApprovalState::Valid;
  }

  void commit(const ReadyStep &step, uint32_t index, uint32_t attempt,
              const Choice &choice) {
    Resources &free = Free[choice.Who->Id];
    const jobs::TaskKey task{step.Key.Job, step.Key.Occurrence, step.Key.Step,
                             index};
    Plan.Starts.push_back({{task, attempt, choice.Who->Id},
                           choice.Ticket,
                           free.MilliCpu,
                           isFar(step, *choice.Who),
                           step.DueBy - In.WallNow});
    free -= demandOf(*step.Spec);
    Filling[choice.Who->Id] +=
        step.Spec->IsFiller ? step.Spec->Ask.MilliCpu : 0;
    Added[step.Job->Spec.Team] += step.Spec->Ask;
  }

  // How many tasks of the step fit into `free` on one worker.
  static int64_t fitCount(const ReadyStep &step, Resources free) {
    const Resources demand = demandOf(*step.Spec);
    int64_t n = 0;
    const int64_t most = step.Spec->MaxPerWorker == 0
                             ? static_cast<int64_t>(step.State->Tasks.size())
                             : step.Spec->MaxPerWorker;
    while (n < most && demand.fitsIn(free)) {
      free -= demand;
      ++n;
    }
    return n;
  }

  // Asks for approval of workers for `tasks` more tasks. Short queries name
  // workers that have room; they are answered before it is gone. Others are
  // made ahead, so that room that comes up later finds a valid ticket.
  void askFor(const ReadyStep &step, std::size_t tasks) {
    if (!step.Queue->Approval || In.Approved.isAsking(step.Key))
      return;
    const QueryLength length = lengthOf(*step.Queue->Approval);
    const bool isLong = length == QueryLength::Long;
    std::size_t &used = isLong ? LongQueries : ShortQueries;
    if (used >= (isLong ? In.MaxLongQueries : In.MaxShortQueries))
      return;
    jobs::ApprovalQuery query =
        isLong ? longQuery(step) : queryFor(step, tasks);
    if (query.Workers.empty())
      return;
    ++used;
    Plan.Queries.push_back(std::move(query));
  }

  // Names workers that are expected to be enough for `tasks`; none if a gang
  // would hardly find a place on them.
  jobs::ApprovalQuery queryFor(const ReadyStep &step, std::size_t tasks) const {
    auto needed = static_cast<double>(tasks);
    jobs::ApprovalQuery query{step.Key};
    // Renewed tickets are sure; unknown workers may be denied.
    addAsked(step, ApprovalState::Expired, 1.0, needed, query);
    const double rate = In.Approved.approvalRate(step.Queue->Id);
    addAsked(step, ApprovalState::Unknown, rate, needed, query);
    const bool isHopelessGang =
        step.Spec->IsGang &&
        lengthOf(*step.Queue->Approval) == QueryLength::Short &&
        needed > 0.5 * static_cast<double>(tasks);
    if (isHopelessGang)
      query.Workers.clear();
    return query;
  }

  // Names all workers that are not known, and renews what expires before a
  // later query could be answered.
  jobs::ApprovalQuery longQuery(const ReadyStep &step) const {
    const std::vector<Candidate> unknown =
        candidates(step, ApprovalState::Unknown);
    const Duration lead =
        queryTime(*step.Queue->Approval, MaxAskedWorkers) + QueryOverhead;
    jobs::ApprovalQuery query{step.Key};
    bool isDue = !unknown.empty();
    for (const ApprovalState state :
         {ApprovalState::Expired, ApprovalState::Valid})
      for (const Candidate &it : candidates(step, state)) {
        query.Workers.push_back(it.View->Who->Id);
        isDue |=
            In.Approved.validUntil(step.Key, it.View->Who->Id) < In.Now + lead;
      }
    if (!isDue)
      return {step.Key};
    for (const Candidate &it : unknown)
      query.Workers.push_back(it.View->Who->Id);
    if (query.Workers.size() > MaxAskedByLongQuery)
      query.Workers.resize(MaxAskedByLongQuery);
    return query;
  }

  // True if the worker may be named in a query of the step.
  bool isAskable(const ReadyStep &step, const WorkerView &view) const {
    if (view.IsDoubtful)
      return false;
    return lengthOf(*step.Queue->Approval) == QueryLength::Short
               ? hasRoom(step, view)
               : isEligible(step, *view.Who);
  }

  struct Candidate {
    int64_t Fit;
    std::size_t Spread;
    const WorkerView *View;
  };

  // Workers that may be asked about and are in this state, those with the most
  // room first.
  std::vector<Candidate> candidates(const ReadyStep &step,
                                    ApprovalState state) const {
    std::vector<Candidate> found;
    for (const WorkerView &view : In.Workers)
      if (isAskable(step, view) &&
          In.Approved.stateOf(step.Key, view.Who->Id, In.Now) == state)
        found.push_back({fitCount(step, Free.at(view.Who->Id)),
                         spread(step.Key, view.Who->Id), &view});
    std::ranges::sort(found, std::greater<>(), [](const Candidate &it) {
      return std::pair(it.Fit, it.Spread);
    });
    return found;
  }

  void addAsked(const ReadyStep &step, ApprovalState state, double rate,
                double &needed, jobs::ApprovalQuery &query) const {
    for (const Candidate &it : candidates(step, state)) {
      const bool isEnough =
          needed <= 0 && (state == ApprovalState::Expired ||
                          query.Workers.size() >= MinAskedWorkers);
      if (isEnough || query.Workers.size() >= MaxAskedWorkers)
        return;
      query.Workers.push_back(it.View->Who->Id);
      needed -= rate * std::max(static_cast<double>(it.Fit), TasksOnFullWorker);
    }
  }

  // Lets different steps ask for different workers among equal ones.
  static std::size_t spread(const jobs::StepKey &step, const WorkerId &worker) {
    return std::hash<std::string>()(
        absl::StrCat(step.Job.str(), step.Step, worker.str()));
  }

  const DispatchInput &In;
  const DispatchHooks &Hooks;
  std::map<WorkerId, Resources> Free;
  // Processors that tasks which fill ask for.
  std::map<WorkerId, int64_t> Filling;
  // Workers on which room is kept for a gang.
  std::set<WorkerId> Held;
  std::map<TeamId, Resources> Added;
  std::size_t ShortQueries = 0;
  std::size_t LongQueries = 0;
  DispatchPlan Plan;
};

} // namespace

Instant dueAt(const jobs::Job &job, uint32_t occurrence) {
  return job.Spec.FirstDue ? *job.Spec.FirstDue + job.Spec.Period * occurrence
                           : job.AcceptedAt;
}

Instant objectiveOf(const jobs::Job &job, const jobs::Queue &queue,
                    uint32_t occurrence) {
  const auto chain = static_cast<double>(longestChain(job.Spec).millis());
  return dueAt(job, occurrence) +
         Duration::millis(static_cast<int64_t>(chain * queue.SlackFactor)) +
         queue.LatencyTarget;
}

QueryLength lengthOf(const jobs::ApprovalTerms &terms) {
  if (terms.Base < MediumQuery)
    return QueryLength::Short;
  return terms.Base < LongQuery ? QueryLength::Medium : QueryLength::Long;
}

Duration queryTime(const jobs::ApprovalTerms &terms, std::size_t workers) {
  return terms.Base + Duration::millis(static_cast<int64_t>(
                          terms.PerWorkerMs * static_cast<double>(workers)));
}

DispatchHooks defaultHooks() {
  DispatchHooks hooks;
  hooks.GoesFirst = [](const ReadyStep &a, const ReadyStep &b,
                       Instant wallNow) {
    const auto rank = [wallNow](const ReadyStep &step) {
      const bool isLate = step.DueBy < wallNow + step.Spec->Estimate;
      return std::tuple(step.Queue->Priority, isLate, step.DueBy, step.Key);
    };
    return rank(a) < rank(b);
  };
  return hooks;
}

DispatchPlan planStarts(const DispatchInput &input,
                        const DispatchHooks &hooks) {
  return Pass(input, hooks).run();
}

} // namespace jujube::dispatch
