#include "testing/standin_worker_tasks.h"

#include <map>
#include <memory>
#include <optional>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"
#include "jujube/http/json.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/reply_slot.h"
#include "nlohmann/json.hpp"
#include "testing/standin_http.h"
#include "testing/standin_run_log.h"

namespace jujube::testing {
namespace {

using nlohmann::json;
using runtime::MailboxPtr;
using runtime::TaskContext;

constexpr std::size_t MailboxCapacity = 100000;
constexpr std::size_t StatsThreads = 4;
constexpr Duration StatsWait = Duration::seconds(2);
// Pause after a failed sync, and between two immediate reports.
constexpr Duration RetryPause = Duration::millis(200);
constexpr Duration ChangesPause = Duration::millis(10);

// The two kinds of sync.
enum class SyncKind { Pending, Changes };

struct SyncOrder {
  fate::WorkerSync Sync;
};
struct SyncTasksReply {
  SyncKind Kind = SyncKind::Pending;
  Instant SentAt;
  Result<fate::SyncReply> Reply;
};

// Messages to the task that owns the run log.
struct Recorded {
  WorkerId Worker;
  std::vector<RunEvent> Events;
  WorkerStats Stats;
};
struct LogAsked {
  runtime::ReplySlotPtr<std::string> Reply;
};
using LogMessage = std::variant<Recorded, LogAsked>;

// The mailboxes of one worker's tasks.
struct WorkerMail {
  MailboxPtr<SyncTasksReply> Done =
      runtime::makeMailbox<SyncTasksReply>(MailboxCapacity);
  MailboxPtr<SyncOrder> Pending = runtime::makeMailbox<SyncOrder>(2);
  MailboxPtr<SyncOrder> Changes = runtime::makeMailbox<SyncOrder>(2);
};

// Owns one worker's state; orders syncs and applies their replies.
class WorkerLoop {
public:
  WorkerLoop(const StandinWorkerOptions &options, Duration silentAfter,
             WorkerMail mail, MailboxPtr<LogMessage> log, TaskContext &context)
      : Worker(options), Mail(std::move(mail)), Log(std::move(log)),
        Context(context), SilentFrom(context.now() + silentAfter) {}

  Status run() {
    Context.loop().watchMailbox<SyncTasksReply>(
        Mail.Done, [this](const SyncTasksReply &done) { handle(done); });
    order(SyncKind::Pending);
    settle();
    return Context.loop().run();
  }

private:
  void handle(const SyncTasksReply &done) {
    if (Context.now() >= SilentFrom)
      return;
    const bool isGood = isOk(done.Reply);
    noteOutcome(done);
    if (isGood)
      Worker.apply(valueOf(done.Reply), done.SentAt, Context.now());
    const Duration pause = !isGood                          ? RetryPause
                           : done.Kind == SyncKind::Changes ? ChangesPause
                                                            : Duration();
    Context.loop().callAt(Context.now() + pause, [this, kind = done.Kind] {
      (kind == SyncKind::Changes ? IsChangesSyncBusy : IsPendingBusy) = false;
      if (kind == SyncKind::Pending)
        order(SyncKind::Pending);
      settle();
    });
    settle();
  }

  void noteOutcome(const SyncTasksReply &done) {
    if (!isOk(done.Reply) && done.Kind == SyncKind::Pending)
      Worker.onFailure();
    else if (isOk(done.Reply) && done.Kind == SyncKind::Pending)
      Worker.onReply(valueOf(done.Reply));
    else if (isOk(done.Reply))
      Worker.onUnfilteredReply(valueOf(done.Reply));
  }

  void order(SyncKind kind) {
    if (Context.now() >= SilentFrom)
      return;
    const bool isChanges = kind == SyncKind::Changes;
    (isChanges ? IsChangesSyncBusy : IsPendingBusy) = true;
    (void)(isChanges ? Mail.Changes : Mail.Pending)
        ->post(SyncOrder{isChanges ? Worker.takeChanges()
                                   : Worker.nextSync(Context.now())});
  }

  // Called after every change: ends tasks that are due, sends immediate reports
  // and arms the next timer.
  void settle() {
    Worker.tick(Context.now());
    if (std::vector<RunEvent> events = Worker.takeEvents(); !events.empty())
      (void)Log->post(Recorded{Worker.id(), std::move(events), Worker.stats()});
    if (!IsChangesSyncBusy && Worker.takeHasChanges())
      order(SyncKind::Changes);
    if (Timer)
      Context.loop().cancel(*Timer);
    Timer.reset();
    if (const Instant next = Worker.nextWake(); next < Instant::never())
      Timer = Context.loop().callAt(next, [this] {
        Timer.reset();
        settle();
      });
  }

