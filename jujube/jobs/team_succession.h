// Which team owns what was submitted under an earlier configuration.
#ifndef JUJUBE_JOBS_TEAM_SUCCESSION_H_
#define JUJUBE_JOBS_TEAM_SUCCESSION_H_

#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "jujube/jobs/configuration.h"
#include "jujube/jobs/types.h"

namespace jujube::jobs {

// Follows teams by their keys, because callers know their team by its keys only
// and the operators may change its id, merge teams, or divide them.
class TeamSuccession {
public:
  // `former` are the teams of earlier configurations, with the keys that they
  // had last; it is read during the construction only.
  TeamSuccession(const std::map<TeamId, Team> &former,
                 const Configuration &now);

  // Sets the team that the owner's key belongs to now. If the key has been
  // withdrawn, the owner continues with another key of its team; if the team
  // has none that is still in force, the owner stays as it is.
  void update(Owner &owner) const;
  // The team that continues a former team: that with one of its keys, or the
  // team itself.
  TeamId successorOf(const TeamId &team) const;
  // The former teams that continue under another id.
  const std::map<TeamId, TeamId> &successors() const { return Successors; }

private:
  absl::flat_hash_map<std::string, TeamId> TeamOfKey;
  // A key of each former team that is still in force.
  std::map<TeamId, Owner> Continued;
  std::map<TeamId, TeamId> Successors;
};

} // namespace jujube::jobs

#endif // JUJUBE_JOBS_TEAM_SUCCESSION_H_
