#include "jujube/shares/backlog.h"

#include <algorithm>

namespace jujube::shares {
namespace {

// Callers come back between these times.
constexpr Duration MinRetry = Duration::seconds(1);
constexpr Duration MaxRetry = Duration::seconds(30);

} // namespace

std::optional<Duration> refusalOf(const BacklogInput &input) {
  if (!input.IsBeyondRate)
    return std::nullopt;
  const Duration backlog = Duration::millis(
      input.QueuedWork / std::max<int64_t>(input.DueMilliCpu, 1));
  if (backlog <= input.Objective)
    return std::nullopt;
  return std::clamp(backlog - input.Objective, MinRetry, MaxRetry);
}

} // namespace jujube::shares
