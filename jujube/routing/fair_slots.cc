#include "jujube/routing/fair_slots.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace jujube::routing {
namespace {

// Fraction of the left-over slots that holders get as reserves. The ledger
// keeps the rest for sudden demand.
constexpr double LeftOverFraction = 0.75;
// The reserve of a holder is at most this number of slots or this fraction of
// its demand, whichever is greater.
constexpr double MinReserveSlots = 2;
constexpr double ReserveFraction = 0.5;
constexpr double Epsilon = 1e-9;

struct TeamDemandTotal {
  double Requests = 0;
  double Share = 1;
};

std::map<TeamId, TeamDemandTotal>
totalsOf(const std::vector<HolderDemand> &demands) {
  std::map<TeamId, TeamDemandTotal> totals;
  for (const HolderDemand &demand : demands) {
    TeamDemandTotal &total = totals[demand.Team];
    total.Requests += demand.Requests;
    total.Share = std::max(total.Share, static_cast<double>(demand.Share));
  }
  return totals;
}

} // namespace

std::map<TeamId, double> maxMinShares(const std::vector<HolderDemand> &demands,
                                      uint32_t slots) {
  std::map<TeamId, TeamDemandTotal> open = totalsOf(demands);
  std::map<TeamId, double> parts;
  double left = slots;
  while (!open.empty()) {
    double weight = 0;
    for (const auto &[team, total] : open)
      weight += total.Share;
    const double perShare = left / weight;
    // Teams that demand no more than their part get all that they demand.
    const std::size_t served = std::erase_if(open, [&](const auto &row) {
      const TeamDemandTotal &total = row.second;
      if (total.Requests > perShare * total.Share + Epsilon)
        return false;
      parts[row.first] = total.Requests;
      left -= total.Requests;
      return true;
    });
    if (served > 0)
      continue;
    for (const auto &[team, total] : open)
      parts[team] = perShare * total.Share;
    break;
  }
  return parts;
}

namespace {

struct HolderSlots {
  // Requests of the holder, and its fair part of the slots before rounding.
  double Requests = 0;
  double ExactSlots = 0;
  uint32_t Slots = 0;
};

std::map<Holder, HolderSlots> partsOf(const std::vector<HolderDemand> &demands,
                                      uint32_t slots) {
  const std::map<TeamId, double> shares = maxMinShares(demands, slots);
  const std::map<TeamId, TeamDemandTotal> totals = totalsOf(demands);
  std::map<Holder, HolderSlots> parts;
  for (const HolderDemand &demand : demands) {
    if (demand.Requests == 0)
      continue;
    HolderSlots &part = parts[demand.From];
    part.Requests += demand.Requests;
    part.ExactSlots += shares.at(demand.Team) * demand.Requests /
                       totals.at(demand.Team).Requests;
  }
  return parts;
}

// Rounds the parts to whole slots that add up to at most `slots`: each part is
// rounded down, but to at least 1, as far as there are slots; the remaining
// slots go to the largest remainders.
void roundParts(std::map<Holder, HolderSlots> &parts, uint32_t slots) {
  std::vector<HolderSlots *> order;
  uint32_t left = slots;
  for (auto &[holder, part] : parts) {
    part.Slots = std::max(
        1U, static_cast<uint32_t>(std::floor(part.ExactSlots + Epsilon)));
    part.Slots = std::min(part.Slots, left);
    left -= part.Slots;
    order.push_back(&part);
  }
  std::ranges::stable_sort(
      order, std::greater<>(),
      [](const HolderSlots *part) { return part->ExactSlots - part->Slots; });
  for (HolderSlots *part : order) {
    if (left == 0 || part->ExactSlots <= part->Slots + Epsilon)
      break;
    ++part->Slots;
    --left;
  }
}

} // namespace

uint32_t fairSlots(const std::vector<HolderDemand> &demands,
                   const Holder &holder, uint32_t slots, bool hasReserve) {
  std::map<Holder, HolderSlots> parts = partsOf(demands, slots);
  roundParts(parts, slots);
  const auto own = parts.find(holder);
  if (own == parts.end())
    return 0;
  if (!hasReserve)
    return own->second.Slots;
  const double all = std::accumulate(
      parts.begin(), parts.end(), 0.0,
      [](double sum, const auto &row) { return sum + row.second.Requests; });
  const double leftOver = std::max(0.0, slots - all);
  const double reserve = std::min(
      LeftOverFraction * leftOver / static_cast<double>(parts.size()),
      std::max(MinReserveSlots, ReserveFraction * own->second.Requests));
  return own->second.Slots + static_cast<uint32_t>(reserve);
}

} // namespace jujube::routing
