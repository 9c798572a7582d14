// The catalogue as a replicated state machine. Every keeper applies the same
// edits in the same order and therefore accepts and refuses the same edits.
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

// Number of edit outcomes that are kept to answer resends.
inline constexpr std::size_t MaxOutcomes = 8192;
// Number of accepted edits that are kept for followers that lag behind.
inline constexpr std::size_t MaxRecentEdits = 1024;
// Number of history lines that are kept.
inline constexpr std::size_t MaxHistory = 4096;
inline constexpr std::size_t MaxTeams = 1000;
inline constexpr std::size_t MaxEntries = 20'000;
inline constexpr std::size_t MaxKeys = 20'000;
// Number of withdrawn key ids that are kept, so that none of them is issued
// again.
inline constexpr std::size_t MaxWithdrawnKeys = 65'536;
// Number of deleted teams and entries that are kept, so that a conflict error
// can name the revision that deleted the object.
inline constexpr std::size_t MaxDeleted = 4096;

// The first answer to an edit.
struct Outcome {
  EditId Edit;
  // Distinguishes a resend from a different edit with the same id.
  std::string Fingerprint;
  Result<Revision> Answer;

  bool operator==(const Outcome &) const = default;
};

// The contents of a snapshot of the catalogue.
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

// The data that brings a follower to revision `To`: either the accepted edits
// after `From`, one per revision, or the whole contents.
struct Update {
  Revision From;
  Revision To;
  std::vector<Edit> Edits;
  std::optional<Contents> Snapshot;
  // True if a majority of keepers confirmed, after the follower's poll arrived,
  // that `To` is the latest revision.
  bool IsConfirmed = false;

  bool operator==(const Update &) const = default;
};

// The replicated catalogue. Owned by one task; not thread-safe.
class Catalogue {
public:
  // Applies one edit and returns the revision that it creates. A resend with
  // the same edit id returns the first answer, even if that was an error. A
  // RevisionConflict error names the revision that the edit conflicts with, if
  // it is still recorded.
  Result<Revision> apply(const Edit &edit);

  // Returns the result that apply() would return, without changing anything.
  Result<Revision> check(const Edit &edit) const;

  // Return null if there is no such object.
  const Team *findTeam(const TeamId &id) const;
  const Entry *findEntry(const EntryId &id) const;
  const Key *findKey(const KeyId &id) const;

  // Returns the team of a presented key "KEYID.SECRET". Fails with
  // Unauthenticated if the key is malformed, unknown or withdrawn.
  Result<TeamId> authenticate(absl::string_view presented) const;

  Revision latest() const { return Latest; }
  Contents contents() const;
  // Returns at most `n` lines of history, newest first.
  std::vector<HistoryLine> history(std::size_t n) const;

  // Returns the update for a follower at revision `have`. The caller sets
  // IsConfirmed.
  Update updateSince(Revision have) const;

  State state() const;
  static Result<Catalogue> fromState(State state);
  // Returns a copy without history and outcomes, for use by followers.
  static Result<Catalogue> fromContents(Contents contents);

private:
  friend class CatalogueFollower;
  template <typename T>
  using Table = absl::btree_map<std::string, Versioned<T>>;

  const Outcome *findOutcome(const EditId &id) const;
  // Returns the revision that last changed the object, or nullopt if it does
  // not exist.
  std::optional<Revision> changedAt(const Change &change) const;
  Status checkBaseRevision(const Edit &edit) const;
  Status checkReferences(const Change &change) const;
  Status checkTeamUnused(const TeamId &id) const;
  // Applies the edit to the tables. Precondition: check() accepted the edit, on
  // this host or on the keeper that it came from.
  void applyAccepted(const Edit &edit);
  void recordOutcome(const Edit &edit, const Result<Revision> &answer);

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
