// Commands that a front end passes to the entry host, and their replies. A
// front end only translates between its own encoding and these types.
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

// Submits a request for a catalogue entry. Resubmitting with the same id and
// body returns the fate of the original request; the same id with a different
// body is rejected with DuplicateRequest.
struct Submit {
  // API key as "KEYID.SECRET"; empty for open entries.
  std::string PresentedKey;
  RequestId Request;
  EntryId Entry;
  std::string Payload;
  // Overrides the entry's number of tasks.
  std::optional<uint32_t> Tasks;
  // The request is not run unless it starts within this duration; zero means
  // no limit.
  Duration StartWithin;
};

// Cancels a request. Has no effect on a request that has already ended.
struct Cancel {
  std::string PresentedKey;
  RequestId Request;
};

// Queries the fate of a request.
struct GetFate {
  std::string PresentedKey;
  RequestId Request;
  // The reply is delayed until the request ends or this duration has passed.
  Duration Wait;
};

// Sends a live request to a runner of the entry and waits for the runner's
// answer.
struct CallLive {
  std::string PresentedKey;
  RequestId Request;
  EntryId Entry;
  std::string Payload;
  // The call is shed if it can't be answered within this duration.
  Duration Timeout;
};

// Edits the catalogue. Requires an operator token.
struct EditCatalogue {
  std::string OperatorToken;
  catalogue::Edit Edit;
  // Validates the edit without applying it; the reply holds the revision that
  // the edit would create.
  bool IsDryRun = false;
};

// Reads the catalogue. Requires an operator token.
struct GetCatalogue {
  std::string OperatorToken;
};

// Reads the newest lines of the catalogue's history. Requires an operator
// token.
struct GetHistory {
  std::string OperatorToken;
  uint32_t MaxLines = 100;
};

// Reads the fleet status, as known to this entry host.
struct GetStatus {};

// Reads the metrics of this entry host and of its zone's leader.
struct GetMetrics {};

// A sync from a worker. The reply is delayed until there is a directive for
// the worker or half its lease has passed.
struct SyncWorker {
  std::string FleetToken;
  fate::WorkerSync Sync;
};

// An announcement from a runner, which it repeats as a heartbeat.
struct AnnounceRunner {
  std::string FleetToken;
  routing::RunnerAnnouncement Announcement;
};

using Command =
    std::variant<Submit, Cancel, GetFate, CallLive, EditCatalogue, GetCatalogue,
                 GetHistory, GetStatus, GetMetrics, SyncWorker, AnnounceRunner>;

// A runner's complete answer to a live request.
struct LiveAnswer {
  RequestId Request;
  RunnerId Runner;
  std::string Body;

  bool operator==(const LiveAnswer &) const = default;
};

// The result of a catalogue edit.
struct EditReceipt {
  // The catalogue revision that contains the edit.
  Revision At;
  // True if every entry host and zone leader has applied the edit or has
  // stopped serving.
  bool IsInForce = false;

  bool operator==(const EditReceipt &) const = default;
};

// The status of an availability zone, as known to an entry host.
struct ZoneStatus {
  ZoneId Zone;
  // The leader of the zone's consensus group; empty if unknown.
  HostId Leader;
  // Voting members of the group that have recently acknowledged its leader,
  // including the leader.
  uint32_t Voters = 0;
  uint32_t Workers = 0;
  uint32_t QuarantinedWorkers = 0;
  uint64_t QueuedTasks = 0;
  uint64_t RunningTasks = 0;
  Resources Held;
  Resources Reserved;

  bool operator==(const ZoneStatus &) const = default;
};

// The status of a runner, as known to an entry host.
struct RunnerStatus {
  RunnerId Runner;
  EntryId Entry;
  ZoneId Zone;
  uint32_t Slots = 0;
  uint32_t InFlight = 0;
  bool IsLeaving = false;

  bool operator==(const RunnerStatus &) const = default;
};

// The status of the fleet, as known to an entry host.
struct FleetStatus {
  HostId Host;
  ZoneId Zone;
  Revision Catalogue;
  // Time since a majority of the keepers confirmed that this host's catalogue
  // was the latest revision.
  Duration CatalogueAge;
  // True once the host has been asked to stop; from then on it fails the load
  // balancer's health check.
  bool IsLeaving = false;
  std::vector<ZoneStatus> Zones;
  std::vector<RunnerStatus> Runners;

  bool operator==(const FleetStatus &) const = default;
};

using Reply =
    std::variant<Ok, fate::FateView, LiveAnswer, EditReceipt,
                 catalogue::Contents, std::vector<catalogue::HistoryLine>,
                 FleetStatus, metrics::Snapshot, fate::SyncReply>;

// Executes a command and blocks the calling thread until the reply arrives.
// Provided by the entry host; tests provide their own.
using ExecuteHook = std::function<Result<Reply>(Command)>;

} // namespace jujube::api

#endif // JUJUBE_API_COMMANDS_H_
