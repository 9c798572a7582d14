// Resource amounts: the capacity of workers and the demand of tasks.
#ifndef JUJUBE_BASE_RESOURCES_H_
#define JUJUBE_BASE_RESOURCES_H_

#include <algorithm>
#include <compare>
#include <cstdint>

namespace jujube {

// An amount of each resource. The result of a subtraction may be negative.
struct Resources {
  // Thousandths of a CPU core.
  int64_t MilliCpu = 0;
  // Mebibytes of memory.
  int64_t MemoryMb = 0;
  // Number of accelerators; they are not divisible.
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

  // Returns true if no amount exceeds the corresponding amount of `rhs`.
  bool fitsIn(const Resources &rhs) const {
    return MilliCpu <= rhs.MilliCpu && MemoryMb <= rhs.MemoryMb &&
           Accelerators <= rhs.Accelerators;
  }
  bool isNegative() const {
    return MilliCpu < 0 || MemoryMb < 0 || Accelerators < 0;
  }
};

// Return the maximum and the minimum of each resource.
inline Resources maxOf(const Resources &a, const Resources &b) {
  return {std::max(a.MilliCpu, b.MilliCpu), std::max(a.MemoryMb, b.MemoryMb),
          std::max(a.Accelerators, b.Accelerators)};
}
inline Resources minOf(const Resources &a, const Resources &b) {
  return {std::min(a.MilliCpu, b.MilliCpu), std::min(a.MemoryMb, b.MemoryMb),
          std::min(a.Accelerators, b.Accelerators)};
}

// Returns the dominant share: the largest ratio of `part` to `whole` over all
// resources, from 0 to 1 if `part` fits in `whole`. Resources of which `whole`
// has none count as 0.
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
