// Settings of a scheduler process of an availability zone.
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
  // Address at which other processes reach this scheduler.
  Address Listen;
  // All schedulers of the zone's consensus group, including this one.
  std::vector<consensus::Peer> Peers;
  std::vector<Address> Keepers;
  std::string FleetToken;
  placement::PolicyName Policy = placement::PolicyName::Waiting;
  // A worker stops its tasks this long after it has sent the last sync that was
  // answered.
  Duration WorkerLease = Duration::seconds(6);
  // Upper bound on the drift between two clocks over one worker lease.
  Duration WorkerDrift = Duration::millis(500);
  // Clock for the wall time in journal events.
  Clock WallClock = Clock::wall();
  // Seed for random election timeouts; taken from the system if empty.
  std::optional<uint64_t> ElectionSeed;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_ZONE_OPTIONS_H_
