#include "jujube/jobs/team_succession.h"

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

namespace jujube::jobs {
namespace {

using Keys = std::vector<std::string>;

const TeamId A("a");
const TeamId B("b");

Configuration configOf(const std::vector<std::pair<TeamId, Keys>> &teams) {
  Configuration config;
  for (const auto &[id, keys] : teams)
    config.Teams.push_back({id, keys, 1, {}});
  return config;
}

std::map<TeamId, Team>
formerOf(const std::vector<std::pair<TeamId, Keys>> &teams) {
  std::map<TeamId, Team> former;
  for (const Team &team : configOf(teams).Teams)
    former.emplace(team.Id, team);
  return former;
}

Owner updated(const TeamSuccession &succession, Owner owner) {
  succession.update(owner);
  return owner;
}

BOOST_AUTO_TEST_SUITE(TeamSuccessionTest)

// Guards against jobs that nobody can reach once their team is merged into
// another one (review/12).
BOOST_AUTO_TEST_CASE(OwnerFollowsItsKeyIntoATeamThatStays) {
  const TeamSuccession merged(formerOf({{A, {"k1"}}, {B, {"k2"}}}),
                              configOf({{A, {"k1", "k2"}}}));
  BOOST_TEST((updated(merged, {B, "k2"}) == Owner{A, "k2"}));
  BOOST_TEST((updated(merged, {A, "k1"}) == Owner{A, "k1"}));
  BOOST_TEST((merged.successors() == std::map<TeamId, TeamId>{{B, A}}));
  // And back, when the team is divided again.
  const TeamSuccession divided(formerOf({{A, {"k1", "k2"}}}),
                               configOf({{A, {"k1"}}, {B, {"k2"}}}));
  BOOST_TEST((updated(divided, {A, "k2"}) == Owner{B, "k2"}));
  BOOST_TEST((updated(divided, {A, "k1"}) == Owner{A, "k1"}));
  BOOST_TEST(divided.successors().empty());
}

// Guards against jobs of which another team becomes the owner.
BOOST_AUTO_TEST_CASE(OwnersOfTeamsThatExchangeTheirIdsKeepTheirKeys) {
  const TeamSuccession swapped(formerOf({{A, {"k1"}}, {B, {"k2"}}}),
                               configOf({{A, {"k2"}}, {B, {"k1"}}}));
  BOOST_TEST((updated(swapped, {A, "k1"}) == Owner{B, "k1"}));
  BOOST_TEST((updated(swapped, {B, "k2"}) == Owner{A, "k2"}));
  BOOST_TEST(
      (swapped.successors() == std::map<TeamId, TeamId>{{A, B}, {B, A}}));
}

// Guards against jobs that lose their team when the key that they were
// submitted with is withdrawn.
BOOST_AUTO_TEST_CASE(OwnerOfAWithdrawnKeyContinuesWithAnotherKeyOfItsTeam) {
  const auto former = formerOf({{A, {"k1", "k2"}}});
  const TeamSuccession rotated(former, configOf({{A, {"k2", "k3"}}}));
  BOOST_TEST((updated(rotated, {A, "k1"}) == Owner{A, "k2"}));
  const TeamSuccession renamed(former, configOf({{B, {"k2"}}}));
  BOOST_TEST((updated(renamed, {A, "k1"}) == Owner{B, "k2"}));
  // A key that the team has kept is preferred.
  const TeamSuccession divided(former, configOf({{B, {"k1"}}, {A, {"k2"}}}));
  BOOST_TEST((updated(divided, {A, ""}) == Owner{A, "k2"}));
  BOOST_TEST((divided.successorOf(A) == A));
}

BOOST_AUTO_TEST_CASE(OwnerWithoutASuccessorStays) {
  const auto former = formerOf({{A, {"k1"}}});
  const TeamSuccession replaced(former, configOf({{A, {"k9"}}}));
  BOOST_TEST((updated(replaced, {A, "k1"}) == Owner{A, "k1"}));
  const TeamSuccession gone(former, configOf({}));
  BOOST_TEST((updated(gone, {A, "k1"}) == Owner{A, "k1"}));
  BOOST_TEST((updated(gone, Owner()) == Owner()));
  BOOST_TEST(gone.successors().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::jobs
