// The entry host's task that owns its copy of the catalogue and the commands
// in progress.
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
#include "jujube/entry/live_desk.h"
#include "jujube/entry/zone_directory.h"
#include "jujube/metrics/metrics.h"
#include "jujube/runtime/task.h"
#include "jujube/wire/catalogue_poller.h"
#include "jujube/wire/leader_client.h"
#include "jujube/wire/messenger.h"

namespace jujube::entry {

// Told the reply of a command, once.
using DoneHook = std::function<void(Result<api::Reply>)>;

// A command from a front end.
struct PendingCommand {
  api::Command What;
  DoneHook Done;
};

// State of the entry task; lives on its thread.
class EntryTask {
public:
  static Result<std::unique_ptr<EntryTask>>
  create(const EntryOptions &options, runtime::TaskContext &context,
         wire::PacketMailbox outbox, RunnerLinkPool links);

  // Handles what the transport tells.
  void receive(const wire::TransportEvent &event);
  // Carries out a command of a front end.
  void execute(PendingCommand command);
  // Hands over what is queued; status pages say that the host is leaving.
  void beginDrain();
  // True once no live request is in progress.
  bool isDrained() const { return Live->isIdle(); }

private:
  EntryTask(const EntryOptions &options, runtime::TaskContext &context,
            wire::PacketMailbox outbox);

  void run(const api::Submit &command, const DoneHook &done);
  void run(const api::Cancel &command, const DoneHook &done);
  void run(const api::GetFate &command, const DoneHook &done);
  void run(const api::CallLive &command, const DoneHook &done);
  void run(const api::EditCatalogue &command, const DoneHook &done);
  void run(const api::GetCatalogue &command, const DoneHook &done);
  void run(const api::GetHistory &command, const DoneHook &done);
  void run(const api::GetStatus &command, const DoneHook &done);
  void run(const api::GetMetrics &command, const DoneHook &done);
  void run(const api::SyncWorker &command, const DoneHook &done);
  void run(const api::AnnounceRunner &command, const DoneHook &done);

  // The client of the request's home zone, or the error to answer with.
  Result<wire::LeaderClient *> homeOf(const RequestId &id);
  // The team of a key; empty without a key, when only open entries' requests
  // may be seen.
  Result<TeamId> teamOf(const std::string &presentedKey) const;
  void askFate(const api::GetFate &command, const TeamId &team,
               Instant deadline, const DoneHook &done);
  void handOver(const api::CallLive &call, const LiveHook &done);
  void takePassedLive(const wire::Envelope &request,
                      const wire::PassLive &pass);
  // Passes the reply of type Message on as a value of type api::Reply.
  template <typename Reply, typename Convert>
  wire::ReplyHook forward(const DoneHook &done, Convert convert);
  void addKeeperMetrics(metrics::Snapshot own, const DoneHook &done);
  api::FleetStatus localStatus() const;
  void countRefusal(const Result<api::Reply> &result);

  EntryOptions Settings;
  runtime::PollLoop &Loop;
  wire::Messenger Messages;
  wire::LeaderClient Keepers;
  wire::CataloguePoller Catalogue;
  ZoneDirectory Zones;
  metrics::Metrics Metrics;
  std::unique_ptr<LiveDesk> Live;
  bool IsLeaving = false;
};

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ENTRY_TASK_H_
