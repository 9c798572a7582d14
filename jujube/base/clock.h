// Durations and instants in milliseconds, and the clocks that return them.
//
// Decision code does not read a clock; its callers pass the current Instant.
// Tasks own a Clock and tests own a ManualClock.
#ifndef JUJUBE_BASE_CLOCK_H_
#define JUJUBE_BASE_CLOCK_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>

namespace jujube {

// A signed duration in whole milliseconds.
class Duration {
public:
  constexpr Duration() = default;
  static constexpr Duration millis(int64_t n) { return Duration(n); }
  static constexpr Duration seconds(int64_t n) { return Duration(n * 1000); }
  static constexpr Duration minutes(int64_t n) { return seconds(n * 60); }

  constexpr int64_t millis() const { return Ms; }

  constexpr auto operator<=>(const Duration &) const = default;
  constexpr Duration operator+(Duration rhs) const {
    return Duration(Ms + rhs.Ms);
  }
  constexpr Duration operator-(Duration rhs) const {
    return Duration(Ms - rhs.Ms);
  }
  constexpr Duration operator*(int64_t n) const { return Duration(Ms * n); }
  constexpr Duration operator/(int64_t n) const { return Duration(Ms / n); }

private:
  constexpr explicit Duration(int64_t n) : Ms(n) {}
  int64_t Ms = 0;
};

// A point in time, in milliseconds since the origin of the clock that returned
// it. Instants of different hosts must not be compared.
class Instant {
public:
  constexpr Instant() = default;
  static constexpr Instant fromMillis(int64_t n) { return Instant(n); }
  // Later than every instant that a clock returns.
  static constexpr Instant never() { return Instant(INT64_MAX / 4); }

  constexpr int64_t millis() const { return Ms; }

  constexpr auto operator<=>(const Instant &) const = default;
  constexpr Instant operator+(Duration d) const {
    return Instant(Ms + d.millis());
  }
  constexpr Instant operator-(Duration d) const {
    return Instant(Ms - d.millis());
  }
  constexpr Duration operator-(Instant rhs) const {
    return Duration::millis(Ms - rhs.Ms);
  }

private:
  constexpr explicit Instant(int64_t n) : Ms(n) {}
  int64_t Ms = 0;
};

// Returns the current instant from a time source. Copies share the source.
class Clock {
public:
  explicit Clock(std::function<Instant()> source) : Source(std::move(source)) {}

  // Monotonic time of this host. Changes of the wall clock do not affect it,
  // and it includes the time during which the host was suspended.
  static Clock monotonic();
  // Milliseconds since 1970-01-01 UTC. Use it only for timestamps that people
  // read.
  static Clock wall();

  Instant now() const { return Source(); }

private:
  std::function<Instant()> Source;
};

// A clock for tests whose time changes only in advance().
class ManualClock {
public:
  ManualClock() : Current(std::make_shared<Instant>()) {}

  Clock clock() const {
    return Clock([current = Current] { return *current; });
  }
  Instant now() const { return *Current; }
  void advance(Duration d) { *Current = *Current + d; }

private:
  std::shared_ptr<Instant> Current;
};

} // namespace jujube

#endif // JUJUBE_BASE_CLOCK_H_
