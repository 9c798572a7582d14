#include "jujube/zone/zone_tree.h"

#include <string>
#include <utility>

namespace jujube::zone {
namespace {

// Messages that wait for the zone task, and packets that wait to be sent.
constexpr std::size_t InboxCapacity = 16384;
constexpr std::size_t OutboxCapacity = 16384;

} // namespace

Result<runtime::Supervisor> zoneTree(const ZoneOptions &options) {
  const auto inbox = runtime::makeMailbox<std::string>(InboxCapacity);
  const auto outbox = runtime::makeMailbox<wire::Packet>(OutboxCapacity);
  runtime::ChildSpec scheduler{
      "zone_log",
      [options, inbox, outbox](runtime::TaskContext &context) -> Status {
        auto task = ZoneTask::create(options, context, outbox);
        if (!isOk(task))
          return errorOf(task);
        ZoneTask &zone = *valueOf(task);
        context.onStop([&] { zone.stop(); });
        context.loop().watchMailbox<std::string>(
            inbox, [&](const std::string &payload) { zone.receive(payload); });
        const Status status = context.loop().run();
        return isOk(zone.outcome()) ? status : zone.outcome();
      }};
  runtime::ChildSpec transport =
      wire::transportTask({options.Listen, options.FleetToken}, outbox,
                          [inbox](std::string payload) {
                            // A full inbox drops; senders have timeouts.
                            (void)inbox->post(std::move(payload));
                          });
  return runtime::Supervisor::create(
      {"zone", runtime::RestartPolicy::OneForOne, {}},
      {std::move(scheduler), std::move(transport)});
}

} // namespace jujube::zone
