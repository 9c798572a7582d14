// What workers hold and tasks ask for.
#ifndef JUJUBE_BASE_RESOURCES_H_
#define JUJUBE_BASE_RESOURCES_H_

#include <algorithm>
#include <compare>
#include <cstdint>

namespace jujube {

// Amounts of each resource. Differences may be negative.
struct Resources {
  // Thousandths of a processor.
  int64_t MilliCpu = 0;
  // Mebibytes of memory.
  int64_t MemoryMb = 0;
  // Whole accelerators.
  int64_t Accelerators = 0;

  bool operator==(const Resources &) const = default;

  Resources operator+(const Resources &rhs) const {
    return {MilliCpu + rhs.MilliCpu, MemoryMb + rhs.MemoryMb,
            Accelerators + rhs.Accelerators};
  }
  Resources operator-(const Resources &rhs) const {
    return {MilliCpu - rhs.MilliCpu, MemoryMb - rhs.MemoryMb,
            Accelerators - rhs.Accelerators};
  }
  Resources operator*(int64_t n) const {
    return {MilliCpu * n, MemoryMb * n, Accelerators * n};
  }
  Resources &operator+=(const Resources &rhs) { return *this = *this + rhs; }
  Resources &operator-=(const Resources &rhs) { return *this = *this - rhs; }

  // True if every amount is at most that of `rhs`.
  bool fitsIn(const Resources &rhs) const {
    return MilliCpu <= rhs.MilliCpu && MemoryMb <= rhs.MemoryMb &&
           Accelerators <= rhs.Accelerators;
  }
  bool isNegative() const {
    return MilliCpu < 0 || MemoryMb < 0 || Accelerators < 0;
  }
};

// The larger and the smaller of each amount.
inline Resources maxOf(const Resources &a, const Resources &b) {
  return {std::max(a.MilliCpu, b.MilliCpu), std::max(a.MemoryMb, b.MemoryMb),
          std::max(a.Accelerators, b.Accelerators)};
}
inline Resources minOf(const Resources &a, const Resources &b) {
  return {std::min(a.MilliCpu, b.MilliCpu), std::min(a.MemoryMb, b.MemoryMb),
          std::min(a.Accelerators, b.Accelerators)};
}

// The largest quotient of a part over the whole, from 0 to 1; 0 for resources
// that the whole lacks.
inline double dominantShare(const Resources &part, const Resources &whole) {
  const auto ratio = [](int64_t a, int64_t b) {
    return b > 0 ? static_cast<double>(a) / static_cast<double>(b) : 0.0;
  };
  return std::max({ratio(part.MilliCpu, whole.MilliCpu),
                   ratio(part.MemoryMb, whole.MemoryMb),
                   ratio(part.Accelerators, whole.Accelerators)});
}

} // namespace jujube

#endif // JUJUBE_BASE_RESOURCES_H_
