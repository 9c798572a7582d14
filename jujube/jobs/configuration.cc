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
  std::set<std::pair<std::string, std::string>> routes;
  std::set<QueueId> names;
  for (const Queue &queue : config.Queues) {
    if (findPool(config, queue.Pool) == nullptr)
      return invalid(
          absl::StrCat("queue ", queue.Id.str(), " refers to an unknown pool"),
          "add the pool, or refer to a configured one");
    if (queue.Timeout <= Duration())
      return invalid(absl::StrCat("queue ", queue.Id.str(), " has no timeout"),
                     "set a timeout of at least 1 ms");
    if (!routes.emplace(queue.HostName, queue.PathPrefix).second)
      return invalid(
          absl::StrCat("queue ", queue.Id.str(),
                       " has the host name and prefix of another queue"),
          "give each queue its own host name and path prefix");
    if (!names.insert(queue.Id).second)
      return invalid(absl::StrCat("queue ", queue.Id.str(), " is listed twice"),
                     "list each queue once");
  }
  return Ok{};
}

Status validateTeams(const Configuration &config) {
  std::set<std::string> keys;
  std::set<TeamId> names;
  for (const Team &team : config.Teams) {
    if (!names.insert(team.Id).second)
      return invalid(absl::StrCat("team ", team.Id.str(), " is listed twice"),
                     "list each team once");
    if (team.Weight <= 0)
      return invalid(absl::StrCat("team ", team.Id.str(), " has no weight"),
                     "set a weight of at least 1");
    for (const std::string &key : team.Keys)
      if (!keys.insert(key).second)
        return invalid(
            absl::StrCat("a key of team ", team.Id.str(), " is listed twice"),
            "list each key once, for one team only");
  }
  return Ok{};
}

} // namespace

Status validate(const Configuration &config) {
  if (config.Version == 0)
    return invalid("the configuration has no version",
                   "set a version of at least 1");
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

QueuePlace placeOf(const Queue &queue) {
  return {queue.HostName, queue.PathPrefix};
}

const Queue *findQueue(const Configuration &config, const QueuePlace &place) {
  const auto it = std::ranges::find_if(config.Queues, [&](const Queue &queue) {
    return queue.PathPrefix == place.PathPrefix &&
           queue.HostName == place.HostName;
  });
  return it == config.Queues.end() ? nullptr : &*it;
}

const Queue *findQueue(const Configuration &config, const QueueId &id) {
  const auto it = std::ranges::find(config.Queues, id, &Queue::Id);
  return it == config.Queues.end() ? nullptr : &*it;
}

const Team *findTeam(const Configuration &config, const TeamId &id) {
  const auto it = std::ranges::find(config.Teams, id, &Team::Id);
  return it == config.Teams.end() ? nullptr : &*it;
}

const Pool *findPool(const Configuration &config, const PoolId &id) {
  const auto it = std::ranges::find(config.Pools, id, &Pool::Id);
  return it == config.Pools.end() ? nullptr : &*it;
}

const Team *teamOfKey(const Configuration &config, absl::string_view key) {
  const auto it = std::ranges::find_if(config.Teams, [&](const Team &team) {
    return std::ranges::find(team.Keys, key) != team.Keys.end();
  });
  return it == config.Teams.end() ? nullptr : &*it;
}

} // namespace jujube::jobs
