// The task of an entry host that owns the copy of the catalogue and executes
// the commands of the front ends.
#ifndef JUJUBE_ENTRY_ENTRY_TASK_H_
#define JUJUBE_ENTRY_ENTRY_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jujube/api/commands.h"
#include "jujube/base/result.h"
#include "jujube/entry/entry_options.h"
#include "jujube/entry/live_request_handler.h"
#include "jujube/entry/zone_directory.h"
#include "jujube/metrics/metrics.h"
#include "jujube/runtime/task.h"
#include "jujube/wire/catalogue_poller.h"
#include "jujube/wire/leader_client.h"
#include "jujube/wire/messenger.h"

namespace jujube::entry {

// Receives the reply to a command; called once.
using CommandReplyHook = std::function<void(Result<api::Reply>)>;

// A command from a front end.
struct PendingCommand {
  api::Command What;
  CommandReplyHook Done;
};

// State of the entry task. Created, used and destroyed on the thread of that
// task.
class EntryTask {
public:
  static Result<std::unique_ptr<EntryTask>>
  create(const EntryOptions &options, runtime::TaskContext &context,
         wire::PacketMailbox outbox, RunnerLinkPool links);

  // Handles an event from the transport.
  void receive(const wire::TransportEvent &event);
  // Executes a command of a front end.
  void execute(PendingCommand command);
  // Hands queued live requests over to another entry host and reports this host
  // as leaving.
  void beginDrain();
  // True once no live request is in progress.
  bool isDrained() const { return Live->isIdle(); }

private:
  EntryTask(const EntryOptions &options, runtime::TaskContext &context,
            wire::PacketMailbox outbox);

  void run(const api::Submit &command, const CommandReplyHook &done);
  void run(const api::Cancel &command, const CommandReplyHook &done);
  void run(const api::GetFate &command, const CommandReplyHook &done);
  void run(const api::CallLive &command, const CommandReplyHook &done);
  void run(const api::EditCatalogue &command, const CommandReplyHook &done);
  void run(const api::GetCatalogue &command, const CommandReplyHook &done);
  void run(const api::GetHistory &command, const CommandReplyHook &done);
  void run(const api::GetStatus &command, const CommandReplyHook &done);
  void run(const api::GetMetrics &command, const CommandReplyHook &done);
  void run(const api::SyncWorker &command, const CommandReplyHook &done);
  void run(const api::AnnounceRunner &command, const CommandReplyHook &done);

  // Returns the client of the request's home zone; InvalidArgument if the id
  // names no known zone.
  Result<wire::LeaderClient *> homeZoneClient(const RequestId &id);
  // Returns the team of a key. Without a key the team id is empty and gives
  // access only to requests of open entries.
  Result<TeamId> teamOf(const std::string &presentedKey) const;
  void pollFate(const api::GetFate &command, const TeamId &team,
                Instant deadline, const CommandReplyHook &done);
  void handOver(const api::CallLive &call, const LiveAnswerHook &done);
  void handleForwardedLive(const wire::Envelope &request,
                           const wire::ForwardLive &pass);
  // Returns a hook that converts a wire reply of type Reply to an api::Reply
  // and passes it to `done`.
  template <typename Reply, typename Convert>
  wire::ReplyHook forward(const CommandReplyHook &done, Convert convert);
  void addKeeperMetrics(metrics::Snapshot own, const CommandReplyHook &done);
  api::FleetStatus localStatus() const;
  void countRefusal(const Result<api::Reply> &result);

  EntryOptions Settings;
  runtime::PollLoop &Loop;
  wire::Messenger Messages;
  wire::LeaderClient Keepers;
  wire::CataloguePoller Catalogue;
  ZoneDirectory Zones;
  metrics::Metrics Metrics;
  std::unique_ptr<LiveRequestHandler> Live;
  bool IsLeaving = false;
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ENTRY_TASK_H_
