// Edits of the catalogue, and the contents of the catalogue at one revision.
#ifndef JUJUBE_CATALOGUE_EDIT_H_
#define JUJUBE_CATALOGUE_EDIT_H_

#include <string>
#include <variant>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/catalogue/types.h"

namespace jujube::catalogue {

// Creates or replaces a team.
struct PutTeam {
  Team Value;
  bool operator==(const PutTeam &) const = default;
};
// Deletes a team that owns no entry and no key.
struct DeleteTeam {
  TeamId Id;
  bool operator==(const DeleteTeam &) const = default;
};
// Creates or replaces a catalogue entry.
struct PutEntry {
  Entry Value;
  bool operator==(const PutEntry &) const = default;
};
struct DeleteEntry {
  EntryId Id;
  bool operator==(const DeleteEntry &) const = default;
};
// Adds a key. The operator's client generates the secret and sends only its
// digest.
struct IssueKey {
  Key Value;
  bool operator==(const IssueKey &) const = default;
};
struct WithdrawKey {
  KeyId Id;
  bool operator==(const WithdrawKey &) const = default;
};

using Change = std::variant<PutTeam, DeleteTeam, PutEntry, DeleteEntry,
                            IssueKey, WithdrawKey>;

// One edit by an operator.
struct Edit {
  // Chosen by the operator's client. A resend with the same id gets the answer
  // to the first edit.
  EditId Id;
  // The revision that last changed the edited object when the operator read it;
  // 0 if the object did not exist.
  Revision Base;
  Change What;
  // The operator who made the edit, recorded in the history.
  std::string Author;

  bool operator==(const Edit &) const = default;
};

// An object and the revision that last changed it.
template <typename T> struct Versioned {
  T Value;
  Revision ChangedAt;

  bool operator==(const Versioned &) const = default;
};

// The catalogue at one revision.
struct Contents {
  Revision Latest;
  std::vector<Versioned<Team>> Teams;
  std::vector<Versioned<Entry>> Entries;
  std::vector<Versioned<Key>> Keys;

  bool operator==(const Contents &) const = default;
};

// One line of the history: an accepted edit.
struct HistoryLine {
  Revision At;
  EditId Edit;
  std::string Author;
  // The verb and the edited object, for example "put team events".
  std::string Summary;

  bool operator==(const HistoryLine &) const = default;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_EDIT_H_
