// Access checks of an entry host against its copy of the catalogue.
#ifndef JUJUBE_ENTRY_ACCESS_H_
#define JUJUBE_ENTRY_ACCESS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "jujube/api/commands.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/follower.h"
#include "jujube/fate/types.h"

namespace jujube::entry {

// Maximum number of tasks of one request.
inline constexpr uint32_t MaxTasks = 10'000;

// Returns the team that is charged for work of `entry`: the team of the key, or
// the entry's owner if the entry is open and no key is given. Fails with
// PermissionDenied if the entry is not open and belongs to another team. A call
// without a key to an open entry succeeds even if the copy is stale.
Result<TeamId> actingTeam(const catalogue::CatalogueFollower &copy,
                          const catalogue::Entry &entry,
                          const std::string &presentedKey, Instant now);

// Returns the entry, or NotFound.
Result<catalogue::Entry> findEntry(const catalogue::CatalogueFollower &copy,
                                   const EntryId &id);

// Validates a submission and converts it to the form that the home zone
// accepts. Fails with ImpossibleRequest if one task, or the whole gang, needs
// more than the team's ceiling.
Result<fate::Submission> admit(const catalogue::CatalogueFollower &copy,
                               const api::Submit &submit, Instant now);

// Returns Ok if `presented` equals `secret`, otherwise Unauthenticated.
// `tokenName` names the token in the error text.
Status checkToken(absl::string_view tokenName, const std::string &presented,
                  const std::string &secret);

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ACCESS_H_
