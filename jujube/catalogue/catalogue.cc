#include "jujube/catalogue/catalogue.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "jujube/base/digest.h"
#include "jujube/catalogue/validation.h"

namespace jujube::catalogue {
namespace {

using internal::objectOf;

template <typename T> void trim(std::deque<T> &items, std::size_t max) {
  while (items.size() > max)
    items.pop_front();
}

template <typename Table, typename Value>
void put(Table &table, const Value &value, Revision at) {
  table.insert_or_assign(value.Id.str(), Versioned<Value>{value, at});
}

template <typename Table>
const auto *findIn(const Table &table, const std::string &id) {
  const auto it = table.find(id);
  return it == table.end() ? nullptr : &it->second;
}

template <typename Table> auto valuesOf(const Table &table) {
  std::vector<typename Table::mapped_type> values;
  values.reserve(table.size());
  for (const auto &[id, value] : table)
    values.push_back(value);
  return values;
}

Error notFound(absl::string_view kind, const std::string &id,
               absl::string_view remedy) {
  return {ErrorKind::NotFound, absl::StrCat("there is no ", kind, " ", id),
          std::string(remedy)};
}

Error conflict(const Edit &edit, Revision winner, absl::string_view verb) {
  return {ErrorKind::RevisionConflict,
          absl::StrCat(objectOf(edit.What), " was ", verb, " by revision ",
                       winner.Value, ", and the edit was made against ",
                       edit.Base.Value),
          "read the catalogue, make the edit against what it holds now, and "
          "send it with a new edit id"};
}

Error unauthenticated(absl::string_view message) {
  return {ErrorKind::Unauthenticated, std::string(message),
          "present a valid key in the form KEYID.SECRET; operators issue keys"};
}

Error limitExceeded(absl::string_view objects, std::size_t max) {
  return {ErrorKind::LimitExceeded,
          absl::StrCat("the catalogue holds ", max, " ", objects),
          absl::StrCat("delete ", objects, " that are not used any more")};
}

} // namespace

Result<Revision> Catalogue::apply(const Edit &edit) {
  Result<Revision> verdict = check(edit);
  if (findOutcome(edit.Id) != nullptr)
    return verdict;
  if (isOk(verdict)) {
    applyAccepted(edit);
    RecentEdits.push_back(edit);
    trim(RecentEdits, MaxRecentEdits);
    History.push_back(
        {Latest, edit.Id, edit.Author,
         absl::StrCat(internal::verbOf(edit.What), " ", objectOf(edit.What))});
    trim(History, MaxHistory);
  }
  recordOutcome(edit, verdict);
  return verdict;
}

Result<Revision> Catalogue::check(const Edit &edit) const {
  if (const Outcome *outcome = findOutcome(edit.Id)) {
    if (outcome->Fingerprint == internal::fingerprintOf(edit))
      return outcome->Answer;
    return Error{ErrorKind::DuplicateRequest,
                 absl::StrCat("edit id ", edit.Id.str(),
                              " was already used for a different edit"),
                 "send this edit with a new edit id"};
  }
  if (const Status status = internal::checkEdit(edit); !isOk(status))
    return errorOf(status);
  if (const Status status = checkBaseRevision(edit); !isOk(status))
    return errorOf(status);
  if (const Status status = checkReferences(edit.What); !isOk(status))
    return errorOf(status);
  return Latest.next();
}

const Team *Catalogue::findTeam(const TeamId &id) const {
  const auto *found = findIn(Teams, id.str());
  return found == nullptr ? nullptr : &found->Value;
}

const Entry *Catalogue::findEntry(const EntryId &id) const {
  const auto *found = findIn(Entries, id.str());
  return found == nullptr ? nullptr : &found->Value;
}

const Key *Catalogue::findKey(const KeyId &id) const {
  const auto *found = findIn(Keys, id.str());
  return found == nullptr ? nullptr : &found->Value;
}

Result<TeamId> Catalogue::authenticate(absl::string_view presented) const {
  if (presented.empty())
    return unauthenticated("no key was presented");
  const std::size_t dot = presented.rfind('.');
  if (dot == absl::string_view::npos || dot == 0 || dot + 1 == presented.size())
    return unauthenticated("the key does not have the form KEYID.SECRET");
  const Key *key = findKey(KeyId(std::string(presented.substr(0, dot))));
  // The digest is also computed for unknown keys, so that the response time
  // does not reveal which key ids exist.
  const std::string digest =
      saltedDigest(key == nullptr ? "" : key->Salt, presented.substr(dot + 1));
  if (key == nullptr || !equalDigests(digest, key->Digest))
    return unauthenticated("the key is unknown or withdrawn");
  return key->Team;
}

Contents Catalogue::contents() const {
  return {Latest, valuesOf(Teams), valuesOf(Entries), valuesOf(Keys)};
}

std::vector<HistoryLine> Catalogue::history(std::size_t n) const {
  const auto count = static_cast<std::ptrdiff_t>(std::min(n, History.size()));
  return {History.rbegin(), History.rbegin() + count};
}

Update Catalogue::updateSince(Revision have) const {
  Update update{have, Latest, {}, std::nullopt, false};
  if (have > Latest)
    return update;
  const std::size_t lag = Latest.Value - have.Value;
  if (lag > RecentEdits.size()) {
    update.Snapshot = contents();
    return update;
  }
  update.Edits.assign(RecentEdits.end() - static_cast<std::ptrdiff_t>(lag),
                      RecentEdits.end());
  return update;
}

State Catalogue::state() const {
  State state{contents(), Deleted.list(), WithdrawnKeys.list(), {}, {}, {}};
  for (const EditId &id : OutcomeOrder)
    state.Outcomes.push_back(Outcomes.at(id));
  state.RecentEdits.assign(RecentEdits.begin(), RecentEdits.end());
  state.History.assign(History.begin(), History.end());
  return state;
}

Result<Catalogue> Catalogue::fromState(State state) {
  Result<Catalogue> result = fromContents(std::move(state.Current));
  if (!isOk(result))
    return result;
  Catalogue &catalogue = valueOf(result);
  if (state.RecentEdits.size() > catalogue.Latest.Value)
    return Error{ErrorKind::CorruptData,
                 "the snapshot holds more edits than revisions",
                 "restore this keeper from another one"};
  for (Tombstone &tombstone : state.Deleted)
    catalogue.Deleted.insert(std::move(tombstone));
  for (Tombstone &tombstone : state.WithdrawnKeys)
    catalogue.WithdrawnKeys.insert(std::move(tombstone));
  for (Outcome &outcome : state.Outcomes) {
    catalogue.OutcomeOrder.push_back(outcome.Edit);
    catalogue.Outcomes.insert_or_assign(outcome.Edit, std::move(outcome));
  }
  catalogue.RecentEdits.assign(state.RecentEdits.begin(),
                               state.RecentEdits.end());
  catalogue.History.assign(state.History.begin(), state.History.end());
  return result;
}

Result<Catalogue> Catalogue::fromContents(Contents contents) {
  Catalogue catalogue;
  catalogue.Latest = contents.Latest;
  bool isInOrder = true;
  const auto insertAll = [&](auto &table, auto &values) {
    for (auto &value : values) {
      isInOrder &= value.ChangedAt <= contents.Latest;
      std::string id = value.Value.Id.str();
      table.insert_or_assign(std::move(id), std::move(value));
    }
  };
  insertAll(catalogue.Teams, contents.Teams);
  insertAll(catalogue.Entries, contents.Entries);
  insertAll(catalogue.Keys, contents.Keys);
  if (!isInOrder)
    return Error{ErrorKind::CorruptData,
                 "the snapshot holds an object newer than its revision",
                 "fetch the catalogue again from the keepers' leader"};
  return catalogue;
}

const Outcome *Catalogue::findOutcome(const EditId &id) const {
  const auto it = Outcomes.find(id);
  return it == Outcomes.end() ? nullptr : &it->second;
}

std::optional<Revision> Catalogue::changedAt(const Change &change) const {
  const auto in = [](const auto &table, const auto &id) {
    const auto *found = findIn(table, id.str());
    return found == nullptr ? std::nullopt
                            : std::optional<Revision>(found->ChangedAt);
  };
  if (const auto *putTeam = std::get_if<PutTeam>(&change))
    return in(Teams, putTeam->Value.Id);
  if (const auto *deleteTeam = std::get_if<DeleteTeam>(&change))
    return in(Teams, deleteTeam->Id);
  if (const auto *putEntry = std::get_if<PutEntry>(&change))
    return in(Entries, putEntry->Value.Id);
  if (const auto *deleteEntry = std::get_if<DeleteEntry>(&change))
    return in(Entries, deleteEntry->Id);
  if (const auto *issue = std::get_if<IssueKey>(&change))
    return in(Keys, issue->Value.Id);
  return in(Keys, std::get<WithdrawKey>(change).Id);
}

Status Catalogue::checkBaseRevision(const Edit &edit) const {
  const std::string object = objectOf(edit.What);
  const std::optional<Revision> changed = changedAt(edit.What);
  if (changed.has_value() && *changed != edit.Base)
    return conflict(edit, *changed, "changed");
  if (changed.has_value())
    return Ok{};
  if (std::holds_alternative<IssueKey>(edit.What)) {
    if (const auto withdrawn = WithdrawnKeys.find(object))
      return conflict(edit, *withdrawn, "withdrawn");
  }
  if (edit.Base == Revision{})
    return Ok{};
  const auto isKey = std::holds_alternative<WithdrawKey>(edit.What);
  const auto ended = isKey ? WithdrawnKeys.find(object) : Deleted.find(object);
  if (ended.has_value())
    return conflict(edit, *ended, isKey ? "withdrawn" : "deleted");
  return Error{ErrorKind::RevisionConflict,
               absl::StrCat(object,
                            " does not exist, and the edit was made "
                            "against revision ",
                            edit.Base.Value),
               "read the catalogue and make the edit anew"};
}

Status Catalogue::checkReferences(const Change &change) const {
  if (const auto *putTeam = std::get_if<PutTeam>(&change))
    return findTeam(putTeam->Value.Id) == nullptr && Teams.size() >= MaxTeams
               ? Status(limitExceeded("teams", MaxTeams))
               : Status(Ok{});
  if (const auto *deleteTeam = std::get_if<DeleteTeam>(&change))
    return checkTeamUnused(deleteTeam->Id);
  if (const auto *putEntry = std::get_if<PutEntry>(&change)) {
    if (findTeam(putEntry->Value.Owner) == nullptr)
      return notFound("team", putEntry->Value.Owner.str(),
                      "create the team before its entries");
    return findEntry(putEntry->Value.Id) == nullptr &&
                   Entries.size() >= MaxEntries
               ? Status(limitExceeded("entries", MaxEntries))
               : Status(Ok{});
  }
  if (const auto *deleteEntry = std::get_if<DeleteEntry>(&change))
    return findEntry(deleteEntry->Id) == nullptr
               ? Status(notFound("catalogue entry", deleteEntry->Id.str(),
                                 "list the entries and check the id"))
               : Status(Ok{});
  if (const auto *issue = std::get_if<IssueKey>(&change)) {
    if (findTeam(issue->Value.Team) == nullptr)
      return notFound("team", issue->Value.Team.str(),
                      "create the team before its keys");
    return Keys.size() >= MaxKeys ? Status(limitExceeded("keys", MaxKeys))
                                  : Status(Ok{});
  }
  const KeyId &id = std::get<WithdrawKey>(change).Id;
  return findKey(id) == nullptr
             ? Status(
                   notFound("key", id.str(), "list the keys and check the id"))
             : Status(Ok{});
}

Status Catalogue::checkTeamUnused(const TeamId &id) const {
  if (findTeam(id) == nullptr)
    return notFound("team", id.str(), "list the teams and check the id");
  const bool ownsEntry = std::ranges::any_of(
      Entries, [&](const auto &row) { return row.second.Value.Owner == id; });
  const bool ownsKey = std::ranges::any_of(
      Keys, [&](const auto &row) { return row.second.Value.Team == id; });
  if (!ownsEntry && !ownsKey)
    return Ok{};
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("team ", id.str(), " still owns ",
                            ownsEntry ? "a catalogue entry" : "a key"),
               "delete its entries and withdraw its keys first"};
}

