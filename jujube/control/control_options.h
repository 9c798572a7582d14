// Settings of a member of the control group.
#ifndef JUJUBE_CONTROL_CONTROL_OPTIONS_H_
#define JUJUBE_CONTROL_CONTROL_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/cpu_clock.h"
#include "jujube/base/ids.h"
#include "jujube/dispatch/lease_clock.h"
#include "jujube/dispatch/orders.h"
#include "jujube/http/caller.h"
#include "jujube/jobs/commands.h"
#include "jujube/storage/file_hooks.h"

namespace jujube::control {

// Heartbeat period and lease of the leader of the control group. The shortest
// objective of a queue leaves about half a second for a change of leader, and a
// sync on a slow disk takes 0.3 s.
inline constexpr Duration GroupHeartbeat = Duration::millis(100);
inline constexpr Duration GroupLease = Duration::millis(400);

// Encodes orders as HTTP calls of the worker protocol and decodes the
// responses.
struct WorkerProtocolCodec {
  std::function<http::OutboundCall(const dispatch::Order &)> Encode;
  std::function<dispatch::OrderAnswer(const dispatch::Order &,
                                      const http::OutboundResult &)>
      Decode;
};

// Encodes approval queries as HTTP calls to the approval service and decodes
// the responses.
struct ApprovalProtocolCodec {
  std::function<http::OutboundCall(const jobs::ApprovalQuery &)> Encode;
  std::function<Result<jobs::ApprovalAnswer>(const http::OutboundResult &)>
      Decode;
};

struct ControlOptions {
  HostId Self;
  ZoneId Zone;
  // Address for messages from the other processes of the system.
  Address Listen;
  // Address for HTTP requests from workers and operators.
  Address Control;
  // Message addresses of some members, possibly including this member.
  std::vector<Address> Seeds;
  // True if this member may help to bootstrap the group: it has never stored
  // any data.
  bool MayBootstrap = false;
  // The number of voters that the group tries to have.
  std::size_t Voters = 3;
  std::string DataFolder;
  // False for file systems that do not record the owner and mode of files.
  bool ChecksDataAccess = true;
  storage::FileHooks Files;
  std::string FleetToken;
  // Seed of the random election delays; if unset, the operating system provides
  // one.
  std::optional<uint64_t> ElectionSeed;
  // WallClock-clock time, for due times and the order of waiting jobs.
  Clock WallClock = Clock::wall();
  // Processor time of the control task, for the metrics of its work.
  CpuClock Processor = CpuClock::ofThread();
  dispatch::LeasePolicy Leases;
  // Connections to workers.
  http::CallerOptions Calling;
  // How long ended jobs are kept.
  Duration EndedJobRetention = Duration::seconds(150);
  WorkerProtocolCodec Workers;
};

// The host id of a member is its IP address, since seeds contain only
// addresses.
inline HostId hostIdOf(const Address &address) { return HostId(address.Ip); }

} // namespace jujube::control

#endif // JUJUBE_CONTROL_CONTROL_OPTIONS_H_
