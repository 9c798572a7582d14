// Checks of an edit that do not depend on the contents of the catalogue, and
// textual descriptions of edits.
#ifndef JUJUBE_CATALOGUE_VALIDATION_H_
#define JUJUBE_CATALOGUE_VALIDATION_H_

#include <string>

#include "jujube/base/result.h"
#include "jujube/catalogue/edit.h"

namespace jujube::catalogue::internal {

// Maximum number of tasks of one request.
inline constexpr uint32_t MaxTasksPerRequest = 10'000;

// Return InvalidArgument, with the invalid field and a remedy, if a field of
// the change or edit is invalid.
Status checkChange(const Change &change);
Status checkEdit(const Edit &edit);

// Returns the kind and id of the changed object, for example "team events",
// "entry invoices" or "key k1".
std::string objectOf(const Change &change);
// Returns "put", "delete", "issue" or "withdraw".
absl::string_view verbOf(const Change &change);

// Returns a digest of all fields of the edit except its id, which distinguishes
// a resend from a different edit with the same id.
std::string fingerprintOf(const Edit &edit);

} // namespace jujube::catalogue::internal

#endif // JUJUBE_CATALOGUE_VALIDATION_H_
