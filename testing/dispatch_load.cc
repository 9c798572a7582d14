#include "testing/dispatch_load.h"

#include <algorithm>
#include <functional>
#include <span>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

constexpr Duration Turn = Duration::millis(10);
// The same as on the leader.
constexpr Duration ShortPatience = Duration::millis(100);
constexpr Duration LongPatience = Duration::millis(150);
// Time to transfer and store the report of a task's end.
constexpr Duration EndDelay = Duration::millis(20);
constexpr Duration TicketValidity = Duration::millis(1500);

class LoadWorld {
public:
  LoadWorld(const std::vector<LoadKind> &kinds, const LoadFleet &fleet)
      : Kinds(kinds), Fleet(fleet) {
    jobs::Configuration config;
    config.Version = 1;
    config.Pools = {{SamplePool}};
    config.Teams = {{SampleTeam, {"key"}, 10, {}}};
    for (const LoadKind &kind : Kinds) {
      jobs::Queue queue;
      queue.Id = jobs::QueueId(kind.Queue);
      queue.Pool = SamplePool;
      queue.Priority = kind.Priority;
      queue.SlackFactor = kind.SlackFactor;
      queue.LatencyTarget = kind.LatencyTarget;
      queue.Approval = kind.Approval;
      queue.PathPrefix = "/" + queue.Id.str() + "/";
      config.Queues.push_back(queue);
    }
    Book.apply(jobs::ConfigurationPut{config});
    for (int i = 0; i < Fleet.Workers; ++i)
      Book.apply(jobs::WorkerChanged{
          sampleWorker(absl::StrCat("w", i), Fleet.MilliCpu)});
  }

  void run(Duration span) {
    for (; Now < Instant() + span; Now = Now + Turn) {
      for (int i = 0; i < Fleet.Helpers; ++i)
        Roster.recordReport(HostId(absl::StrCat("h", i)), {"10.1.0.1", 1}, Now);
      submitDue();
      endDue();
      answerDue();
      plan();
    }
  }

  std::map<std::string, LoadResult> results(Instant counted) const {
    std::map<std::string, std::vector<const Entry *>> jobs;
    for (const auto &[id, entry] : Entries)
      if (entry.SubmittedAt < counted)
        jobs[entry.Kind->Queue].push_back(&entry);
    std::map<std::string, LoadResult> results;
    for (auto &[queue, entries] : jobs)
      results[queue] = resultOf(entries);
    return results;
  }

private:
  struct Entry {
    const LoadKind *Kind = nullptr;
    uint32_t Tasks = 0;
    Instant SubmittedAt;
    uint32_t StartedTasks = 0;
    Instant LastStart;
  };
  static bool isWithinObjective(const Entry &entry) {
    if (entry.StartedTasks < entry.Tasks)
      return false;
    const auto run = static_cast<double>(entry.Kind->RunTime.millis());
    const auto objective =
        Duration::millis(static_cast<int64_t>(run * entry.Kind->SlackFactor)) +
        entry.Kind->LatencyTarget;
    const Instant end = entry.LastStart + entry.Kind->RunTime + EndDelay;
    return end - entry.SubmittedAt <= objective;
  }

  static LoadShare shareOf(std::span<const Entry *const> entries) {
    return {
        static_cast<int>(entries.size()),
        static_cast<int>(std::ranges::count_if(
            entries, [](const Entry *it) { return isWithinObjective(*it); }))};
  }

  static LoadResult resultOf(std::vector<const Entry *> &entries) {
    LoadResult result{shareOf(entries)};
    Duration waits;
    for (const Entry *it : entries)
      if (it->StartedTasks == it->Tasks) {
        ++result.Started;
        waits = waits + (it->LastStart - it->SubmittedAt);
      }
    if (result.Started > 0)
      result.MeanWait = waits / result.Started;
    std::ranges::stable_sort(entries, std::greater<>(), &Entry::Tasks);
    result.Widest =
        shareOf(std::span(entries).first((entries.size() + 9) / 10));
    return result;
  }

  struct PendingQuery {
    jobs::ApprovalQuery Query;
    Instant Begun;
    Duration Length;
  };

  void submitDue() {
    for (const LoadKind &kind : Kinds)
      if (Now.millis() % kind.Period.millis() == 0)
        submit(kind);
  }

