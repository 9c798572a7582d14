// CPU time, for measuring the cost of work.
#ifndef JUJUBE_BASE_CPU_CLOCK_H_
#define JUJUBE_BASE_CPU_CLOCK_H_

#include <cstdint>
#include <functional>
#include <utility>

namespace jujube {

// Returns consumed CPU time in microseconds since an unspecified origin. The
// values serve metrics and logs; no scheduling decision depends on them. Copies
// share the source.
class CpuClock {
public:
  explicit CpuClock(std::function<int64_t()> source)
      : Source(std::move(source)) {}

  // The CPU time of the thread that calls micros().
  static CpuClock ofThread();

  int64_t micros() const { return Source(); }

private:
  std::function<int64_t()> Source;
};

} // namespace jujube

#endif // JUJUBE_BASE_CPU_CLOCK_H_
