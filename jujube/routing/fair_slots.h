// Divides slots over teams by share, and each team's part over entry hosts.
#ifndef JUJUBE_ROUTING_FAIR_SLOTS_H_
#define JUJUBE_ROUTING_FAIR_SLOTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jujube/routing/messages.h"

namespace jujube::routing {

// Requests of one team at one entry host, waiting or in flight.
struct HolderDemand {
  Holder From;
  TeamId Team;
  uint32_t Share = 1;
  uint32_t Requests = 0;
};

// Weighted max-min fair parts of `slots`: no team gets more than it demands,
// and what one leaves goes to the others by share.
std::map<TeamId, double> maxMinShares(const std::vector<HolderDemand> &demands,
                                      uint32_t slots);

// The slots that `holder` should have: its part of each team's share and, if
// `hasReserve` and while slots are left over, a reserve for the next requests.
uint32_t fairSlots(const std::vector<HolderDemand> &demands,
                   const Holder &holder, uint32_t slots, bool hasReserve);

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_FAIR_SLOTS_H_
