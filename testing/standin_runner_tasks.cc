#include "testing/standin_runner_tasks.h"

#include <algorithm>
#include <map>
#include <memory>

#include "glog/logging.h"
#include "jujube/http/json.h"
#include "nlohmann/json.hpp"

namespace jujube::testing {
namespace {

using runtime::MailboxPtr;
using runtime::TaskContext;

constexpr std::size_t MailboxCapacity = 100000;
// Longest time that a connection's thread waits for the runner's answer.
constexpr Duration MaxAnswerWait = Duration::seconds(60);
constexpr Duration AnnounceTimeout = Duration::seconds(1);
// Time for the entry hosts to learn that the runners leave.
constexpr Duration LeaveNotice = Duration::millis(2500);

// Owns the state of all runners of the process.
class RunnerFleet {
public:
  RunnerFleet(const RunnerFleetOptions &options, TaskContext &context)
      : Context(context), SilentFrom(context.now() + options.SilentAfter) {
    for (const StandinRunnerOptions &runner : options.Runners)
      Runners.try_emplace(runner.Announcement.Runner, runner);
  }

  void handle(const RunArrived &message) {
    const auto it = Runners.find(message.Call.Runner);
    if (it == Runners.end())
      return message.Reply->set(StandinReply{404, "{}"});
    if (Context.now() >= SilentFrom)
      return;
    const StandinRunner::Plan plan =
        it->second.arrive(message.Call, Context.now());
    if (!plan.IsStarted)
      return message.Reply->set(plan.Reply);
    Context.loop().callAt(
        plan.AnswerAt, [&runner = it->second, message, reply = plan.Reply] {
          runner.finish(message.Call.Request, message.Call.Attempt);
          message.Reply->set(reply);
        });
  }

  void handle(const InquiryArrived &message) {
    const auto it = Runners.find(message.Call.Runner);
    if (it == Runners.end())
      message.Reply->set(StandinReply{404, "{}"});
    else if (Context.now() < SilentFrom)
      message.Reply->set(it->second.inquire(message.Call));
  }

  void handle(const StatsAsked &message) {
    message.Reply->set(StandinReply{200, statsJson().dump()});
  }

  void handle(const AnnouncementsAsked &message) {
    std::vector<routing::RunnerAnnouncement> all;
    for (auto &[id, runner] : Runners) {
      if (message.IsLeaving)
        runner.leave(Context.now());
      if (Context.now() < SilentFrom)
        all.push_back(runner.announcement());
    }
    message.Reply->set(std::move(all));
  }

private:
  nlohmann::json statsJson() const {
    nlohmann::json runners = nlohmann::json::array();
    std::map<RequestId, uint32_t> onceStarts;
    uint64_t repeated = 0;
    for (const auto &[id, runner] : Runners) {
      const RunnerStats &stats = runner.stats();
      runners.push_back({{"runner", id.str()},
                         {"started", stats.Started},
                         {"finished", stats.Finished},
                         {"refused", stats.Refused},
                         {"slot_violations", stats.SlotViolations},
                         {"after_leaving", stats.AfterLeaving},
                         {"in_progress", runner.inProgress()},
                         {"peak_in_progress", stats.PeakInProgress}});
      for (const auto &[request, n] : runner.onceStarts())
        onceStarts[request] += n;
    }
    for (const auto &[request, n] : onceStarts)
      repeated += n > 1 ? 1 : 0;
    return {{"runners", runners}, {"repeated_once", repeated}};
  }

