// Edits of the catalogue as the commands of jujubectl send them.
#ifndef JUJUBE_CTL_EDITS_H_
#define JUJUBE_CTL_EDITS_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/ctl/session.h"

namespace jujube::ctl {

// What became of an edit.
struct EditOutcome {
  api::EditReceipt Receipt;
  // An earlier run of the same invocation made it.
  bool WasMadeBefore = false;
};

// Sends an edit of the object that was last changed at `base`. Its id follows
// from the id of the invocation and from the change, so that a repeated
// invocation finds the edits that it made before.
Result<EditOutcome> sendEdit(Session &session, catalogue::Change change,
                             Revision base);

// Reads the catalogue.
Result<catalogue::Contents> readCatalogue(Session &session);

// The most lines that the history tells.
inline constexpr uint32_t MaxHistoryLines = 10000;

// Reads the newest lines of the history, newest first.
Result<std::vector<catalogue::HistoryLine>> readHistory(Session &session,
                                                        uint32_t lines);

// Reads the catalogue and prints it: as JSON, or as `render` puts it for
// people.
Result<Verdict> printCatalogue(
    Session &session,
    const std::function<std::string(const catalogue::Contents &)> &render);

// "revision 12, in force" or how it is not.
std::string outcomeText(const EditOutcome &outcome);

// Sends one edit and prints what became of it; `done` tells what it does.
Result<Verdict> editAndPrint(Session &session, catalogue::Change change,
                             Revision base, const std::string &done);

// The object with that id, or null if there is none.
template <typename T, typename Id>
const catalogue::Versioned<T> *
findObject(const std::vector<catalogue::Versioned<T>> &objects, const Id &id) {
  for (const auto &object : objects)
    if (object.Value.Id == id)
      return &object;
  return nullptr;
}

// The revision at which the object with that id was last changed; 0 if there
// is none.
template <typename T, typename Id>
Revision changedAt(const std::vector<catalogue::Versioned<T>> &objects,
                   const Id &id) {
  const auto *object = findObject(objects, id);
  return object ? object->ChangedAt : Revision{};
}

// Deletes or withdraws the object called `name`: sends `Change` (which has only
// the object's id) against the object's revision among `objects`.
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
