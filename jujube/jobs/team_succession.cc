#include "jujube/jobs/team_succession.h"

namespace jujube::jobs {

TeamSuccession::TeamSuccession(const std::map<TeamId, Team> &former,
                               const Configuration &now) {
  for (const Team &team : now.Teams)
    for (const std::string &key : team.Keys)
      TeamOfKey.emplace(key, team.Id);
  for (const auto &[id, team] : former) {
    for (const std::string &key : team.Keys) {
      const auto it = TeamOfKey.find(key);
      // A key that the team has kept is preferred to one that has moved.
      if (it != TeamOfKey.end() &&
          (!Continued.contains(id) || it->second == id))
        Continued.insert_or_assign(id, Owner{it->second, key});
    }
    if (successorOf(id) != id)
      Successors.emplace(id, successorOf(id));
  }
}

void TeamSuccession::update(Owner &owner) const {
  const auto team = TeamOfKey.find(owner.Key);
  const auto continued = Continued.find(owner.Team);
  if (!owner.Key.empty() && team != TeamOfKey.end())
    owner.Team = team->second;
  else if (continued != Continued.end())
    owner = continued->second;
}

TeamId TeamSuccession::successorOf(const TeamId &team) const {
  const auto it = Continued.find(team);
  return it == Continued.end() ? team : it->second.Team;
}

} // namespace jujube::jobs
