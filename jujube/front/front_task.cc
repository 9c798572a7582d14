#include "jujube/front/front_task.h"
#include "jujube/logging/line.h"

#include <utility>

#include "jujube/wire/member_tree.h"

namespace jujube::front {
namespace {

using logging::Event;
using logging::Level;
using logging::Line;

// Period of the reports to the leader. A host notices within three reports that
// it cannot reach the leader.
constexpr Duration ReportPeriod = Duration::millis(150);
constexpr Duration ReportTimeout = Duration::millis(1000);
// The host reports itself as not ready when no leader has answered for this
// long, so that callers in a zone that is cut off are routed to another zone.
// The span covers two reports and their answers. The load balancer removes a
// host after two failed checks one second apart; a change of leader is shorter.
constexpr Duration MaxReadySilence = Duration::millis(400);
// Connections are closed after this long without a leader, so that callers
// reconnect to another host. The span is longer than a change of leader.
// Closing them before the load balancer can have noticed would gain nothing.
constexpr Duration MaxSilence = Duration::millis(900);

} // namespace

FrontTask::FrontTask(const FrontOptions &options,
                     const FrontMailboxes &mailboxes,
                     runtime::TaskContext &context, wire::PacketMailbox outbox)
    : Settings(options), IsConnected(mailboxes.IsConnected),
      IsReady(mailboxes.IsReady), MalformedCalls(mailboxes.MalformedCalls),
      Loop(context.loop()),
      Messages(Loop, Settings.Self, Settings.Listen, std::move(outbox)),
      Leader(Loop, Messages, Settings.Seeds()),
      Calls(Loop, mailboxes.Calls, mailboxes.Results) {
  Loop.watchMailbox<control::ClientRequest>(
      mailboxes.Clients,
      [this](control::ClientRequest request) { forward(std::move(request)); });
  Loop.watchMailbox<http::MetricsRequest>(
      mailboxes.MetricsRequests, [this](const http::MetricsRequest &question) {
        question.Answer->set(snapshot());
      });
  Loop.callEvery(ReportPeriod, [this] { reportToLeader(); });
  Loop.callAt(Loop.now(), [this] { reportToLeader(); });
}

void FrontTask::forward(control::ClientRequest request) {
  const jobs::CommandKind kind = jobs::kindOf(request.What);
  const jobs::JobId job = jobs::jobOf(request.What);
  noteForwarded(request.What, request.Timeout);
  Leader.call(std::move(request.What), request.Timeout,
              [this, kind, job, began = Loop.now(),
               slot = request.Answer](Result<jobs::Reply> reply) {
                noteAnswered(kind, job, reply, Loop.now() - began);
                slot->set(std::move(reply));
              });
}

void FrontTask::noteForwarded(const jobs::Command &what,
                              Duration timeout) const {
  const jobs::CommandKind kind = jobs::kindOf(what);
  if (kind != jobs::CommandKind::SubmitJob &&
      kind != jobs::CommandKind::CancelJob)
    return;
  Line(Event::CallForwarded)
      .with("job", jobs::jobOf(what))
      .with("command", nameIn(jobs::CommandKindNames, kind))
      .with("timeout_ms", timeout)
      .with("leader_heard_ms", Loop.now() - Leader.lastAnswer());
}

void FrontTask::noteAnswered(jobs::CommandKind kind, const jobs::JobId &job,
                             const Result<jobs::Reply> &reply, Duration after) {
  const std::string name(nameIn(jobs::CommandKindNames, kind));
  const absl::string_view outcome =
      isOk(reply) ? "ok" : nameIn(ErrorKindNames, errorOf(reply).Kind);
  TaskMetrics.add("calls", {"", name, std::string(outcome)});
  TaskMetrics.observe("call_ms", {"", name},
                      static_cast<double>(after.millis()));
  const bool isChange = kind == jobs::CommandKind::SubmitJob ||
                        kind == jobs::CommandKind::CancelJob;
  // Reads that succeed or report that the subject does not exist are not
  // logged.
  const bool isRoutine =
      !isChange && (isOk(reply) || errorOf(reply).Kind == ErrorKind::Gone ||
                    errorOf(reply).Kind == ErrorKind::NotFound);
  if (isRoutine)
    return;
  Line line(isOk(reply) ? Event::CallAnswered : Event::CallRefused);
  line.with("job", job)
      .with("command", name)
      .with("outcome", outcome)
      .with("after_ms", after);
  if (!isOk(reply))
    line.with("error", errorOf(reply).text())
        .with("leader_heard_ms", Loop.now() - Leader.lastAnswer());
}

metrics::Snapshot FrontTask::snapshot() const {
  metrics::Snapshot all = TaskMetrics.snapshot();
  all.Gauges.push_back({"is_connected", {}, IsConnected->load() ? 1.0 : 0.0});
  all.Gauges.push_back(
      {"leader_heard_ms",
       {},
       static_cast<double>((Loop.now() - Leader.lastAnswer()).millis())});
  all.Counters.push_back({"calls_unreadable", {}, MalformedCalls->load()});
  return all;
}

void FrontTask::reportToLeader() {
  const Instant last = Leader.lastAnswer();
  if (last == Instant() || Loop.now() - last > MaxReadySilence)
    IsReady->store(false);
  const bool isConnected = last != Instant() && Loop.now() - last <= MaxSilence;
  if (!isConnected) {
    if (IsConnected->exchange(false))
      Line(Event::LeaderLost, Level::Warning)
          .with("silent_ms", Loop.now() - last);
    Leader.setMembers(Settings.Seeds());
  }
  if (std::exchange(IsReportPending, true))
    return;
  Leader.callAnyMember(
      jobs::RegisterHelper{Settings.Self, Settings.Listen}, ReportTimeout,
      [this](const Result<jobs::Reply> &reply) { noteMembers(reply); });
}

void FrontTask::noteMembers(const Result<jobs::Reply> &reply) {
  IsReportPending = false;
  if (!isOk(reply))
    return;
  const auto *members = std::get_if<jobs::Members>(&valueOf(reply));
  if (members == nullptr)
    return;
  IsReady->store(true);
  if (!IsConnected->exchange(true))
    Line(Event::LeaderFound).with("members", members->Addresses.size());
  Leader.setMembers(members->Addresses);
}

void FrontTask::receive(const wire::TransportEvent &event) {
  const std::optional<wire::Envelope> request = Messages.receive(event);
  if (!request)
    return;
  if (const auto *ask = std::get_if<wire::QueryApproval>(&request->What))
    askApproval(*request, *ask);
  else
    Messages.reply(*request,
                   wire::Refusal{{ErrorKind::InvalidArgument,
                                  "entry hosts do not handle this message",
                                  "check which process listens on the address"},
                                 {}});
}

void FrontTask::askApproval(const wire::Envelope &request,
                            const wire::QueryApproval &ask) {
  http::OutboundCall call = Settings.Approvals.Encode(ask.Query);
  call.Timeout = ask.Timeout;
  Calls.call(std::move(call), [this, request, began = Loop.now()](
                                  const http::OutboundResult &result) {
    auto answer = Settings.Approvals.Decode(result);
    TaskMetrics.observe("approval_ms",
                        {"", isOk(answer) ? "answered" : "refused"},
                        static_cast<double>((Loop.now() - began).millis()));
    if (isOk(answer))
      Messages.reply(request, wire::ApprovalReply{valueOf(std::move(answer))});
    else
      Messages.reply(request, wire::Refusal{errorOf(answer), {}});
  });
}

namespace {

runtime::TaskBody drainGateBody(const FrontOptions &options,
                                const FrontMailboxes &mailboxes) {
  return [options, mailboxes](runtime::TaskContext &context) -> Status {
    runtime::PollLoop &loop = context.loop();
    context.onStop([&] {
      mailboxes.IsLeaving->store(true);
      loop.callAt(loop.now() + options.DrainDelay, [&loop] { loop.stop(); });
    });
    return loop.run();
  };
}

} // namespace

Result<runtime::Supervisor>
makeFrontTree(const FrontOptions &options, const FrontMailboxes &mailboxes,
              std::vector<runtime::ChildSpec> servers) {
  const auto inbox =
      runtime::makeMailbox<wire::TransportEvent>(wire::MemberMailboxCapacity);
  const auto outbox =
      runtime::makeMailbox<wire::Packet>(wire::MemberMailboxCapacity);
  std::vector<runtime::ChildSpec> children;
  children.push_back({"front",
                      [options, mailboxes, inbox,
                       outbox](runtime::TaskContext &context) -> Status {
                        FrontTask front(options, mailboxes, context, outbox);
                        context.loop().watchMailbox<wire::TransportEvent>(
                            inbox, [&front](const wire::TransportEvent &event) {
                              front.receive(event);
                            });
                        return context.loop().run();
                      }});
  children.push_back(
      wire::transportTask({options.Listen, options.FleetToken}, outbox, inbox));
  children.push_back(
      http::httpCallerTask({}, mailboxes.Calls, mailboxes.Results));
  for (runtime::ChildSpec &server : servers)
    children.push_back(std::move(server));
  children.push_back({"gate", drainGateBody(options, mailboxes)});
  return runtime::Supervisor::create(
      {"front", runtime::RestartPolicy::OneForOne, {}}, std::move(children));
}

} // namespace jujube::front
