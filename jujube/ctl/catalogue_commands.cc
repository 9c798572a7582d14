// Catalogue, team and key commands.
#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "jujube/base/digest.h"
#include "jujube/ctl/catalogue_plan.h"
#include "jujube/ctl/commands.h"
#include "jujube/ctl/table.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SecretBytes = 32;
constexpr std::size_t DigestPartLength = 16;

// Objects that the catalogue commands name on the command line.
enum class ObjectKind { Team, Entry };

constexpr NameTable<ObjectKind, 2> ObjectKindNames = {{
    {ObjectKind::Team, "team"},
    {ObjectKind::Entry, "entry"},
}};
static_assert(isComplete(ObjectKindNames));

Result<http::CatalogueFile> readFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("can't read '", path, "'"),
                 "give a JSON file with teams and entries; "
                 "'jujubectl catalogue get' prints one"};
  std::stringstream text;
  text << file.rdbuf();
  Result<http::CatalogueFile> parsed =
      http::fromJson<http::CatalogueFile>(text.str());
  if (!isOk(parsed)) {
    Error error = errorOf(parsed);
    error.Message = absl::StrCat(path, ": ", error.Message);
    return error;
  }
  return parsed;
}

// The catalogue as a file that can be applied.
http::CatalogueFile toFile(const catalogue::Contents &contents) {
  http::CatalogueFile file;
  std::ranges::transform(contents.Teams, std::back_inserter(file.Teams),
                         [](const auto &team) { return team.Value; });
  std::ranges::transform(contents.Entries, std::back_inserter(file.Entries),
                         [](const auto &entry) { return entry.Value; });
  return file;
}

void printEdit(Session &session, const PlannedEdit &edit) {
  std::string text = absl::StrCat(edit.Title, "\n");
  for (const std::string &line : edit.Details)
    absl::StrAppend(&text, "    ", line, "\n");
  session.Print(text);
}

// Sends one edit and prints what became of it.
Result<Verdict> editAndPrint(Session &session, catalogue::Change change,
                             Revision base, const std::string &done) {
  const auto receipt = sendEdit(session, std::move(change), base, 0);
  if (!isOk(receipt))
    return errorOf(receipt);
  if (session.Options.IsJson)
    session.Print(http::toJson(valueOf(receipt)) + "\n");
  else if (session.Options.IsDryRun)
    session.Print(absl::StrCat("would be done: ", done, "\n"));
  else
    session.Print(
        absl::StrCat(done, " (", receiptText(valueOf(receipt)), ")\n"));
  return Verdict::Done;
}

Result<Verdict> applyPlan(Session &session,
                          const std::vector<PlannedEdit> &plan) {
  api::EditReceipt last{{}, true};
  for (std::size_t i = 0; i < plan.size(); ++i) {
    const auto receipt = sendEdit(session, plan[i].What, plan[i].Base, i);
    if (!isOk(receipt)) {
      Error error = errorOf(receipt);
      error.Message =
          absl::StrCat(plan[i].Title, ": ", error.Message, " (", i, " of ",
                       plan.size(), " edits were made before)");
      return error;
    }
    session.Progress(absl::StrCat("applied ", i + 1, " of ", plan.size()));
    last = valueOf(receipt);
  }
  session.Print(session.Options.IsJson
                    ? http::toJson(last) + "\n"
                    : absl::StrCat("applied ", plan.size(), " edits (",
                                   receiptText(last), ")\n"));
  return Verdict::Done;
}

} // namespace

Result<Verdict> applyCatalogue(Session &session, const Arguments &args) {
  const Result<http::CatalogueFile> file = readFile(args[0]);
  if (!isOk(file))
    return errorOf(file);
  const Result<catalogue::Contents> current = readCatalogue(session);
  if (!isOk(current))
    return errorOf(current);
  const std::vector<PlannedEdit> plan =
      planEdits(valueOf(current), valueOf(file), session.Options.MayDelete);
  if (!session.Options.IsJson)
    for (const PlannedEdit &edit : plan)
      printEdit(session, edit);
  if (plan.empty()) {
    session.Print(session.Options.IsJson ? http::toJson(api::EditReceipt{
                                               valueOf(current).Latest, true}) +
                                               "\n"
                                         : "nothing to change\n");
    return Verdict::Done;
  }
  if (session.Options.IsDryRun) {
    session.Print(absl::StrCat("dry run: ", plan.size(), " edits not made\n"));
    return Verdict::Done;
  }
  return applyPlan(session, plan);
}

Result<Verdict> getCatalogue(Session &session, const Arguments & /*args*/) {
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  session.Print(session.Options.IsJson
                    ? http::toJson(valueOf(contents)) + "\n"
                    : http::toIndentedJson(toFile(valueOf(contents))) + "\n");
  return Verdict::Done;
}

Result<Verdict> listCatalogue(Session &session, const Arguments & /*args*/) {
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  if (session.Options.IsJson) {
    session.Print(http::toJson(valueOf(contents)) + "\n");
    return Verdict::Done;
  }
  Table table({"ENTRY", "OWNER", "CLASS", "PRIORITY", "TASKS", "ASK", "OPEN",
               "CHANGED"});
  for (const auto &[entry, changed] : valueOf(contents).Entries)
    table.add({entry.Id.str(), entry.Owner.str(),
               std::string(nameIn(catalogue::WorkClassNames, entry.Class)),
               std::string(nameIn(catalogue::UrgencyNames, entry.Priority)),
               absl::StrCat(entry.Tasks), resourcesText(entry.Ask),
               entry.IsOpen ? "yes" : "no", absl::StrCat(changed.Value)});
  session.Print(table.text());
  return Verdict::Done;
}

