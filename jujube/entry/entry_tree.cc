#include "jujube/entry/entry_tree.h"

#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jujube/entry/entry_task.h"
#include "jujube/entry/live_request_handler.h"
#include "jujube/runtime/reply_slot.h"

namespace jujube::entry {
namespace {

constexpr std::size_t InboxCapacity = 16384;
constexpr std::size_t OutboxCapacity = 16384;
constexpr std::size_t CommandCapacity = 4096;
// Maximum duration of a command beyond the wait time that its caller requested.
constexpr Duration CommandMargin = Duration::seconds(20);
// Maximum time that an orderly stop waits for requests in progress.
constexpr Duration DrainTimeout = Duration::seconds(15);
constexpr Duration DrainCheckPeriod = Duration::millis(50);

// Asks the entry task to drain and to raise `Drained` once no live request is
// in progress.
struct DrainRequest {
  std::shared_ptr<runtime::SignalEvent> Drained;
};
using EntryInput = std::variant<PendingCommand, DrainRequest>;

// State shared by the children of the tree: mailboxes, and a flag that only the
// gate task sets.
struct SharedChannels {
  wire::TransportInbox Inbox =
      runtime::makeMailbox<wire::TransportEvent>(InboxCapacity);
  wire::PacketMailbox Outbox =
      runtime::makeMailbox<wire::Packet>(OutboxCapacity);
  runtime::MailboxPtr<EntryInput> Commands =
      runtime::makeMailbox<EntryInput>(CommandCapacity);
  std::shared_ptr<std::atomic<bool>> IsLeaving =
      std::make_shared<std::atomic<bool>>(false);
};

Duration requestedWait(const api::Command &command) {
  if (const auto *ask = std::get_if<api::GetFate>(&command))
    return ask->Wait;
  if (const auto *call = std::get_if<api::CallLive>(&command))
    return call->Timeout;
  return Duration();
}

// Returns a hook that posts a command to the entry task and blocks until its
// reply arrives. The hook runs on the threads of the HTTP library.
api::ExecuteHook executeHook(const SharedChannels &channels) {
  return [commands = channels.Commands](
             const api::Command &command) -> Result<api::Reply> {
    auto slot = runtime::makeReplySlot<Result<api::Reply>>();
    const Duration timeout = requestedWait(command) + CommandMargin;
    PendingCommand pending{command, [slot](Result<api::Reply> result) {
                             slot->set(std::move(result));
                           }};
    if (Status status = commands->post(EntryInput(std::move(pending)));
        !isOk(status))
      return errorOf(status);
    auto result = slot->wait(timeout);
    if (!isOk(result)) {
      const auto *call = std::get_if<api::CallLive>(&command);
      return call ? outcomeUnknownError(call->Request) : errorOf(result);
    }
    return valueOf(std::move(result));
  };
}

void drainAndSignal(EntryTask &task, runtime::PollLoop &loop,
                    const std::shared_ptr<runtime::SignalEvent> &drained) {
  task.beginDrain();
  loop.callEvery(DrainCheckPeriod, [&task, drained] {
    if (task.isDrained())
      drained->raise();
  });
}

runtime::TaskBody entryBody(const EntryOptions &options,
                            const SharedChannels &channels,
                            const RunnerLinkPool &links) {
  return [options, channels, links](runtime::TaskContext &context) -> Status {
    auto task = EntryTask::create(options, context, channels.Outbox, links);
    if (!isOk(task))
      return errorOf(task);
    EntryTask &entry = *valueOf(task);
    runtime::PollLoop &loop = context.loop();
    loop.watchMailbox<wire::TransportEvent>(
        channels.Inbox,
        [&](const wire::TransportEvent &event) { entry.receive(event); });
    loop.watchMailbox<EntryInput>(channels.Commands, [&](EntryInput input) {
      if (auto *command = std::get_if<PendingCommand>(&input))
        entry.execute(std::move(*command));
      else
        drainAndSignal(entry, loop, std::get<DrainRequest>(input).Drained);
    });
    return loop.run();
  };
}

// The gate task, which the supervisor stops before its other children. When
// stopped it fails the load balancer's health check, waits for DrainDelay so
// that the balancer notices, and then until the entry task has drained or
// DrainTimeout has passed.
runtime::TaskBody drainGateBody(const EntryOptions &options,
                                const SharedChannels &channels) {
  return [options, channels](runtime::TaskContext &context) -> Status {
    runtime::PollLoop &loop = context.loop();
    const auto drained = std::make_shared<runtime::SignalEvent>();
    context.onStop([&] {
      channels.IsLeaving->store(true);
      loop.callAt(loop.now() + options.DrainDelay, [&] {
        (void)channels.Commands->post(EntryInput(DrainRequest{drained}));
        loop.watch(drained->fd(), POLLIN, [&](short) { loop.stop(); });
      });
      loop.callAt(loop.now() + options.DrainDelay + DrainTimeout,
                  [&] { loop.stop(); });
    });
    return loop.run();
  };
}

} // namespace

Result<runtime::Supervisor> entryTree(const EntryOptions &options) {
  const SharedChannels channels;
  auto links = RunnerLinkPool::create(options.Links);
  if (!isOk(links))
    return errorOf(links);
  http::ServerOptions serving;
  serving.Listen = options.Http;
  serving.Tls = options.Tls;
  auto server = http::serverTask(
      serving, executeHook(channels),
      [isLeaving = channels.IsLeaving] { return !isLeaving->load(); });
  if (!isOk(server))
    return errorOf(server);
  auto linkTree = runtime::Supervisor::create(
      {"runner_links", runtime::RestartPolicy::OneForOne, {}},
      valueOf(links).children());
  if (!isOk(linkTree))
    return errorOf(linkTree);
  return runtime::Supervisor::create(
      {"entry", runtime::RestartPolicy::OneForOne, {}},
      {{"entry_host", entryBody(options, channels, valueOf(links))},
       valueOf(linkTree).asChild(),
       wire::transportTask({options.Listen, options.FleetToken},
                           channels.Outbox, channels.Inbox),
       valueOf(std::move(server)),
       {"gate", drainGateBody(options, channels)}});
}

} // namespace jujube::entry