  void submit(const LoadKind &kind) {
    const uint64_t number = ++Numbers[kind.Queue];
    const std::string id = absl::StrCat(kind.Queue, "-", number);
    jobs::StepSpec step =
        sampleStep(kind.Tasks[number % kind.Tasks.size()], kind.MilliCpu);
    step.Estimate = kind.RunTime;
    step.IsGang = kind.IsGang;
    jobs::JobSpec job = sampleJob(id, {step});
    job.Queue = jobs::QueueId(kind.Queue);
    Entries[job.Id] = {&kind, step.Tasks, Now};
    Book.apply(jobs::JobAccepted{std::move(job), Now});
  }

  void endDue() {
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      const jobs::AttemptStarted &start = Ends.begin()->second;
      Book.apply(jobs::AttemptEnded{
          start.Task, start.Attempt, jobs::EndKind::Done, {}});
      Ends.erase(Ends.begin());
    }
  }

  bool isApproved(const jobs::StepKey &step, const WorkerId &worker) const {
    const std::string digest = keyedDigest(step.Job.str(), worker.str());
    const uint64_t draw = static_cast<uint64_t>(digest[0]) * 128 +
                          static_cast<uint64_t>(digest[1]);
    return (draw * 2654435761U >> 8) % 100 <
           Entries.at(step.Job).Kind->ApprovedPercent;
  }

  void answerDue() {
    while (!Queries.empty() && Queries.begin()->first <= Now) {
      const PendingQuery &asked = Queries.begin()->second;
      jobs::ApprovalAnswer answer;
      answer.Validity = TicketValidity;
      for (const WorkerId &worker : asked.Query.Workers)
        if (isApproved(asked.Query.Step, worker))
          answer.Approved.push_back({worker, "ticket"});
      Approved.finish(asked.Query, answer, asked.Begun + asked.Length);
      Queries.erase(Queries.begin());
    }
  }

  void plan() {
    std::vector<dispatch::WorkerView> views;
    for (const auto &[id, worker] : Book.workers())
      views.push_back({&worker});
    const dispatch::DispatchPlan plan =
        dispatch::planStarts({Book, std::move(views), Approved, Now, Now,
                              Roster.countFree(Now, ShortPatience, false),
                              Roster.countFree(Now, LongPatience, true)},
                             Policy);
    for (const dispatch::PlannedStart &planned : plan.Starts)
      start(planned.Start);
    for (const jobs::ApprovalQuery &query : plan.Queries)
      ask(query);
  }

  void start(const jobs::AttemptStarted &what) {
    Book.apply(what);
    Entry &entry = Entries.at(what.Task.Job);
    ++entry.StartedTasks;
    entry.LastStart = Now;
    Ends.emplace(Now + entry.Kind->RunTime + EndDelay, what);
  }

  void ask(const jobs::ApprovalQuery &query) {
    const LoadKind &kind = *Entries.at(query.Step.Job).Kind;
    const bool isLong =
        dispatch::lengthOf(kind.Approval) == dispatch::QueryLength::Long;
    const auto helper =
        Roster.choose(Now, isLong ? LongPatience : ShortPatience, isLong);
    if (!helper)
      return;
    const Duration length =
        dispatch::queryTime(kind.Approval, query.Workers.size());
    const Instant due = Roster.assign(*helper, length, Now);
    Approved.begin(query, jobs::QueueId(kind.Queue));
    Queries.emplace(due, PendingQuery{query, Now, length});
  }

  const std::vector<LoadKind> &Kinds;
  LoadFleet Fleet;
  Instant Now;
  jobs::JobStateMachine Book;
  dispatch::Approvals Approved;
  control::ApprovalHelpers Roster;
  dispatch::DispatchHooks Policy = dispatch::defaultHooks();
  std::map<std::string, uint64_t> Numbers;
  std::map<jobs::JobId, Entry> Entries;
  std::multimap<Instant, jobs::AttemptStarted> Ends;
  std::multimap<Instant, PendingQuery> Queries;
};

} // namespace

std::map<std::string, LoadResult>
simulateLoad(const std::vector<LoadKind> &kinds, const LoadFleet &fleet,
             Duration span, Duration drain) {
  LoadWorld world(kinds, fleet);
  world.run(span);
  return world.results(Instant() + (span - drain));
}

} // namespace jujube::testing
