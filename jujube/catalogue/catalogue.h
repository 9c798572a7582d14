// The catalogue as a replicated state machine: every keeper applies the same
// edits in the same order and reaches the same verdicts.
#ifndef JUJUBE_CATALOGUE_CATALOGUE_H_
#define JUJUBE_CATALOGUE_CATALOGUE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"

#include "jujube/base/ids.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/edit.h"
#include "jujube/catalogue/tombstone_set.h"

namespace jujube::catalogue {

// Outcomes of edits that are remembered for resends.
inline constexpr std::size_t MaxOutcomes = 8192;
// Accepted edits that are kept for followers which lag behind.
inline constexpr std::size_t MaxRecentEdits = 1024;
// Lines of history that are kept.
inline constexpr std::size_t MaxHistory = 4096;
inline constexpr std::size_t MaxTeams = 1000;
inline constexpr std::size_t MaxEntries = 20'000;
inline constexpr std::size_t MaxKeys = 20'000;
// Withdrawn key ids that are remembered, so that none is issued again.
inline constexpr std::size_t MaxWithdrawnKeys = 65'536;
// Deleted teams and entries that are remembered, to name what beat an edit.
inline constexpr std::size_t MaxDeleted = 4096;

// The first answer to an edit.
struct Outcome {
  EditId Edit;
  // Tells a resend from another edit with the same id.
  std::string Fingerprint;
  Result<Revision> Answer;

  bool operator==(const Outcome &) const = default;
};

// Everything that a snapshot of the catalogue holds.
struct State {
  Contents Current;
  // Deleted teams and entries, and withdrawn keys, oldest first.
  std::vector<Tombstone> Deleted;
  std::vector<Tombstone> WithdrawnKeys;
  std::vector<Outcome> Outcomes;
  std::vector<Edit> RecentEdits;
  std::vector<HistoryLine> History;

  bool operator==(const State &) const = default;
};

// What a follower needs to reach revision `To`: either the accepted edits after
// `From`, one per revision, or all contents.
struct Update {
  Revision From;
  Revision To;
  std::vector<Edit> Edits;
  std::optional<Contents> Snapshot;
  // True if a majority of keepers confirmed, after the follower's poll
  // arrived, that `To` is the latest revision.
  bool IsConfirmed = false;

  bool operator==(const Update &) const = default;
};

// The replicated catalogue. Not thread-safe; owned by one task.
class Catalogue {
public:
  // Applies one edit and returns the revision that holds it. A resend with the
  // same edit id returns the first answer, whatever it was. RevisionConflict
  // names the revision that the edit lost to.
  Result<Revision> apply(const Edit &edit);

  // The verdict that apply() would give; changes nothing.
  Result<Revision> check(const Edit &edit) const;

  // Null if there is none.
  const Team *findTeam(const TeamId &id) const;
  const Entry *findEntry(const EntryId &id) const;
  const Key *findKey(const KeyId &id) const;

  // Returns the team of a presented key "KEYID.SECRET"; Unauthenticated if the
  // key is malformed, unknown or withdrawn.
  Result<TeamId> authenticate(absl::string_view presented) const;

  Revision latest() const { return Latest; }
  Contents contents() const;
  // The newest lines, newest first.
  std::vector<HistoryLine> history(std::size_t n) const;

  // What a follower at `have` lacks. IsConfirmed is left to the caller.
  Update updateSince(Revision have) const;

  State state() const;
  static Result<Catalogue> fromState(State state);
  // A copy without history and outcomes, as followers hold it.
  static Result<Catalogue> fromContents(Contents contents);

private:
  friend class CatalogueFollower;
  template <typename T>
  using Table = absl::btree_map<std::string, Versioned<T>>;

  const Outcome *findOutcome(const EditId &id) const;
  // The revision that last changed the edited object, if it exists.
  std::optional<Revision> changedAt(const Change &change) const;
  Status checkBase(const Edit &edit) const;
  Status checkReferences(const Change &change) const;
  Status checkUnused(const TeamId &id) const;
  // Changes the tables. Precondition: the edit was accepted.
  void change(const Edit &edit);
  void remember(const Edit &edit, const Result<Revision> &answer);

  Revision Latest;
  Table<Team> Teams;
  Table<Entry> Entries;
  Table<Key> Keys;
  TombstoneSet Deleted{MaxDeleted};
  TombstoneSet WithdrawnKeys{MaxWithdrawnKeys};
  absl::btree_map<EditId, Outcome> Outcomes;
  std::deque<EditId> OutcomeOrder;
  std::deque<Edit> RecentEdits;
  std::deque<HistoryLine> History;
};

} // namespace jujube::catalogue

#endif // JUJUBE_CATALOGUE_CATALOGUE_H_
