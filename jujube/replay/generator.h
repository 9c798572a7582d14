// Generates traces from a seed: a scaled-down day of one of the deployments,
// with load bursts, inaccurate resource demands, mass cancellations, failing
// workers and jobs, unsatisfiable requests and the loss of a rack.
#ifndef JUJUBE_REPLAY_GENERATOR_H_
#define JUJUBE_REPLAY_GENERATOR_H_

#include <cstdint>
#include <vector>

#include "jujube/base/name_table.h"
#include "jujube/replay/trace.h"

namespace jujube::replay {

enum class Deployment { Breezeguard, Mkwawa };

inline constexpr NameTable<Deployment, 2> DeploymentNames = {{
    {Deployment::Breezeguard, "breezeguard"},
    {Deployment::Mkwawa, "mkwawa"},
}};
static_assert(isComplete(DeploymentNames));

// Deterministic: the same deployment and seed produce the same trace.
std::vector<Record> generateTrace(Deployment deployment, uint64_t seed);

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_GENERATOR_H_
