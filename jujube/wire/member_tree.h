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

// Messages that wait for the member, and packets that wait to be sent.
inline constexpr std::size_t MemberMailboxCapacity = 16384;

// The body of the task that owns a member. Member has a factory create(options,
// context, outbox), and receive(event), stop() and outcome().
template <typename Member, typename Options>
runtime::TaskBody memberBody(const Options &options, TransportInbox inbox,
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

// Returns the tree `name`: the member's task, then the transport that feeds it.
// Options has Listen and FleetToken.
template <typename Member, typename Options>
Result<runtime::Supervisor> memberTree(const std::string &name,
                                       const Options &options) {
  const auto inbox =
      runtime::makeMailbox<TransportEvent>(MemberMailboxCapacity);
  const auto outbox = runtime::makeMailbox<Packet>(MemberMailboxCapacity);
  runtime::ChildSpec member{name + "_member",
                            memberBody<Member>(options, inbox, outbox)};
  runtime::ChildSpec transport =
      transportTask({options.Listen, options.FleetToken}, outbox, inbox);
  return runtime::Supervisor::create(
      {name, runtime::RestartPolicy::OneForOne, {}},
      {std::move(member), std::move(transport)});
}

} // namespace jujube::wire

#endif // JUJUBE_WIRE_MEMBER_TREE_H_