  TaskContext &Context;
  Instant SilentFrom;
  std::map<RunnerId, StandinRunner> Runners;
};

Status runFleet(const RunnerFleetOptions &options,
                const MailboxPtr<RunnerMessage> &mailbox,
                TaskContext &context) {
  RunnerFleet fleet(options, context);
  context.loop().watchMailbox<RunnerMessage>(
      mailbox, [&fleet](const RunnerMessage &message) {
        std::visit([&fleet](const auto &it) { fleet.handle(it); }, message);
      });
  return context.loop().run();
}

// Passes a message to the runners' task and waits for the reply.
template <typename Message>
StandinReply ask(const MailboxPtr<RunnerMessage> &mailbox, Message message) {
  message.Reply = runtime::makeReplySlot<StandinReply>();
  const auto slot = message.Reply;
  if (!isOk(mailbox->post(std::move(message))))
    return {503, "{}"};
  const Result<StandinReply> reply = slot->wait(MaxAnswerWait);
  return isOk(reply) ? valueOf(reply) : StandinReply{503, "{}", true};
}

StandinRoute runRoute(MailboxPtr<RunnerMessage> mailbox) {
  return [mailbox = std::move(mailbox)](const std::string &body) {
    Result<entry::RunCall> call = entry::decodeRunnerBody<entry::RunCall>(body);
    if (!isOk(call))
      return StandinReply{400, errorOf(call).text()};
    return ask(mailbox, RunArrived{valueOf(std::move(call)), nullptr});
  };
}

StandinRoute inquireRoute(MailboxPtr<RunnerMessage> mailbox) {
  return [mailbox = std::move(mailbox)](const std::string &body) {
    Result<entry::InquiryCall> call =
        entry::decodeRunnerBody<entry::InquiryCall>(body);
    if (!isOk(call))
      return StandinReply{400, errorOf(call).text()};
    return ask(mailbox, InquiryArrived{valueOf(std::move(call)), nullptr});
  };
}

// Announces all runners of the process, and their leave before it ends.
class Announcer {
public:
  Announcer(const RunnerFleetOptions &options,
            MailboxPtr<RunnerMessage> mailbox)
      : Options(options), Mailbox(std::move(mailbox)),
        Client(options.Entries, options.FleetToken, options.TlsAuthority, 0) {}

  Status run(TaskContext &context) {
    context.loop().callEvery(Options.AnnouncePeriod, [this] { announce(); });
    context.loop().callAt(context.now() + Options.LeaveAfter,
                          [this] { IsLeaving = true; });
    context.onStop([this, &context] {
      IsLeaving = true;
      announce();
      context.loop().callAt(context.now() + LeaveNotice,
                            [&context] { context.loop().stop(); });
    });
    announce();
    return context.loop().run();
  }

private:
  void announce() {
    AnnouncementsAsked message{
        IsLeaving,
        runtime::makeReplySlot<std::vector<routing::RunnerAnnouncement>>()};
    if (!isOk(Mailbox->post(message)))
      return;
    const auto all = message.Reply->wait(AnnounceTimeout);
    if (isOk(all))
      for (const routing::RunnerAnnouncement &announcement : valueOf(all))
        send(announcement);
  }

  void send(const routing::RunnerAnnouncement &announcement) {
    const Result<std::string> answer = Client.post(
        "/v1/runners/announce", http::toJson(announcement), AnnounceTimeout);
    if (isOk(answer) == IsAcknowledged)
      return;
    IsAcknowledged = isOk(answer);
    LOG(INFO) << "event=announce_"
              << (IsAcknowledged ? "heard" : errorOf(answer).text());
  }

  const RunnerFleetOptions &Options;
  MailboxPtr<RunnerMessage> Mailbox;
  EntryClient Client;
  bool IsLeaving = false;
  bool IsAcknowledged = false;
};

} // namespace

Result<RunnerService> runnerService(RunnerFleetOptions options) {
  const auto mailbox = runtime::makeMailbox<RunnerMessage>(MailboxCapacity);
  auto server = StandinServer::bind(
      options.Listen, options.Threads,
      {{std::string(entry::RunPath), runRoute(mailbox)},
       {std::string(entry::InquirePath), inquireRoute(mailbox)}},
      {{"/stats", [mailbox](const std::string &) {
          return ask(mailbox, StatsAsked{});
        }}});
  if (!isOk(server))
    return errorOf(server);
  const Address http = valueOf(server)->address();
  for (StandinRunnerOptions &runner : options.Runners)
    runner.Announcement.Http = http;
  const auto shared =
      std::make_shared<const RunnerFleetOptions>(std::move(options));
  return RunnerService{http,
                       mailbox,
                       {{"runners",
                         [shared, mailbox](TaskContext &context) {
                           return runFleet(*shared, mailbox, context);
                         }},
                        valueOf(server)->asChild(valueOf(server))}};
}

Result<runtime::Supervisor> runnerTree(RunnerFleetOptions options) {
  const auto shared = std::make_shared<const RunnerFleetOptions>(options);
  Result<RunnerService> service = runnerService(std::move(options));
  if (!isOk(service))
    return errorOf(service);
  // The announcer stops first and the runners last, so that requests in
  // progress finish.
  std::vector<runtime::ChildSpec> children =
      std::move(valueOf(service).Children);
  children.push_back({"announcer", [shared, mailbox = valueOf(service).Mailbox](
                                       TaskContext &context) {
                        return Announcer(*shared, mailbox).run(context);
                      }});
  return runtime::Supervisor::create({"standin-runner"}, std::move(children));
}

} // namespace jujube::testing
