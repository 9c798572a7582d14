#include "jujube/jobs/withdrawals.h"

#include <algorithm>
#include <iterator>

namespace jujube::jobs {

bool Withdrawals::hasRoomFor(const TeamId &team) const {
  const auto it = TeamSizes.find(team);
  return ByJob.size() < MaxTotal &&
         (it == TeamSizes.end() || it->second < MaxPerTeam);
}

void Withdrawals::record(const JobId &job, const Owner &by) {
  if (contains(job, by) || !hasRoomFor(by.Team))
    return;
  ByJob.emplace(job, by);
  ++TeamSizes[by.Team];
}

bool Withdrawals::contains(const JobId &job, const Owner &by) const {
  const auto [begin, end] = ByJob.equal_range(job);
  return std::any_of(
      begin, end, [&](const auto &it) { return isSameOwner(it.second, by); });
}

void Withdrawals::forget(const JobId &job) {
  const auto [begin, end] = ByJob.equal_range(job);
  for (auto it = begin; it != end; ++it)
    if (--TeamSizes[it->second.Team] == 0)
      TeamSizes.erase(it->second.Team);
  ByJob.erase(begin, end);
}

void Withdrawals::updateOwners(const std::function<void(Owner &)> &update) {
  TeamSizes.clear();
  for (auto &[job, by] : ByJob) {
    update(by);
    ++TeamSizes[by.Team];
  }
}

std::vector<Withdrawal> Withdrawals::capture() const {
  std::vector<Withdrawal> state;
  std::ranges::transform(ByJob, std::back_inserter(state), [](const auto &it) {
    return Withdrawal{it.first, it.second};
  });
  return state;
}

Withdrawals Withdrawals::restore(const std::vector<Withdrawal> &state) {
  Withdrawals restored;
  for (const auto &[job, by] : state) {
    restored.ByJob.emplace(job, by);
    ++restored.TeamSizes[by.Team];
  }
  return restored;
}

} // namespace jujube::jobs