void Catalogue::applyAccepted(const Edit &edit) {
  Latest = Latest.next();
  const Change &what = edit.What;
  const Tombstone tombstone{objectOf(what), Latest};
  if (const auto *putTeam = std::get_if<PutTeam>(&what))
    put(Teams, putTeam->Value, Latest);
  if (const auto *putEntry = std::get_if<PutEntry>(&what))
    put(Entries, putEntry->Value, Latest);
  if (const auto *issue = std::get_if<IssueKey>(&what))
    put(Keys, issue->Value, Latest);
  if (const auto *deleteTeam = std::get_if<DeleteTeam>(&what)) {
    Teams.erase(deleteTeam->Id.str());
    Deleted.insert(tombstone);
  }
  if (const auto *deleteEntry = std::get_if<DeleteEntry>(&what)) {
    Entries.erase(deleteEntry->Id.str());
    Deleted.insert(tombstone);
  }
  if (const auto *withdraw = std::get_if<WithdrawKey>(&what)) {
    Keys.erase(withdraw->Id.str());
    WithdrawnKeys.insert(tombstone);
  }
}

void Catalogue::recordOutcome(const Edit &edit,
                              const Result<Revision> &answer) {
  Outcomes.insert_or_assign(
      edit.Id, Outcome{edit.Id, internal::fingerprintOf(edit), answer});
  OutcomeOrder.push_back(edit.Id);
  if (OutcomeOrder.size() <= MaxOutcomes)
    return;
  Outcomes.erase(OutcomeOrder.front());
  OutcomeOrder.pop_front();
}

} // namespace jujube::catalogue
