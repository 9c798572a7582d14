#include "jujube/control/control_task.h"
#include "jujube/wire/member_tree.h"

namespace jujube::control {
namespace {

// Time between the transfer of leadership and the end of the process: two round
// trips and a sync, with room for requests that are in progress.
constexpr Duration DrainDelay = Duration::millis(300);

// The most messages from other processes that one turn handles. Commands among
// them are only queued.
constexpr std::size_t MaxEventsPerTurn = 1024;

runtime::TaskBody drainGateBody(const ControlMailboxes &mailboxes) {
  return
      [leaving = mailboxes.Leaving](runtime::TaskContext &context) -> Status {
        runtime::PollLoop &loop = context.loop();
        context.onStop([&] {
          leaving->raise();
          loop.callAt(loop.now() + DrainDelay, [&loop] { loop.stop(); });
        });
        return loop.run();
      };
}

// A full or failing disk may recover. Until then the member leads nothing and
// acknowledges nothing, since its task does not run.
bool isStorageError(const Error &error) {
  return error.Kind == ErrorKind::StorageFull ||
         error.Kind == ErrorKind::StorageFailed;
}

runtime::TaskBody makeMemberTask(const ControlOptions &options,
                                 const ControlMailboxes &mailboxes,
                                 wire::TransportInbox inbox,
                                 wire::PacketMailbox outbox) {
  return [options, mailboxes, inbox = std::move(inbox),
          outbox = std::move(outbox)](runtime::TaskContext &context) -> Status {
    auto created = ControlTask::create(options, mailboxes, context, outbox);
    if (!isOk(created))
      return errorOf(created);
    ControlTask &member = *valueOf(created);
    context.onStop([&member] { member.stop(); });
    context.loop().watchMailbox<wire::TransportEvent>(
        inbox,
        [&member](const wire::TransportEvent &event) { member.receive(event); },
        MaxEventsPerTurn);
    const Status status = context.loop().run();
    return isOk(member.outcome()) ? status : member.outcome();
  };
}

} // namespace

Result<runtime::Supervisor>
makeControlTree(const ControlOptions &options,
                const ControlMailboxes &mailboxes,
                std::vector<runtime::ChildSpec> servers) {
  const auto inbox =
      runtime::makeMailbox<wire::TransportEvent>(wire::MemberMailboxCapacity);
  const auto outbox =
      runtime::makeMailbox<wire::Packet>(wire::MemberMailboxCapacity);
  std::vector<runtime::ChildSpec> children;
  children.push_back({"control_member",
                      makeMemberTask(options, mailboxes, inbox, outbox),
                      runtime::RestartBackoff{.CanPass = isStorageError}});
  children.push_back(
      wire::transportTask({options.Listen, options.FleetToken}, outbox, inbox));
  children.push_back(http::httpCallerTask(options.Calling, mailboxes.Calls,
                                          mailboxes.Results));
  for (runtime::ChildSpec &server : servers)
    children.push_back(std::move(server));
  children.push_back({"gate", drainGateBody(mailboxes)});
  return runtime::Supervisor::create(
      {"control", runtime::RestartPolicy::OneForOne, {}}, std::move(children));
}

} // namespace jujube::control
