#include "jujube/entry/entry_tree.h"

#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jujube/entry/entry_task.h"
#include "jujube/entry/live_desk.h"
#include "jujube/runtime/reply_slot.h"

namespace jujube::entry {
namespace {

constexpr std::size_t InboxCapacity = 16384;
constexpr std::size_t OutboxCapacity = 16384;
constexpr std::size_t CommandCapacity = 4096;
// Longest time that a command takes beyond what its caller asked to wait.
constexpr Duration CommandMargin = Duration::seconds(20);
// Longest time that an orderly end waits for requests in progress.
constexpr Duration DrainTimeout = Duration::seconds(15);
constexpr Duration DrainCheckPeriod = Duration::millis(50);

// Asks the entry task to drain; told once that nothing is in progress.
struct DrainRequest {
  std::shared_ptr<runtime::SignalEvent> Drained;
};
using EntryInput = std::variant<PendingCommand, DrainRequest>;

// What the children of the tree share: mailboxes, and a flag that only the gate
// sets.
struct Plumbing {
  wire::TransportInbox Inbox =
      runtime::makeMailbox<wire::TransportEvent>(InboxCapacity);
  wire::PacketMailbox Outbox =
      runtime::makeMailbox<wire::Packet>(OutboxCapacity);
  runtime::MailboxPtr<EntryInput> Commands =
      runtime::makeMailbox<EntryInput>(CommandCapacity);
  std::shared_ptr<std::atomic<bool>> IsLeaving =
      std::make_shared<std::atomic<bool>>(false);
};

Duration callerWait(const api::Command &command) {
  if (const auto *ask = std::get_if<api::GetFate>(&command))
    return ask->Wait;
  if (const auto *call = std::get_if<api::CallLive>(&command))
    return call->Timeout;
  return Duration();
}

// Runs on the HTTP library's threads.
api::ExecuteHook executeHook(const Plumbing &plumbing) {
  return [commands = plumbing.Commands](
             const api::Command &command) -> Result<api::Reply> {
    auto slot = runtime::makeReplySlot<Result<api::Reply>>();
    const Duration patience = callerWait(command) + CommandMargin;
    PendingCommand pending{command, [slot](Result<api::Reply> result) {
                             slot->set(std::move(result));
                           }};
    if (Status status = commands->post(EntryInput(std::move(pending)));
        !isOk(status))
      return errorOf(status);
    auto result = slot->wait(patience);
    if (!isOk(result)) {
      const auto *call = std::get_if<api::CallLive>(&command);
      return call ? outcomeUnknown(call->Request) : errorOf(result);
    }
    return valueOf(std::move(result));
  };
}

void drainThenTell(EntryTask &task, runtime::PollLoop &loop,
                   const std::shared_ptr<runtime::SignalEvent> &drained) {
  task.beginDrain();
  loop.callEvery(DrainCheckPeriod, [&task, drained] {
    if (task.isDrained())
      drained->raise();
  });
}

runtime::TaskBody entryBody(const EntryOptions &options,
                            const Plumbing &plumbing,
                            const RunnerLinkPool &links) {
  return [options, plumbing, links](runtime::TaskContext &context) -> Status {
    auto task = EntryTask::create(options, context, plumbing.Outbox, links);
    if (!isOk(task))
      return errorOf(task);
    EntryTask &entry = *valueOf(task);
    runtime::PollLoop &loop = context.loop();
    loop.watchMailbox<wire::TransportEvent>(
        plumbing.Inbox,
        [&](const wire::TransportEvent &event) { entry.receive(event); });
    loop.watchMailbox<EntryInput>(plumbing.Commands, [&](EntryInput input) {
      if (auto *command = std::get_if<PendingCommand>(&input))
        entry.execute(std::move(*command));
      else
        drainThenTell(entry, loop, std::get<DrainRequest>(input).Drained);
    });
    return loop.run();
  };
}

// Stopped first: fails the balancer's health check, waits until the balancer
// has noticed and nothing is in progress, and only then lets the rest stop.
runtime::TaskBody gateBody(const EntryOptions &options,
                           const Plumbing &plumbing) {
  return [options, plumbing](runtime::TaskContext &context) -> Status {
    runtime::PollLoop &loop = context.loop();
    const auto drained = std::make_shared<runtime::SignalEvent>();
    context.onStop([&] {
      plumbing.IsLeaving->store(true);
      loop.callAt(loop.now() + options.LeaveDelay, [&] {
        (void)plumbing.Commands->post(EntryInput(DrainRequest{drained}));
        loop.watch(drained->fd(), POLLIN, [&](short) { loop.stop(); });
      });
      loop.callAt(loop.now() + options.LeaveDelay + DrainTimeout,
                  [&] { loop.stop(); });
    });
    return loop.run();
  };
}

} // namespace

Result<runtime::Supervisor> entryTree(const EntryOptions &options) {
  const Plumbing plumbing;
  auto links = RunnerLinkPool::create(options.Links);
  if (!isOk(links))
    return errorOf(links);
  http::ServerOptions serving;
  serving.Listen = options.Http;
  serving.Tls = options.Tls;
  auto server = http::serverTask(
      serving, executeHook(plumbing),
      [isLeaving = plumbing.IsLeaving] { return !isLeaving->load(); });
  if (!isOk(server))
    return errorOf(server);
  auto linkTree = runtime::Supervisor::create(
      {"runner_links", runtime::RestartPolicy::OneForOne, {}},
      valueOf(links).children());
  if (!isOk(linkTree))
    return errorOf(linkTree);
  return runtime::Supervisor::create(
      {"entry", runtime::RestartPolicy::OneForOne, {}},
      {{"entry_host", entryBody(options, plumbing, valueOf(links))},
       valueOf(linkTree).asChild(),
       wire::transportTask({options.Listen, options.FleetToken},
                           plumbing.Outbox, plumbing.Inbox),
       valueOf(std::move(server)),
       {"gate", gateBody(options, plumbing)}});
}

} // namespace jujube::entry
