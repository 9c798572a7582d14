// Two simple policies that the router is measured against. Neither queues nor
// uses credits: each request leaves at once, and runners queue what is beyond
// their slots.
#ifndef TESTING_ROUTING_BASELINES_H_
#define TESTING_ROUTING_BASELINES_H_

#include <cstdint>

#include "jujube/base/name_table.h"
#include "testing/routing_world.h"

namespace jujube::testing {

enum class RoutingPolicy {
  // The project's router with leased credits.
  Credits,
  // A random runner.
  Random,
  // The runner with the fewest requests outstanding from this entry host.
  LeastOutstanding,
};

inline constexpr NameTable<RoutingPolicy, 3> RoutingPolicyNames = {{
    {RoutingPolicy::Credits, "credits"},
    {RoutingPolicy::Random, "random"},
    {RoutingPolicy::LeastOutstanding, "least-outstanding"},
}};
static_assert(isComplete(RoutingPolicyNames));

// Empty for Credits.
PolicyFactory baselineFor(RoutingPolicy policy, uint64_t seed);

} // namespace jujube::testing

#endif // TESTING_ROUTING_BASELINES_H_
