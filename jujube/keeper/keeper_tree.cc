#include "jujube/keeper/keeper_tree.h"

#include <string>
#include <utility>

namespace jujube::keeper {
namespace {

// Messages that wait for the fleet task, and packets that wait to be sent.
constexpr std::size_t InboxCapacity = 16384;
constexpr std::size_t OutboxCapacity = 16384;

} // namespace

Result<runtime::Supervisor> keeperTree(const KeeperOptions &options) {
  const auto inbox = runtime::makeMailbox<std::string>(InboxCapacity);
  const auto outbox = runtime::makeMailbox<wire::Packet>(OutboxCapacity);
  runtime::ChildSpec fleet{
      "fleet_log",
      [options, inbox, outbox](runtime::TaskContext &context) -> Status {
        auto task = FleetTask::create(options, context, outbox);
        if (!isOk(task))
          return errorOf(task);
        FleetTask &fleet = *valueOf(task);
        context.onStop([&] { fleet.stop(); });
        context.loop().watchMailbox<std::string>(
            inbox, [&](const std::string &payload) { fleet.receive(payload); });
        const Status status = context.loop().run();
        return isOk(fleet.outcome()) ? status : fleet.outcome();
      }};
  runtime::ChildSpec transport =
      wire::transportTask({options.Listen, options.FleetToken}, outbox,
                          [inbox](std::string payload) {
                            // A full inbox drops; senders have timeouts.
                            (void)inbox->post(std::move(payload));
                          });
  return runtime::Supervisor::create(
      {"keeper", runtime::RestartPolicy::OneForOne, {}},
      {std::move(fleet), std::move(transport)});
}

} // namespace jujube::keeper
