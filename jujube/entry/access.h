// Who may do what at an entry host: pure checks against the catalogue copy.
#ifndef JUJUBE_ENTRY_ACCESS_H_
#define JUJUBE_ENTRY_ACCESS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "jujube/api/commands.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/follower.h"
#include "jujube/fate/types.h"

namespace jujube::entry {

// Most tasks of one request.
inline constexpr uint32_t MaxTasks = 10'000;

// The team on whose account work of an entry is done: that of the key, or the
// owner if the entry is open and no key is given. An open entry without a key
// needs no fresh copy.
Result<TeamId> actingTeam(const catalogue::CatalogueFollower &copy,
                          const catalogue::Entry &entry,
                          const std::string &presentedKey, Instant now);

// The entry, or NotFound.
Result<catalogue::Entry> findEntry(const catalogue::CatalogueFollower &copy,
                                   const EntryId &id);

// Checks a submission and returns it as the home zone takes it. Work that the
// team's ceiling could never hold is ImpossibleRequest.
Result<fate::Submission> admit(const catalogue::CatalogueFollower &copy,
                               const api::Submit &submit, Instant now);

// Ok if `presented` is the secret; `what` names it in the error.
Status checkToken(absl::string_view what, const std::string &presented,
                  const std::string &secret);

} // namespace jujube::entry

#endif // JUJUBE_ENTRY_ACCESS_H_
