// Computes the edits that bring the catalogue to the state described in a file.
// Does no I/O.
#ifndef JUJUBE_CTL_CATALOGUE_PLAN_H_
#define JUJUBE_CTL_CATALOGUE_PLAN_H_

#include <string>
#include <vector>

#include "jujube/catalogue/edit.h"
#include "jujube/http/bodies.h"

namespace jujube::ctl {

// An edit to send, with its description for the operator.
struct PlannedEdit {
  catalogue::Change Change;
  // The revision that the edit is based on; 0 for a new object.
  Revision Base;
  // For example "~ team events", followed by a line for each changed field.
  std::string Title;
  std::vector<std::string> Details;
};

// Returns the edits in a valid order: teams, then the entries that they own,
// then deletions in reverse order. Objects missing from the file are deleted
// only if `mayDelete` is set. Teams that still have keys are never deleted,
// since the catalogue would refuse it.
std::vector<PlannedEdit> planEdits(const catalogue::Contents &current,
                                   const http::DesiredCatalogue &wanted,
                                   bool mayDelete);

// Applies the edits to a copy of the catalogue, as a keeper would. Returns the
// error of the first edit that would be refused, prefixed with the edit's
// title.
Status checkPlan(const catalogue::Contents &current,
                 const std::vector<PlannedEdit> &plan);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_CATALOGUE_PLAN_H_
