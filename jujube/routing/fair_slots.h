// Divides slots among teams by share, and each team's slots among entry hosts
// by demand.
#ifndef JUJUBE_ROUTING_FAIR_SLOTS_H_
#define JUJUBE_ROUTING_FAIR_SLOTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jujube/routing/messages.h"

namespace jujube::routing {

// Requests of one team at one entry host, queued or in flight.
struct HolderDemand {
  Holder From;
  TeamId Team;
  uint32_t Share = 1;
  uint32_t Requests = 0;
};

// Returns the weighted max-min fair allocation of `slots` to teams. No team
// gets more than it demands; slots that a team leaves unused go to the other
// teams in proportion to their shares. The results may be fractional.
std::map<TeamId, double> maxMinShares(const std::vector<HolderDemand> &demands,
                                      uint32_t slots);

// Returns the number of slots that `holder` should have. This is its part of
// each team's allocation and, if `hasReserve`, a reserve for its next requests
// from the slots that are left over.
uint32_t fairSlots(const std::vector<HolderDemand> &demands,
                   const Holder &holder, uint32_t slots, bool hasReserve);

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_FAIR_SLOTS_H_
