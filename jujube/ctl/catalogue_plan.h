// Which edits turn the catalogue into what a file says. Pure.
#ifndef JUJUBE_CTL_CATALOGUE_PLAN_H_
#define JUJUBE_CTL_CATALOGUE_PLAN_H_

#include <string>
#include <vector>

#include "jujube/catalogue/edit.h"
#include "jujube/http/bodies.h"

namespace jujube::ctl {

// An edit to be made and how it is shown.
struct PlannedEdit {
  catalogue::Change What;
  // The revision that the edit builds on; 0 for a new object.
  Revision Base;
  // For example "~ team events", followed by a line for each changed field.
  std::string Title;
  std::vector<std::string> Details;
};

// Returns the edits in an order in which each is valid: teams, then entries
// that they own, then deletions in reverse. Objects that the file lacks are
// deleted only if `mayDelete`; a team that still has keys is not, since the
// catalogue would refuse it.
std::vector<PlannedEdit> planEdits(const catalogue::Contents &current,
                                   const http::DesiredCatalogue &wanted,
                                   bool mayDelete);

// Makes the edits on a copy of the catalogue, as a keeper would. Returns the
// first one's error, with the edit's title, if any would be refused.
Status checkPlan(const catalogue::Contents &current,
                 const std::vector<PlannedEdit> &plan);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_CATALOGUE_PLAN_H_
