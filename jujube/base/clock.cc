#include "jujube/base/clock.h"

#include <chrono>
#include <ctime>

namespace jujube {
namespace {

constexpr int64_t MillisPerSecond = 1000;
constexpr int64_t NanosPerMilli = 1'000'000;

template <typename Source> Instant readMillis() {
  const auto since = Source::now().time_since_epoch();
  return Instant::atMillis(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

// CLOCK_BOOTTIME goes on while the host is suspended, so that a leader that
// wakes up does not believe in a lease that has ended meanwhile.
Clock Clock::monotonic() {
  return Clock([] {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant::atMillis(now.tv_sec * MillisPerSecond +
                             now.tv_nsec / NanosPerMilli);
  });
}

Clock Clock::wall() { return Clock(readMillis<std::chrono::system_clock>); }

} // namespace jujube
