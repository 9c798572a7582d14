#include "jujube/jobs/configuration.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace jujube::jobs {
namespace {

Error invalid(const std::string &message, const std::string &remedy) {
  return Error{ErrorKind::InvalidArgument, message, remedy};
}

Status validateQueues(const Configuration &config) {
  std::set<std::pair<std::string, std::string>> places;
  std::set<QueueId> names;
  for (const Queue &queue : config.Queues) {
    const bool hasPool = std::ranges::any_of(
        config.Pools, [&](const Pool &it) { return it.Id == queue.Pool; });
    if (!hasPool)
      return invalid(
          absl::StrCat("queue ", queue.Id.str(), " names an unknown pool"),
          "add the pool or name another one");
    if (queue.Timeout <= Duration())
      return invalid(absl::StrCat("queue ", queue.Id.str(), " has no timeout"),
                     "give it a timeout of at least 1 ms");
    if (!places.emplace(queue.HostName, queue.PathPrefix).second)
      return invalid(absl::StrCat("queue ", queue.Id.str(),
                                  " has the place of another queue"),
                     "give each queue its own host name and prefix");
    if (!names.insert(queue.Id).second)
      return invalid(absl::StrCat("queue ", queue.Id.str(), " is named twice"),
                     "name each queue once");
  }
  return Ok{};
}

Status validateTeams(const Configuration &config) {
  std::set<std::string> keys;
  std::set<TeamId> names;
  for (const Team &team : config.Teams) {
    if (!names.insert(team.Id).second)
      return invalid(absl::StrCat("team ", team.Id.str(), " is named twice"),
                     "name each team once");
    if (team.Weight <= 0)
      return invalid(absl::StrCat("team ", team.Id.str(), " has no weight"),
                     "give it a weight of at least 1");
    for (const std::string &key : team.Keys)
      if (!keys.insert(key).second)
        return invalid(
            absl::StrCat("a key of team ", team.Id.str(), " is not unique"),
            "issue each key to one team");
  }
  return Ok{};
}

} // namespace

Status validate(const Configuration &config) {
  if (config.Version == 0)
    return invalid("the configuration has no version", "number it from 1");
  if (Status status = validateQueues(config); !isOk(status))
    return status;
  return validateTeams(config);
}

const Queue *findQueue(const Configuration &config, absl::string_view hostName,
                       absl::string_view path) {
  const Queue *best = nullptr;
  for (const Queue &queue : config.Queues) {
    if (queue.HostName != hostName || !absl::StartsWith(path, queue.PathPrefix))
      continue;
    if (best == nullptr || queue.PathPrefix.size() > best->PathPrefix.size())
      best = &queue;
  }
  return best;
}

const Queue *findQueue(const Configuration &config, const QueueId &id) {
  const auto it = std::ranges::find(config.Queues, id, &Queue::Id);
  return it == config.Queues.end() ? nullptr : &*it;
}

const Team *findTeam(const Configuration &config, const TeamId &id) {
  const auto it = std::ranges::find(config.Teams, id, &Team::Id);
  return it == config.Teams.end() ? nullptr : &*it;
}

const Team *teamOfKey(const Configuration &config, absl::string_view key) {
  const auto it = std::ranges::find_if(config.Teams, [&](const Team &team) {
    return std::ranges::find(team.Keys, key) != team.Keys.end();
  });
  return it == config.Teams.end() ? nullptr : &*it;
}

} // namespace jujube::jobs
