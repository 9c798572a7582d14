#include "jujube/base/clock.h"

#include <chrono>
#include <ctime>

namespace jujube {
namespace {

constexpr int64_t MillisPerSecond = 1000;
constexpr int64_t NanosPerMilli = 1'000'000;

template <typename Source> Instant readMillis() {
  const auto since = Source::now().time_since_epoch();
  return Instant::fromMillis(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

// CLOCK_BOOTTIME advances while the host is suspended, so that a leader does
// not treat a lease that expired during the suspension as valid.
Clock Clock::monotonic() {
  return Clock([] {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant::fromMillis(now.tv_sec * MillisPerSecond +
                               now.tv_nsec / NanosPerMilli);
  });
}

Clock Clock::wall() { return Clock(readMillis<std::chrono::system_clock>); }

} // namespace jujube
