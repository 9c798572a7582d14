#include "jujube/routing/fair_slots.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace jujube::routing {
namespace {

// Part of what is left over that holders get; the rest stays with the ledger
// for sudden demand.
constexpr double ReservedPart = 0.75;
// Spare slots of a holder: this many, or this part of its demand.
constexpr double MinReserve = 2;
constexpr double ReservePart = 0.5;
constexpr double Epsilon = 1e-9;

struct TeamTotal {
  double Requests = 0;
  double Share = 1;
};

std::map<TeamId, TeamTotal> totalsOf(const std::vector<HolderDemand> &demands) {
  std::map<TeamId, TeamTotal> totals;
  for (const HolderDemand &demand : demands) {
    TeamTotal &total = totals[demand.Team];
    total.Requests += demand.Requests;
    total.Share = std::max(total.Share, static_cast<double>(demand.Share));
  }
  return totals;
}

} // namespace

std::map<TeamId, double> maxMinShares(const std::vector<HolderDemand> &demands,
                                      uint32_t slots) {
  std::map<TeamId, TeamTotal> open = totalsOf(demands);
  std::map<TeamId, double> parts;
  double left = slots;
  while (!open.empty()) {
    double weight = 0;
    for (const auto &[team, total] : open)
      weight += total.Share;
    const double perShare = left / weight;
    // Teams that ask for less than their part are served whole first.
    const std::size_t served = std::erase_if(open, [&](const auto &row) {
      const TeamTotal &total = row.second;
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

struct Part {
  // Requests of the holder, and its part of the slots for them.
  double Requests = 0;
  double Fair = 0;
  uint32_t Slots = 0;
};

std::map<Holder, Part> partsOf(const std::vector<HolderDemand> &demands,
                               uint32_t slots) {
  const std::map<TeamId, double> shares = maxMinShares(demands, slots);
  const std::map<TeamId, TeamTotal> totals = totalsOf(demands);
  std::map<Holder, Part> parts;
  for (const HolderDemand &demand : demands) {
    if (demand.Requests == 0)
      continue;
    Part &part = parts[demand.From];
    part.Requests += demand.Requests;
    part.Fair += shares.at(demand.Team) * demand.Requests /
                 totals.at(demand.Team).Requests;
  }
  return parts;
}

// Rounds so that the parts add up: every holder that asks gets one if there are
// enough, then whole parts, then the largest remainders.
void roundParts(std::map<Holder, Part> &parts, uint32_t slots) {
  std::vector<Part *> order;
  uint32_t left = slots;
  for (auto &[holder, part] : parts) {
    part.Slots =
        std::max(1U, static_cast<uint32_t>(std::floor(part.Fair + Epsilon)));
    part.Slots = std::min(part.Slots, left);
    left -= part.Slots;
    order.push_back(&part);
  }
  std::ranges::stable_sort(order, std::greater<>(), [](const Part *part) {
    return part->Fair - part->Slots;
  });
  for (Part *part : order) {
    if (left == 0 || part->Fair <= part->Slots + Epsilon)
      break;
    ++part->Slots;
    --left;
  }
}

} // namespace

uint32_t fairSlots(const std::vector<HolderDemand> &demands,
                   const Holder &holder, uint32_t slots, bool hasReserve) {
  std::map<Holder, Part> parts = partsOf(demands, slots);
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
  const double reserve =
      std::min(ReservedPart * leftOver / static_cast<double>(parts.size()),
               std::max(MinReserve, ReservePart * own->second.Requests));
  return own->second.Slots + static_cast<uint32_t>(reserve);
}

} // namespace jujube::routing
