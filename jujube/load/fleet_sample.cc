#include "jujube/load/fleet_sample.h"

#include "nlohmann/json.hpp"

namespace jujube::load {
namespace {

using nlohmann::json;

// Returns the sum of all unsigned numbers with key `name`, at any depth.
uint64_t sumOf(const json &value, const std::string &name) {
  uint64_t sum = 0;
  for (const auto &[key, child] : value.items()) {
    if (child.is_structured())
      sum += sumOf(child, name);
    else if (key == name && child.is_number_unsigned())
      sum += child.get<uint64_t>();
  }
  return sum;
}

int64_t amountIn(const json &resources, const std::string &name) {
  const auto it = resources.find(name);
  return it != resources.end() && it->is_number_integer() ? it->get<int64_t>()
                                                          : 0;
}

} // namespace

Status StandinCounts::addFrom(absl::string_view text) {
  const json all = json::parse(text.begin(), text.end(), nullptr, false);
  if (!all.is_object())
    return Error{ErrorKind::MalformedBody, "the stand-in's stats are not JSON",
                 "point --stats at stand-ins only"};
  ConcurrentDuplicates += sumOf(all, "concurrent_duplicates");
  RepeatedOnce += sumOf(all, "repeated_once");
  OverCapacity += sumOf(all, "over_capacity");
  SlotViolations += sumOf(all, "slot_violations");
  AfterLeaving += sumOf(all, "after_leaving");
  const auto teams = all.find("teams");
  if (teams == all.end() || !teams->is_object())
    return Ok{};
  for (const auto &[team, use] : teams->items())
    if (const auto now = use.find("now"); now != use.end() && now->is_object())
      Running[team] +=
          Resources{amountIn(*now, "milli_cpu"), amountIn(*now, "memory_mb"),
                    amountIn(*now, "accelerators")};
  return Ok{};
}

} // namespace jujube::load
