#include "jujube/keeper/host_roster.h"

#include <algorithm>
#include <iterator>

namespace jujube::keeper {
namespace {

bool isSameStatus(const wire::HostStatus &a, const wire::HostStatus &b) {
  return a.Host == b.Host && a.IsLeader == b.IsLeader &&
         a.LeaderTerm == b.LeaderTerm;
}

} // namespace

void HostRoster::lead(Term term) { Version = {term, 1}; }

bool HostRoster::record(const wire::HostStatus &status, Instant now) {
  const auto [it, isNew] = Entries.try_emplace(status.Host.Id);
  if (isNew || !isSameStatus(it->second.Status, status))
    ++Version.Change;
  it->second = {status, now};
  return isNew;
}

void HostRoster::expire(Instant now) {
  const auto removed = std::erase_if(Entries, [&](const auto &item) {
    return item.second.LastSeen + Timeout <= now;
  });
  if (removed > 0)
    ++Version.Change;
}

std::vector<wire::HostStatus> HostRoster::hosts() const {
  std::vector<wire::HostStatus> all;
  std::ranges::transform(Entries, std::back_inserter(all),
                         [](const auto &item) { return item.second.Status; });
  return all;
}

} // namespace jujube::keeper
