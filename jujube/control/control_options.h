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

// Leases of the group's leader. Source: callers' shortest objective leaves
// about half a second for a change of leader; a sync on a slow disk takes 0.3
// s.
inline constexpr Duration GroupHeartbeat = Duration::millis(100);
inline constexpr Duration GroupLease = Duration::millis(400);

// Translates orders into the HTTP calls of the workers' protocol.
struct WorkerProtocol {
  std::function<http::OutboundCall(const dispatch::Order &)> Encode;
  std::function<dispatch::OrderAnswer(const dispatch::Order &,
                                      const http::OutboundResult &)>
      Decode;
};

// Translates questions to the service that approves workers.
struct ApprovalProtocol {
  std::function<http::OutboundCall(const jobs::ApprovalQuery &)> Encode;
  std::function<Result<jobs::ApprovalAnswer>(const http::OutboundResult &)>
      Decode;
};

struct ControlOptions {
  HostId Self;
  ZoneId Zone;
  // Where the system's processes reach this member.
  Address Listen;
  // Where workers and operators reach it.
  Address Control;
  // Where some members take messages; this one may be among them.
  std::vector<Address> Seeds;
  // True if the group may be founded: nothing was ever stored.
  bool MayFound = false;
  // Voters that the group is to have.
  std::size_t Voters = 3;
  std::string DataFolder;
  // False for disks that keep no owners and modes of files.
  bool ChecksDataAccess = true;
  storage::FileHooks Files;
  std::string FleetToken;
  // Seed of the random delays of elections; drawn from the system if not set.
  std::optional<uint64_t> ElectionSeed;
  // Time of day, for due times and the order of waiting jobs.
  Clock WallClock = Clock::wall();
  // Processor time of the control task, for accounts of its work.
  CpuClock Processor = CpuClock::ofThread();
  dispatch::LeasePolicy Leases;
  // How long the state of ended jobs is kept.
  Duration KeepEnded = Duration::seconds(150);
  WorkerProtocol Workers;
};

// The name of a member: its IP address, which is all that seeds tell.
inline HostId hostAt(const Address &address) { return HostId(address.Ip); }

} // namespace jujube::control

#endif // JUJUBE_CONTROL_CONTROL_OPTIONS_H_
