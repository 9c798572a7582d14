// Writes traces from a seed: a day in small of one of the deployments, with
// bursts, wrong sizes, cancel waves, failing workers and jobs, impossible
// requests and a lost rack.
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

// The same deployment and seed give the same trace.
std::vector<Record> generateTrace(Deployment deployment, uint64_t seed);

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_GENERATOR_H_
