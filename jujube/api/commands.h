// The typed commands that any front end passes to the entry host, and their
// replies. A front end only translates between its own encoding and these.
#ifndef JUJUBE_API_COMMANDS_H_
#define JUJUBE_API_COMMANDS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/edit.h"
#include "jujube/fate/types.h"
#include "jujube/metrics/metrics.h"
#include "jujube/routing/types.h"

namespace jujube::api {

// Submits work of a catalogue entry. Resending it with the same id and body
// returns the fate of the first; with another body it is refused with
// DuplicateRequest.
struct Submit {
  // "KEYID.SECRET"; empty for open entries.
  std::string PresentedKey;
  RequestId Request;
  EntryId Entry;
  std::string Payload;
  // Instead of the entry's number of tasks.
  std::optional<uint32_t> Tasks;
  // Not run unless it starts within this span; zero for no limit.
  Duration StartWithin;
};

// Cancels a request; cancelling one that has ended changes nothing.
struct Cancel {
  std::string PresentedKey;
  RequestId Request;
};

// Asks what became of a request.
struct GetFate {
  std::string PresentedKey;
  RequestId Request;
  // Answer only once the request has ended or this span has passed.
  Duration Wait;
};

// Sends a live request to a runner of the entry and waits for its answer.
struct CallLive {
  std::string PresentedKey;
  RequestId Request;
  EntryId Entry;
  std::string Payload;
  // Shed if no answer can be had within this span.
  Duration Timeout;
};

// Edits the catalogue; for operators.
struct EditCatalogue {
  std::string OperatorToken;
  catalogue::Edit Edit;
  // Check only: the reply tells what would happen.
  bool IsDryRun = false;
};

// Reads the catalogue; for operators.
struct GetCatalogue {
  std::string OperatorToken;
};

// Reads the newest lines of the catalogue's history; for operators.
struct GetHistory {
  std::string OperatorToken;
  uint32_t MaxLines = 100;
};

// Reads the state of the fleet as this entry host knows it.
struct GetStatus {};

// Reads the counters and histograms of this entry host and of its zone's
// leader.
struct GetMetrics {};

// A worker's sync. The reply is delayed until there is a directive or half the
// lease has passed.
struct SyncWorker {
  std::string FleetToken;
  fate::WorkerSync Sync;
};

// A runner's announcement, repeated as a heartbeat.
struct AnnounceRunner {
  std::string FleetToken;
  routing::RunnerAnnouncement Announcement;
};

using Command =
    std::variant<Submit, Cancel, GetFate, CallLive, EditCatalogue, GetCatalogue,
                 GetHistory, GetStatus, GetMetrics, SyncWorker, AnnounceRunner>;

// The whole answer of a runner to a live request.
struct LiveAnswer {
  RequestId Request;
  RunnerId Runner;
  std::string Body;

  bool operator==(const LiveAnswer &) const = default;
};

// What became of an edit.
struct EditReceipt {
  // The revision that holds the edit.
  Revision At;
  // True once every entry host and zone leader has it or has stopped serving.
  bool IsInForce = false;

  bool operator==(const EditReceipt &) const = default;
};

// One availability zone as an entry host sees it.
struct ZoneStatus {
  ZoneId Zone;
  // The control host that leads the zone's group; empty if none is known.
  HostId Leader;
  // Members of the group that count towards its majority and are caught up.
  uint32_t Voters = 0;
  uint32_t Workers = 0;
  uint32_t QuarantinedWorkers = 0;
  uint64_t QueuedTasks = 0;
  uint64_t RunningTasks = 0;
  Resources Held;
  Resources Reserved;

  bool operator==(const ZoneStatus &) const = default;
};

// One runner as an entry host sees it.
struct RunnerStatus {
  RunnerId Runner;
  EntryId Entry;
  ZoneId Zone;
  uint32_t Slots = 0;
  uint32_t InFlight = 0;
  bool IsLeaving = false;

  bool operator==(const RunnerStatus &) const = default;
};

// The fleet as an entry host sees it.
struct FleetStatus {
  HostId Host;
  ZoneId Zone;
  Revision Catalogue;
  // Since a majority of keepers confirmed that the catalogue is the latest.
  Duration CatalogueAge;
  // True once it has been asked to stop; the balancer's health check fails.
  bool IsLeaving = false;
  std::vector<ZoneStatus> Zones;
  std::vector<RunnerStatus> Runners;

  bool operator==(const FleetStatus &) const = default;
};

using Reply =
    std::variant<Ok, fate::FateView, LiveAnswer, EditReceipt,
                 catalogue::Contents, std::vector<catalogue::HistoryLine>,
                 FleetStatus, metrics::Snapshot, fate::SyncReply>;

// Executes a command and blocks the calling thread until its reply. Set by the
// entry host; tests set their own.
using ExecuteHook = std::function<Result<Reply>(Command)>;

} // namespace jujube::api

#endif // JUJUBE_API_COMMANDS_H_
