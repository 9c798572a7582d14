// Catalogue commands.
#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "jujube/ctl/catalogue_plan.h"
#include "jujube/ctl/commands.h"
#include "jujube/ctl/edits.h"
#include "jujube/ctl/table.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

constexpr uint32_t DefaultHistoryLines = 100;

// Kinds of objects that can be named on the command line.
enum class ObjectKind { Team, Entry };

constexpr NameTable<ObjectKind, 2> ObjectKindNames = {{
    {ObjectKind::Team, "team"},
    {ObjectKind::Entry, "entry"},
}};
static_assert(isComplete(ObjectKindNames));

Result<http::DesiredCatalogue> readFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("can't read '", path, "'"),
                 "give a JSON file with teams and entries; "
                 "'jujubectl catalogue get' prints one"};
  std::stringstream text;
  text << file.rdbuf();
  Result<http::DesiredCatalogue> parsed =
      http::fromJson<http::DesiredCatalogue>(text.str());
  if (!isOk(parsed)) {
    Error error = errorOf(parsed);
    error.Message = absl::StrCat(path, ": ", error.Message);
    return error;
  }
  return parsed;
}

// Prints the catalogue in the file format that `catalogue apply` reads.
http::DesiredCatalogue toFile(const catalogue::Contents &contents) {
  http::DesiredCatalogue file;
  std::ranges::transform(contents.Teams, std::back_inserter(file.Teams),
                         [](const auto &team) { return team.Value; });
  std::ranges::transform(contents.Entries, std::back_inserter(file.Entries),
                         [](const auto &entry) { return entry.Value; });
  return file;
}

// Prints the planned edits. JSON output lists them only if they will not be
// made.
void printPlan(Session &session, const std::vector<PlannedEdit> &plan) {
  for (const PlannedEdit &edit : plan) {
    if (!session.Options.IsJson)
      session.Print(
          absl::StrCat(edit.Title, "\n",
                       absl::StrJoin(edit.Details, "",
                                     [](std::string *out, const auto &line) {
                                       absl::StrAppend(out, "    ", line, "\n");
                                     })));
    else if (session.Options.IsDryRun)
      session.Print(http::toJson(catalogue::Edit{{}, edit.Base, edit.Change}) +
                    "\n");
  }
}

Result<Verdict> applyPlan(Session &session,
                          const std::vector<PlannedEdit> &plan) {
  EditOutcome last{{{}, true}};
  for (std::size_t i = 0; i < plan.size(); ++i) {
    const auto outcome = sendEdit(session, plan[i].Change, plan[i].Base);
    if (!isOk(outcome)) {
      Error error = errorOf(outcome);
      error.Message =
          absl::StrCat(plan[i].Title, ": ", error.Message, " (", i, " of ",
                       plan.size(), " edits were made before)");
      return error;
    }
    session.Progress(absl::StrCat("applied ", i + 1, " of ", plan.size()));
    last = valueOf(outcome);
  }
  session.Print(session.Options.IsJson
                    ? http::toJson(last.Receipt) + "\n"
                    : absl::StrCat("applied ", plan.size(), " edits (",
                                   outcomeText(last), ")\n"));
  return Verdict::Done;
}

} // namespace

Result<Verdict> applyCatalogue(Session &session, const Arguments &args) {
  const Result<http::DesiredCatalogue> file = readFile(args[0]);
  if (!isOk(file))
    return errorOf(file);
  const Result<catalogue::Contents> current = readCatalogue(session);
  if (!isOk(current))
    return errorOf(current);
  const std::vector<PlannedEdit> plan =
      planEdits(valueOf(current), valueOf(file), session.Options.MayDelete);
  printPlan(session, plan);
  if (Status status = checkPlan(valueOf(current), plan); !isOk(status))
    return errorOf(status);
  if (plan.empty()) {
    session.Print(session.Options.IsJson ? http::toJson(api::EditReceipt{
                                               valueOf(current).Latest, true}) +
                                               "\n"
                                         : "nothing to change\n");
    return Verdict::Done;
  }
  if (!session.Options.IsDryRun)
    return applyPlan(session, plan);
  if (!session.Options.IsJson)
    session.Print(absl::StrCat("dry run: ", plan.size(),
                               " edits checked and not made\n"));
  return Verdict::Done;
}

Result<Verdict> getCatalogue(Session &session, const Arguments & /*args*/) {
  return printCatalogue(session, [](const catalogue::Contents &contents) {
    return http::toIndentedJson(toFile(contents)) + "\n";
  });
}

Result<Verdict> listCatalogue(Session &session, const Arguments & /*args*/) {
  return printCatalogue(session, [](const catalogue::Contents &contents) {
    Table table({"ENTRY", "OWNER", "CLASS", "PRIORITY", "TASKS", "ASK", "OPEN",
                 "CHANGED"});
    for (const auto &[entry, changed] : contents.Entries)
      table.add({entry.Id.str(), entry.Owner.str(),
                 std::string(nameIn(catalogue::WorkClassNames, entry.Class)),
                 std::string(nameIn(catalogue::UrgencyNames, entry.Priority)),
                 absl::StrCat(entry.Tasks), resourcesText(entry.Demand),
                 entry.IsOpen ? "yes" : "no", absl::StrCat(changed.Value)});
    return table.text();
  });
}

Result<Verdict> deleteObject(Session &session, const Arguments &args) {
  const std::optional<ObjectKind> kind = valueIn(ObjectKindNames, args[0]);
  if (!kind)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("'", args[0], "' can't be deleted"),
                 absl::StrCat("give one of ", namesIn(ObjectKindNames))};
  if (*kind == ObjectKind::Team)
    return deleteTeam(session, {args[1]});
  return removeObject<catalogue::DeleteEntry>(
      session, args[1], &catalogue::Contents::Entries, "deleted entry");
}

Result<Verdict> showHistory(Session &session, const Arguments &args) {
  uint32_t wanted = DefaultHistoryLines;
  if (!args.empty() && (!absl::SimpleAtoi(args[0], &wanted) || wanted == 0 ||
                        wanted > MaxHistoryLines))
    return Error{
        ErrorKind::InvalidArgument, absl::StrCat("LINES is '", args[0], "'"),
        absl::StrCat("give a whole number from 1 to ", MaxHistoryLines)};
  const auto lines = readHistory(session, wanted);
  if (!isOk(lines))
    return errorOf(lines);
  if (session.Options.IsJson) {
    session.Print(http::toJson(valueOf(lines)) + "\n");
    return Verdict::Done;
  }
  Table table({"REVISION", "AUTHOR", "CHANGE", "EDIT"});
  for (const catalogue::HistoryLine &line : valueOf(lines))
    table.add({absl::StrCat(line.At.Value), line.Author, line.Summary,
               line.Edit.str()});
  session.Print(table.text());
  return Verdict::Done;
}

} // namespace jujube::ctl
