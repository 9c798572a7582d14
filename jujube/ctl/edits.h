// Sends catalogue edits on behalf of the commands of jujubectl.
#ifndef JUJUBE_CTL_EDITS_H_
#define JUJUBE_CTL_EDITS_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/ctl/session.h"

namespace jujube::ctl {

// The result of an edit.
struct EditOutcome {
  api::EditReceipt Receipt;
  // The edit was made by an earlier run of the same invocation.
  bool WasMadeBefore = false;
};

// Sends an edit of the object that was last changed at `base`. The edit id is
// derived from the invocation id and the change, so that a repeated invocation
// recognises the edits that it already made.
Result<EditOutcome> sendEdit(Session &session, catalogue::Change change,
                             Revision base);

// Fetches the catalogue from the server.
Result<catalogue::Contents> readCatalogue(Session &session);

// Maximum number of history lines that can be requested.
inline constexpr uint32_t MaxHistoryLines = 10000;

// Fetches up to `lines` of the most recent history lines, newest first.
Result<std::vector<catalogue::HistoryLine>> readHistory(Session &session,
                                                        uint32_t lines);

// Fetches the catalogue and prints it as JSON with --json, otherwise as the
// text returned by `render`.
Result<Verdict> printCatalogue(
    Session &session,
    const std::function<std::string(const catalogue::Contents &)> &render);

// Describes the revision and whether it is in force, for example "revision 12,
// in force".
std::string outcomeText(const EditOutcome &outcome);

// Sends one edit and prints its result; `done` describes the edit.
Result<Verdict> editAndPrint(Session &session, catalogue::Change change,
                             Revision base, const std::string &done);

// Returns the object with this id, or null if there is none.
template <typename T, typename Id>
const catalogue::Versioned<T> *
findObject(const std::vector<catalogue::Versioned<T>> &objects, const Id &id) {
  for (const auto &object : objects)
    if (object.Value.Id == id)
      return &object;
  return nullptr;
}

// Returns the revision at which the object with this id was last changed, or 0
// if there is none.
template <typename T, typename Id>
Revision changedAt(const std::vector<catalogue::Versioned<T>> &objects,
                   const Id &id) {
  const auto *object = findObject(objects, id);
  return object ? object->ChangedAt : Revision{};
}

// Deletes or withdraws the object called `name`. Sends `Change`, which holds
// only the object's id, based on the object's revision in `objects`.
template <typename Change, typename T>
Result<Verdict>
removeObject(Session &session, const std::string &name,
             std::vector<catalogue::Versioned<T>> catalogue::Contents::*objects,
             absl::string_view done) {
  const auto id = decltype(Change::Id)::parse(name);
  if (!isOk(id))
    return errorOf(id);
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  return editAndPrint(session, Change{valueOf(id)},
                      changedAt(valueOf(contents).*objects, valueOf(id)),
                      absl::StrCat(done, " ", name));
}

} // namespace jujube::ctl

#endif // JUJUBE_CTL_EDITS_H_
