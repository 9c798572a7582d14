#include "jujube/front/front_task.h"

#include <utility>

#include "glog/logging.h"
#include "jujube/wire/member_tree.h"

namespace jujube::front {
namespace {

// Between reports to the leader. Source: a host notices within three of them
// that the leader is out of reach.
constexpr Duration ReportPeriod = Duration::millis(150);
constexpr Duration ReportTimeout = Duration::millis(1000);
// The host reports itself unready when no leader has answered for this span, so
// that callers in a zone that is cut off are taken to another one. Source:
// longer than a change of leader.
constexpr Duration SilenceBound = Duration::millis(900);

} // namespace

FrontTask::FrontTask(const FrontOptions &options,
                     const FrontMailboxes &mailboxes,
                     runtime::TaskContext &context, wire::PacketMailbox outbox)
    : Settings(options), IsConnected(mailboxes.IsConnected),
      Loop(context.loop()),
      Messages(Loop, Settings.Self, Settings.Listen, std::move(outbox)),
      Leader(Loop, Messages, Settings.Seeds()),
      Calls(Loop, mailboxes.Calls, mailboxes.Results) {
  Loop.watchMailbox<control::ClientRequest>(
      mailboxes.Clients, [this](control::ClientRequest request) {
        const auto slot = request.Answer;
        Leader.call(
            std::move(request.What), request.Timeout,
            [slot](Result<jobs::Reply> reply) { slot->set(std::move(reply)); });
      });
  Loop.callEvery(ReportPeriod, [this] { offerHelp(); });
  Loop.callAt(Loop.now(), [this] { offerHelp(); });
}

void FrontTask::offerHelp() {
  const Instant last = Leader.lastAnswer();
  const bool isConnected =
      last != Instant() && Loop.now() - last <= SilenceBound;
  if (!isConnected) {
    if (IsConnected->exchange(false))
      LOG(INFO) << "event=leader_lost";
    Leader.setMembers(Settings.Seeds());
  }
  if (std::exchange(IsReporting, true))
    return;
  Leader.seek(jobs::OfferHelp{Settings.Self, Settings.Listen}, ReportTimeout,
              [this](const Result<jobs::Reply> &reply) { noteMembers(reply); });
}

void FrontTask::noteMembers(const Result<jobs::Reply> &reply) {
  IsReporting = false;
  if (!isOk(reply))
    return;
  if (!IsConnected->exchange(true))
    LOG(INFO) << "event=leader_found";
  if (const auto *members = std::get_if<jobs::Members>(&valueOf(reply)))
    Leader.setMembers(members->Addresses);
}

void FrontTask::receive(const wire::TransportEvent &event) {
  const std::optional<wire::Envelope> request = Messages.receive(event);
  if (!request)
    return;
  if (const auto *ask = std::get_if<wire::AskApproval>(&request->What))
    askApproval(*request, *ask);
  else
    Messages.reply(*request,
                   wire::Refusal{{ErrorKind::InvalidArgument,
                                  "entry hosts don't take this message",
                                  "check which process listens on the address"},
                                 {}});
}

void FrontTask::askApproval(const wire::Envelope &request,
                            const wire::AskApproval &ask) {
  http::OutboundCall call = Settings.Approvals.Encode(ask.Query);
  call.Timeout = ask.Timeout;
  Calls.call(std::move(call), [this,
                               request](const http::OutboundResult &result) {
    auto answer = Settings.Approvals.Decode(result);
    if (isOk(answer))
      Messages.reply(request, wire::ApprovalNews{valueOf(std::move(answer))});
    else
      Messages.reply(request, wire::Refusal{errorOf(answer), {}});
  });
}

namespace {

runtime::TaskBody gateBody(const FrontOptions &options,
                           const FrontMailboxes &mailboxes) {
  return [options, mailboxes](runtime::TaskContext &context) -> Status {
    runtime::PollLoop &loop = context.loop();
    context.onStop([&] {
      mailboxes.IsLeaving->store(true);
      loop.callAt(loop.now() + options.LeaveDelay, [&loop] { loop.stop(); });
    });
    return loop.run();
  };
}

} // namespace

Result<runtime::Supervisor> frontTree(const FrontOptions &options,
                                      const FrontMailboxes &mailboxes,
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
  children.push_back(http::callerTask({}, mailboxes.Calls, mailboxes.Results));
  for (runtime::ChildSpec &server : servers)
    children.push_back(std::move(server));
  children.push_back({"gate", gateBody(options, mailboxes)});
  return runtime::Supervisor::create(
      {"front", runtime::RestartPolicy::OneForOne, {}}, std::move(children));
}

} // namespace jujube::front