Result<Verdict> deleteObject(Session &session, const Arguments &args) {
  const std::optional<ObjectKind> kind = valueIn(ObjectKindNames, args[0]);
  if (!kind)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("'", args[0], "' can't be deleted"),
                 absl::StrCat("give one of ", namesIn(ObjectKindNames))};
  if (*kind == ObjectKind::Team)
    return deleteTeam(session, {args[1]});
  const Result<EntryId> id = EntryId::parse(args[1]);
  if (!isOk(id))
    return errorOf(id);
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  return editAndPrint(session, catalogue::DeleteEntry{valueOf(id)},
                      changedAt(valueOf(contents).Entries, valueOf(id)),
                      "deleted entry " + args[1]);
}

Result<Verdict> showHistory(Session &session, const Arguments & /*args*/) {
  const auto lines = session.Api.callFor<std::vector<catalogue::HistoryLine>>(
      {http::Method::Get, "/v1/catalogue/history",
       session.Options.OperatorToken});
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

Result<Verdict> putTeam(Session &session, const Arguments &args) {
  const Result<TeamId> id = TeamId::parse(args[0]);
  if (!isOk(id))
    return errorOf(id);
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  catalogue::Team team{valueOf(id)};
  for (const auto &old : valueOf(contents).Teams)
    if (old.Value.Id == team.Id)
      team = old.Value;
  const SessionOptions &options = session.Options;
  if (options.Share >= 0)
    team.Share = static_cast<uint32_t>(options.Share);
  const auto replace = [](int64_t wanted, int64_t &amount) {
    if (wanted >= 0)
      amount = wanted;
  };
  replace(options.Ceiling.MilliCpu, team.Ceiling.MilliCpu);
  replace(options.Ceiling.MemoryMb, team.Ceiling.MemoryMb);
  replace(options.Ceiling.Accelerators, team.Ceiling.Accelerators);
  return editAndPrint(session, catalogue::PutTeam{team},
                      changedAt(valueOf(contents).Teams, team.Id),
                      absl::StrCat("team ", args[0], ": share ", team.Share,
                                   ", ceiling ", resourcesText(team.Ceiling)));
}

Result<Verdict> listTeams(Session &session, const Arguments & /*args*/) {
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  if (session.Options.IsJson) {
    session.Print(http::toJson(valueOf(contents)) + "\n");
    return Verdict::Done;
  }
  Table table({"TEAM", "SHARE", "CEILING", "CHANGED"});
  for (const auto &[team, changed] : valueOf(contents).Teams)
    table.add({team.Id.str(), absl::StrCat(team.Share),
               resourcesText(team.Ceiling), absl::StrCat(changed.Value)});
  session.Print(table.text());
  return Verdict::Done;
}

Result<Verdict> deleteTeam(Session &session, const Arguments &args) {
  const Result<TeamId> id = TeamId::parse(args[0]);
  if (!isOk(id))
    return errorOf(id);
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  return editAndPrint(session, catalogue::DeleteTeam{valueOf(id)},
                      changedAt(valueOf(contents).Teams, valueOf(id)),
                      "deleted team " + args[0]);
}

Result<Verdict> issueKey(Session &session, const Arguments &args) {
  const Result<TeamId> team = TeamId::parse(args[0]);
  if (!isOk(team))
    return errorOf(team);
  const Result<KeyId> id = KeyId::parse(
      args.size() > 1 ? args[1]
                      : absl::StrCat(args[0], "-", session.Random(4)));
  if (!isOk(id))
    return errorOf(id);
  const std::string secret = session.Random(SecretBytes);
  const std::string salt = session.Random(SaltBytes);
  const catalogue::Key key{valueOf(id), valueOf(team), salt,
                           saltedDigest(salt, secret)};
  // A repeated invocation makes another secret, so it is another edit; the
  // catalogue refuses it because the key exists.
  absl::StrAppend(&session.Options.Id, "-",
                  key.Digest.substr(0, DigestPartLength));
  const auto receipt = sendEdit(session, catalogue::IssueKey{key}, {}, 0);
  if (!isOk(receipt)) {
    Error error = errorOf(receipt);
    if (session.Api.isUnreachable())
      error.Remedy = absl::StrCat(
          "see 'jujubectl key list' and withdraw ", key.Id.str(),
          " if it is there: its secret was not shown; then issue another");
    return error;
  }
  session.Print(absl::StrCat(key.Id.str(), ".", secret, "\n"));
  return Verdict::Done;
}

Result<Verdict> withdrawKey(Session &session, const Arguments &args) {
  const Result<KeyId> id = KeyId::parse(args[0]);
  if (!isOk(id))
    return errorOf(id);
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  return editAndPrint(session, catalogue::WithdrawKey{valueOf(id)},
                      changedAt(valueOf(contents).Keys, valueOf(id)),
                      "withdrew key " + args[0]);
}

Result<Verdict> listKeys(Session &session, const Arguments &args) {
  const Result<catalogue::Contents> contents = readCatalogue(session);
  if (!isOk(contents))
    return errorOf(contents);
  Table table({"KEY", "TEAM", "ISSUED"});
  for (const auto &[key, changed] : valueOf(contents).Keys)
    if (args.empty() || key.Team.str() == args[0])
      table.add({key.Id.str(), key.Team.str(), absl::StrCat(changed.Value)});
  session.Print(session.Options.IsJson ? http::toJson(valueOf(contents)) + "\n"
                                       : table.text());
  return Verdict::Done;
}

} // namespace jujube::ctl
