// The supervisor tree of a process that is a member of a replicated group.
#ifndef JUJUBE_WIRE_MEMBER_TREE_H_
#define JUJUBE_WIRE_MEMBER_TREE_H_

#include <cstddef>
#include <string>
#include <utility>

#include "jujube/base/result.h"
#include "jujube/runtime/mailbox.h"
#include "jujube/runtime/supervisor.h"
#include "jujube/runtime/task.h"
#include "jujube/wire/transport.h"

namespace jujube::wire {

// Capacity of a member's inbox, in transport events, and of its outbox, in
// packets.
inline constexpr std::size_t MemberMailboxCapacity = 16384;

// Returns the body of the task that owns a member. `Member` must have a factory
// create(options, context, outbox) and the methods receive(event), stop() and
// outcome(); the task fails with outcome() if that is an error.
template <typename Member, typename Options>
runtime::TaskBody makeMemberTask(const Options &options, TransportInbox inbox,
                                 PacketMailbox outbox) {
  return [options, inbox = std::move(inbox),
          outbox = std::move(outbox)](runtime::TaskContext &context) -> Status {
    auto created = Member::create(options, context, outbox);
    if (!isOk(created))
      return errorOf(created);
    Member &member = *valueOf(created);
    context.onStop([&member] { member.stop(); });
    context.loop().template watchMailbox<TransportEvent>(
        inbox,
        [&member](const TransportEvent &event) { member.receive(event); });
    const Status status = context.loop().run();
    return isOk(member.outcome()) ? status : member.outcome();
  };
}

// Returns the supervisor `name` of the member's task and of its transport, in
// this order. `Options` must have the members Listen and FleetToken.
template <typename Member, typename Options>
Result<runtime::Supervisor> makeMemberSupervisor(const std::string &name,
                                                 const Options &options) {
  const auto inbox =
      runtime::makeMailbox<TransportEvent>(MemberMailboxCapacity);
  const auto outbox = runtime::makeMailbox<Packet>(MemberMailboxCapacity);
  runtime::ChildSpec member{name + "_member",
                            makeMemberTask<Member>(options, inbox, outbox)};
  runtime::ChildSpec transport =
      transportTask({options.Listen, options.FleetToken}, outbox, inbox);
  return runtime::Supervisor::create(
      {name, runtime::RestartPolicy::OneForOne, {}},
      {std::move(member), std::move(transport)});
}

} // namespace jujube::wire

#endif // JUJUBE_WIRE_MEMBER_TREE_H_
