#include "jujube/ctl/catalogue_plan.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "jujube/catalogue/catalogue.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

template <typename T>
const catalogue::Versioned<T> *
findIn(const std::vector<catalogue::Versioned<T>> &objects, const T &wanted) {
  const auto it = std::ranges::find_if(objects, [&wanted](const auto &object) {
    return object.Value.Id == wanted.Id;
  });
  return it == objects.end() ? nullptr : &*it;
}

std::vector<std::string> detailsOf(const std::string &before,
                                   const std::string &after) {
  const std::vector<http::FieldChange> changes =
      http::changedFields(before, after);
  std::vector<std::string> lines;
  std::ranges::transform(
      changes, std::back_inserter(lines), [](const http::FieldChange &change) {
        if (change.Before.empty())
          return absl::StrCat(change.Name, ": ", change.After);
        return absl::StrCat(change.Name, ": ", change.Before, " -> ",
                            change.After);
      });
  return lines;
}

// Appends the edits that create or replace objects.
template <typename Put, typename T>
void planPuts(const std::vector<catalogue::Versioned<T>> &current,
              const std::vector<T> &wanted, absl::string_view what,
              std::vector<PlannedEdit> &plan) {
  for (const T &value : wanted) {
    const auto *old = findIn(current, value);
    if (old && old->Value == value)
      continue;
    plan.push_back(
        {Put{value}, old ? old->ChangedAt : Revision{},
         absl::StrCat(old ? "~ " : "+ ", what, " ", value.Id.str()),
         detailsOf(old ? http::toJson(old->Value) : "", http::toJson(value))});
  }
}

// Appends the edits that delete objects.
template <typename Delete, typename T>
void planDeletions(const std::vector<catalogue::Versioned<T>> &current,
                   const std::vector<T> &wanted, absl::string_view what,
                   std::vector<PlannedEdit> &plan) {
  for (const auto &object : current) {
    const bool isWanted =
        std::ranges::any_of(wanted, [&object](const T &value) {
          return value.Id == object.Value.Id;
        });
    if (!isWanted)
      plan.push_back({Delete{object.Value.Id},
                      object.ChangedAt,
                      absl::StrCat("- ", what, " ", object.Value.Id.str()),
                      {}});
  }
}

// Returns the teams for which the catalogue has no keys.
std::vector<catalogue::Versioned<catalogue::Team>>
teamsWithoutKeys(const catalogue::Contents &current) {
  std::vector<catalogue::Versioned<catalogue::Team>> teams;
  std::ranges::copy_if(
      current.Teams, std::back_inserter(teams), [&current](const auto &team) {
        return std::ranges::none_of(current.Keys, [&team](const auto &key) {
          return key.Value.Team == team.Value.Id;
        });
      });
  return teams;
}

} // namespace

std::vector<PlannedEdit> planEdits(const catalogue::Contents &current,
                                   const http::DesiredCatalogue &wanted,
                                   bool mayDelete) {
  std::vector<PlannedEdit> plan;
  planPuts<catalogue::PutTeam>(current.Teams, wanted.Teams, "team", plan);
  planPuts<catalogue::PutEntry>(current.Entries, wanted.Entries, "entry", plan);
  if (!mayDelete)
    return plan;
  planDeletions<catalogue::DeleteEntry>(current.Entries, wanted.Entries,
                                        "entry", plan);
  planDeletions<catalogue::DeleteTeam>(teamsWithoutKeys(current), wanted.Teams,
                                       "team", plan);
  return plan;
}

Status checkPlan(const catalogue::Contents &current,
                 const std::vector<PlannedEdit> &plan) {
  Result<catalogue::Catalogue> copy =
      catalogue::Catalogue::fromContents(current);
  if (!isOk(copy))
    return errorOf(copy);
  for (std::size_t i = 0; i < plan.size(); ++i) {
    const auto verdict = valueOf(copy).apply(
        {EditId(absl::StrCat("check-", i)), plan[i].Base, plan[i].Change});
    if (isOk(verdict))
      continue;
    Error error = errorOf(verdict);
    error.Message =
        absl::StrCat(plan[i].Title, ": ", error.Message, " (no edit was made)");
    return error;
  }
  return Ok{};
}

} // namespace jujube::ctl
