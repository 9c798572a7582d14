// Processor time, for accounts of what work costs.
#ifndef JUJUBE_BASE_CPU_CLOCK_H_
#define JUJUBE_BASE_CPU_CLOCK_H_

#include <cstdint>
#include <functional>
#include <utility>

namespace jujube {

// Yields the processor time that work has used, in microseconds since some
// origin. No decision depends on it. Copies share the source.
class CpuClock {
public:
  explicit CpuClock(std::function<int64_t()> source)
      : Source(std::move(source)) {}

  // Of the thread that asks.
  static CpuClock ofThread();

  int64_t micros() const { return Source(); }

private:
  std::function<int64_t()> Source;
};

} // namespace jujube

#endif // JUJUBE_BASE_CPU_CLOCK_H_