  StandinWorker Worker;
  WorkerMail Mail;
  MailboxPtr<LogMessage> Log;
  TaskContext &Context;
  Instant SilentFrom;
  bool IsChangesSyncBusy = false;
  bool IsPendingBusy = false;
  std::optional<runtime::TimerId> Timer;
};

// Owns one connection to an entry host.
Status runSyncs(const WorkerFleetOptions &options, std::size_t index,
                SyncKind kind, const MailboxPtr<SyncOrder> &orders,
                const MailboxPtr<SyncTasksReply> &done, TaskContext &context) {
  EntryClient client(options.Entries, options.FleetToken, options.TlsAuthority,
                     index);
  context.loop().watchMailbox<SyncOrder>(orders, [&](const SyncOrder &order) {
    SyncTasksReply outcome{kind, context.now(), fate::SyncReply{}};
    const Result<std::string> body = client.post(
        "/v1/workers/sync", http::toJson(order.Sync), options.SyncTimeout);
    outcome.Reply = isOk(body) ? http::fromJson<fate::SyncReply>(valueOf(body))
                               : Result<fate::SyncReply>(errorOf(body));
    if (!isOk(outcome.Reply)) {
      LOG_EVERY_N(WARNING, 100) << "event=sync_failed error=\""
                                << errorOf(outcome.Reply).text() << "\"";
    }
    (void)done->post(std::move(outcome));
  });
  return context.loop().run();
}

json toJson(const Resources &resources) {
  return {{"milli_cpu", resources.MilliCpu},
          {"memory_mb", resources.MemoryMb},
          {"accelerators", resources.Accelerators}};
}

json toJson(const WorkerId &id, const WorkerStats &stats) {
  return {{"worker", id.str()},
          {"started", stats.Started},
          {"finished", stats.Finished},
          {"failed", stats.Failed},
          {"stopped", stats.Stopped},
          {"refused", stats.Refused},
          {"lease_stops", stats.LeaseStops},
          {"stale_replies", stats.StaleReplies},
          {"over_capacity", stats.OverCapacity}};
}

std::string statsText(const RunLog &log,
                      const std::map<WorkerId, WorkerStats> &workers) {
  json all{{"attempts_started", log.starts()},
           {"concurrent_duplicates", log.concurrentDuplicates()},
           {"teams", json::object()},
           {"workers", json::array()}};
  for (const auto &[team, use] : log.teams())
    all["teams"][team] = {{"running", use.Running},
                          {"peak_running", use.PeakRunning},
                          {"peak", toJson(use.Peak)},
                          {"now", toJson(use.Now)}};
  for (const auto &[id, stats] : workers)
    all["workers"].push_back(toJson(id, stats));
  return all.dump();
}

Status runLog(const MailboxPtr<LogMessage> &mailbox, TaskContext &context) {
  RunLog log;
  std::map<WorkerId, WorkerStats> workers;
  context.loop().watchMailbox<LogMessage>(
      mailbox, [&](const LogMessage &message) {
        if (const auto *asked = std::get_if<LogAsked>(&message))
          return asked->Reply->set(statsText(log, workers));
        const auto &recorded = std::get<Recorded>(message);
        workers[recorded.Worker] = recorded.Stats;
        for (const RunEvent &event : recorded.Events)
          log.record(event);
      });
  return context.loop().run();
}

StandinRoute statsRoute(MailboxPtr<LogMessage> log) {
  return [log = std::move(log)](const std::string &) {
    const auto slot = runtime::makeReplySlot<std::string>();
    if (!isOk(log->post(LogAsked{slot})))
      return StandinReply{503, "{}"};
    const Result<std::string> text = slot->wait(StatsWait);
    return isOk(text) ? StandinReply{200, valueOf(text)}
                      : StandinReply{503, "{}"};
  };
}

} // namespace

Result<runtime::Supervisor> workerTree(WorkerFleetOptions options) {
  const auto log = runtime::makeMailbox<LogMessage>(MailboxCapacity);
  auto server = StandinServer::bind(options.Stats, StatsThreads, {},
                                    {{"/stats", statsRoute(log)}});
  if (!isOk(server))
    return errorOf(server);
  const auto shared =
      std::make_shared<const WorkerFleetOptions>(std::move(options));
  std::vector<runtime::ChildSpec> children{
      {"run-log", [log](TaskContext &context) { return runLog(log, context); }},
      valueOf(server)->asChild(valueOf(server))};
  for (std::size_t i = 0; i < shared->Workers.size(); ++i) {
    const WorkerMail mail;
    const auto syncs = [&](SyncKind kind, const MailboxPtr<SyncOrder> &orders) {
      return [=](TaskContext &context) {
        return runSyncs(*shared, i, kind, orders, mail.Done, context);
      };
    };
    children.push_back(
        {absl::StrCat("sync-", i), syncs(SyncKind::Pending, mail.Pending)});
    children.push_back(
        {absl::StrCat("news-", i), syncs(SyncKind::Changes, mail.Changes)});
    children.push_back({absl::StrCat("worker-", i), [=](TaskContext &context) {
                          return WorkerLoop(shared->Workers[i],
                                            shared->SilentAfter, mail, log,
                                            context)
                              .run();
                        }});
  }
  return runtime::Supervisor::create({"standin-worker"}, std::move(children));
}

} // namespace jujube::testing
