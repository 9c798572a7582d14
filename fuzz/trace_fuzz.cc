// Fuzzes the parser of the load generator's traces. Aborts if a parsed trace
// exceeds the step limit.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "jujube/load/trace.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  constexpr std::size_t MaxSteps = 1000;
  const absl::string_view text(reinterpret_cast<const char *>(data), size);
  const auto steps = jujube::load::parseTrace(text, {MaxSteps});
  if (jujube::isOk(steps) && jujube::valueOf(steps).size() > MaxSteps)
    std::abort();
  return 0;
}
