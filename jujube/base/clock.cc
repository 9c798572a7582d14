#include "jujube/base/clock.h"

#include <chrono>

namespace jujube {
namespace {

template <typename Source> Instant readMillis() {
  const auto since = Source::now().time_since_epoch();
  return Instant::atMillis(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

Clock Clock::monotonic() {
  return Clock(readMillis<std::chrono::steady_clock>);
}

Clock Clock::wall() { return Clock(readMillis<std::chrono::system_clock>); }

} // namespace jujube
