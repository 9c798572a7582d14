// What an edit must satisfy whatever the catalogue holds, and its texts.
#ifndef JUJUBE_CATALOGUE_VALIDATION_H_
#define JUJUBE_CATALOGUE_VALIDATION_H_

#include <string>

#include "jujube/base/result.h"
#include "jujube/catalogue/edit.h"

namespace jujube::catalogue::internal {

// The most tasks that one request may have.
inline constexpr uint32_t MaxTasksPerRequest = 10'000;

// InvalidArgument names the field and the remedy.
Status checkChange(const Change &change);
Status checkEdit(const Edit &edit);

// "team events", "entry invoices" or "key k1".
std::string objectOf(const Change &change);
// "put", "delete", "issue" or "withdraw".
absl::string_view verbOf(const Change &change);

// Digest over all fields, to tell a resend from another edit.
std::string fingerprintOf(const Edit &edit);

} // namespace jujube::catalogue::internal

#endif // JUJUBE_CATALOGUE_VALIDATION_H_
