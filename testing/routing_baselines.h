// Two simple baseline policies to compare the router with. Neither queues nor
// uses credits: each request is sent at once, and runners queue requests beyond
// their slots.
#ifndef TESTING_ROUTING_BASELINES_H_
#define TESTING_ROUTING_BASELINES_H_

#include <cstdint>

#include "jujube/base/name_table.h"
#include "testing/routing_world.h"

namespace jujube::testing {

enum class RoutingPolicy {
  // The router with leased credits.
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
