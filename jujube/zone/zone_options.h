// Settings of an availability zone's scheduler.
#ifndef JUJUBE_ZONE_ZONE_OPTIONS_H_
#define JUJUBE_ZONE_ZONE_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/consensus/types.h"
#include "jujube/placement/policy.h"

namespace jujube::zone {

struct ZoneOptions {
  HostId Self;
  ZoneId Zone;
  // Where other processes reach this scheduler.
  Address Listen;
  // All schedulers of the zone's group with this one.
  std::vector<consensus::Peer> Peers;
  std::vector<Address> Keepers;
  std::string FleetToken;
  placement::PolicyName Policy = placement::PolicyName::Waiting;
  // A worker stops its tasks this long after it sent the last sync that was
  // answered.
  Duration WorkerLease = Duration::seconds(6);
  // Bound on the drift between two clocks over a worker's lease.
  Duration WorkerDrift = Duration::millis(500);
  // Wall time of the journal's events.
  Clock WallClock = Clock::wall();
  // Seed of the random delays of elections; drawn from the system if not set.
  std::optional<uint64_t> ElectionSeed;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_ZONE_OPTIONS_H_
