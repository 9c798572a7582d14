#include "jujube/base/cpu_clock.h"

#include <ctime>

namespace jujube {
namespace {

constexpr int64_t MicrosPerSecond = 1'000'000;
constexpr int64_t NanosPerMicro = 1'000;

} // namespace

CpuClock CpuClock::ofThread() {
  return CpuClock([] {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return used.tv_sec * MicrosPerSecond + used.tv_nsec / NanosPerMicro;
  });
}

} // namespace jujube
