#include "jujube/ctl/app.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "jujube/base/digest.h"
#include "jujube/base/secret_file.h"
#include "jujube/ctl/table.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

constexpr std::size_t InvocationIdBytes = 8;
constexpr std::size_t MaxListArguments = 10000;

using CommandHook =
    std::function<Result<Verdict>(Session &, const Arguments &)>;

// A command with its argument limits, handler and help text.
struct ActionRow {
  Action Name;
  absl::string_view Arguments;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  CommandHook Run;
  absl::string_view Help;
};

const std::vector<ActionRow> &actions() {
  static const auto *rows = new std::vector<ActionRow>{
      {Action::CatalogueApply, "FILE", 1, 1, applyCatalogue,
       "shows the differences from a file and makes the edits"},
      {Action::CatalogueGet, "", 0, 0, getCatalogue,
       "prints the catalogue as a file that can be applied"},
      {Action::CatalogueList, "", 0, 0, listCatalogue, "lists the entries"},
      {Action::CatalogueDelete, "team|entry NAME", 2, 2, deleteObject,
       "deletes a team or an entry"},
      {Action::CatalogueHistory, "[LINES]", 0, 1, showHistory,
       "lists the latest edits; LINES defaults to 100"},
      {Action::TeamPut, "TEAM", 1, 1, putTeam,
       "creates a team or changes its share and ceiling"},
      {Action::TeamList, "", 0, 0, listTeams, "lists the teams"},
      {Action::TeamDelete, "TEAM", 1, 1, deleteTeam, "deletes a team"},
      {Action::KeyIssue, "TEAM [KEYID]", 1, 2, issueKey,
       "issues a key and prints it; it can't be shown again"},
      {Action::KeyWithdraw, "KEYID", 1, 1, withdrawKey, "withdraws a key"},
      {Action::KeyList, "[TEAM]", 0, 1, listKeys, "lists the keys' ids"},
      {Action::Submit, "ENTRY", 1, 1, submit, "submits a request"},
      {Action::Call, "ENTRY", 1, 1, callLive,
       "sends a live request and prints its answer"},
      {Action::Cancel, "REQUEST...", 1, MaxListArguments, cancel,
       "cancels the given requests and those in --ids-file"},
      {Action::Fate, "REQUEST", 1, 1, showFate,
       "shows the state and outcome of a request"},
      {Action::Status, "", 0, 0, showStatus, "shows zones and runners"},
      {Action::Histogram, "[NAME]", 0, 1, showHistograms,
       "draws the histograms per team and class"},
      {Action::ZoneEvacuate, "ZONE", 1, 1, evacuateZone,
       "starts no further task in a zone of the control group in --server"},
      {Action::ZoneRestore, "ZONE", 1, 1, restoreZone,
       "withdraws the evacuation of a zone"},
      {Action::ZoneList, "", 0, 0, listZones, "lists the evacuated zones"},
      {Action::Explain, "REQUEST LOG...", 2, MaxListArguments, explain,
       "reconstructs the history of a request from logs"},
      {Action::Lateness, "LOG...", 1, MaxListArguments, showLateness,
       "breaks down the time of late jobs by cause of the wait"},
  };
  return *rows;
}

std::vector<SettingSpec> specs() {
  return {
      {"server", SettingKind::AddressList, "127.0.0.1:7400",
       "entry hosts, tried in turn"},
      {"operator-token-file", SettingKind::Text, "",
       "file with the operators' token"},
      {"key", SettingKind::Text, "", "KEYID.SECRET of a team"},
      {"key-file", SettingKind::Text, "",
       "file with the key, instead of --key"},
      {"tls-ca", SettingKind::Text, "",
       "PEM file of the authority; turns TLS on"},
      {"json", SettingKind::Switch, "false", "print JSON"},
      {"id", SettingKind::Text, "",
       "idempotency id of this invocation, for safe repetition"},
      {"author", SettingKind::Text, "", "name for the history; default USER"},
      {"zone", SettingKind::Text, "",
       "availability zone that keeps the request"},
      {"dry-run", SettingKind::Switch, "false",
       "check and show the edits without making them"},
      {"delete", SettingKind::Switch, "false",
       "catalogue apply: delete what the file lacks"},
      {"payload", SettingKind::Text, "", "payload text for the tasks"},
      {"payload-file", SettingKind::Text, "", "payload file for the tasks"},
      {"ids-file", SettingKind::Text, "",
       "cancel: file with one request id per line; - for standard input"},
      {"tasks", SettingKind::Integer, "0",
       "number of tasks; 0: as in the entry", false, 0, UINT32_MAX},
      {"start-within", SettingKind::Millis, "0",
       "maximum time until the request starts; 0: no limit"},
      {"wait", SettingKind::Millis, "0", "wait for the end of the request"},
      {"timeout", SettingKind::Millis, "10000", "of a live request", false, 1,
       60000},
      {"share", SettingKind::Integer, "-1", "team put: share; -1: unchanged",
       false, -1, UINT32_MAX},
      {"milli-cpu", SettingKind::Integer, "-1",
       "team put: ceiling; -1: unchanged", false, -1},
      {"memory-mb", SettingKind::Integer, "-1",
       "team put: ceiling; -1: unchanged", false, -1},
      {"accelerators", SettingKind::Integer, "-1",
       "team put: ceiling; -1: unchanged", false, -1},
      {"team", SettingKind::Text, "", "histogram: only this team"},
      {"class", SettingKind::Text, "", "histogram: only this class"},
      {"each", SettingKind::Switch, "false",
       "histogram: query every entry host in --server"},
  };
}

std::string usage() {
  Table table({"Commands:"});
  for (const ActionRow &row : actions())
    table.add(
        {absl::StrCat("  ", nameIn(ActionNames, row.Name), " ", row.Arguments),
         std::string(row.Help)});
  return absl::StrCat("jujubectl [flags] COMMAND [arguments]\n\n", table.text(),
                      "\nExit codes: 0 done; 1 refused, or the work ended "
                      "otherwise than finished; 2 wrong usage; 3 no entry host "
                      "could be reached\n\nFlags:");
}

// A parsed command line: the command and its remaining arguments.
struct Invocation {
  const ActionRow *Row = nullptr;
  Arguments Rest;
};

Result<Invocation> findAction(const std::vector<std::string> &words) {
  for (const std::size_t n : {std::size_t{2}, std::size_t{1}}) {
    if (words.size() < n)
      continue;
    const std::string name =
        absl::StrJoin(words.begin(), words.begin() + n, " ");
    const auto it = std::ranges::find_if(actions(), [&name](const auto &row) {
      return nameIn(ActionNames, row.Name) == name;
    });
    if (it == actions().end())
      continue;
    return Invocation{&*it, Arguments(words.begin() + n, words.end())};
  }
  return Error{ErrorKind::InvalidArgument,
               words.empty() ? "no command was given"
                             : absl::StrCat("unknown command '", words[0], "'"),
               "see jujubectl --help"};
}

Result<std::string> readFile(const std::string &flag, const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("--", flag, ": can't read '", path, "'"),
                 "give a file that this user may read"};
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Status checkArguments(const Invocation &invocation) {
  const ActionRow &row = *invocation.Row;
  if (invocation.Rest.size() >= row.MinArguments &&
      invocation.Rest.size() <= row.MaxArguments)
    return Ok{};
  const absl::string_view name = nameIn(ActionNames, row.Name);
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("'", name, "': wrong number of arguments"),
               absl::StrCat("usage: jujubectl ", name, " ", row.Arguments)};
}

Status readPayload(const Settings &settings, SessionOptions &options) {
  options.Payload = settings.text("payload");
  const std::string &path = settings.text("payload-file");
  if (path.empty())
    return Ok{};
  if (!options.Payload.empty())
    return Error{ErrorKind::InvalidArgument,
                 "--payload and --payload-file are both given",
                 "give one of them"};
  Result<std::string> payload = readFile("payload-file", path);
  if (!isOk(payload))
    return errorOf(payload);
  options.Payload = valueOf(std::move(payload));
  return Ok{};
}

// Appends the ids in the file named by --ids-file, one per line; skips blank
// lines.
Status readIds(const Settings &settings, const AppHooks &hooks,
               Arguments &args) {
  const std::string &path = settings.text("ids-file");
  if (path.empty())
    return Ok{};
  const Result<std::string> text = path == "-"
                                       ? Result<std::string>(hooks.ReadInput())
                                       : readFile("ids-file", path);
  if (!isOk(text))
    return errorOf(text);
  for (absl::string_view line : absl::StrSplit(valueOf(text), '\n'))
    if (line = absl::StripAsciiWhitespace(line); !line.empty())
      args.emplace_back(line);
  return Ok{};
}

Status readKey(const Settings &settings, SessionOptions &options) {
  options.PresentedKey = settings.text("key");
  const std::string &path = settings.text("key-file");
  if (path.empty())
    return Ok{};
  if (!options.PresentedKey.empty())
    return Error{ErrorKind::InvalidArgument,
                 "--key and --key-file are both given", "give one of them"};
  Result<std::string> key = readSecretFile(path);
  if (!isOk(key))
    return errorOf(key);
  options.PresentedKey = valueOf(std::move(key));
  return Ok{};
}

Status readFiles(const Settings &settings, SessionOptions &options) {
  if (Status status = readKey(settings, options); !isOk(status))
    return status;
  const std::string &tokenFile = settings.text("operator-token-file");
  if (!tokenFile.empty()) {
    Result<std::string> token = readSecretFile(tokenFile);
    if (!isOk(token))
      return errorOf(token);
    options.OperatorToken = valueOf(std::move(token));
  }
  return readPayload(settings, options);
}

Result<SessionOptions> readOptions(const Settings &settings,
                                   const AppHooks &hooks) {
  SessionOptions options;
  options.Author = settings.text("author");
  if (options.Author.empty())
    options.Author = hooks.Environment("USER").value_or("operator");
  options.Zone = settings.text("zone");
  options.Id = settings.text("id");
  if (options.Id.empty())
    options.Id = hooks.Random(InvocationIdBytes);
  options.IsJson = settings.isOn("json");
  options.IsDryRun = settings.isOn("dry-run");
  options.MayDelete = settings.isOn("delete");
  options.Tasks = static_cast<uint32_t>(settings.integer("tasks"));
  options.StartWithin = settings.duration("start-within");
  options.Wait = settings.duration("wait");
  options.Timeout = settings.duration("timeout");
  options.Share = settings.integer("share");
  options.Ceiling = {settings.integer("milli-cpu"),
                     settings.integer("memory-mb"),
                     settings.integer("accelerators")};
  options.Team = settings.text("team");
  options.Class = settings.text("class");
  options.OfEachServer = settings.isOn("each");
  if (Status status = readFiles(settings, options); !isOk(status))
    return errorOf(status);
  return options;
}

// Prints an error as text, or as the HTTP error body with --json.
ExitCode fail(const AppHooks &hooks, const Error &error, ExitCode code,
              bool isJson = false) {
  hooks.Progress("");
  hooks.PrintError(isJson ? http::toJson(http::ErrorBody{error}) + "\n"
                          : absl::StrCat("jujubectl: ", error.text(), "\n"));
  return code;
}

ExitCode runAction(Invocation invocation, const Settings &settings,
                   const AppHooks &hooks) {
  Result<SessionOptions> options = readOptions(settings, hooks);
  const bool isJson = settings.isOn("json");
  if (Status status = readIds(settings, hooks, invocation.Rest); !isOk(status))
    return fail(hooks, errorOf(status), ExitCode::Usage, isJson);
  if (Status status = checkArguments(invocation); !isOk(status))
    return fail(hooks, errorOf(status), ExitCode::Usage, isJson);
  if (!isOk(options))
    return fail(hooks, errorOf(options), ExitCode::Usage, isJson);
  http::Client::Options access;
  access.Servers = settings.addresses("server");
  access.Transport = hooks.Connect(settings.text("tls-ca"));
  access.Sleep = hooks.Sleep;
  Result<http::Client> client = http::Client::create(std::move(access));
  if (!isOk(client))
    return fail(hooks, errorOf(client), ExitCode::Usage, isJson);
  const auto print = [&hooks](const std::string &text) {
    hooks.Progress("");
    hooks.Print(text);
  };
  const auto printError = [&hooks](const std::string &text) {
    hooks.Progress("");
    hooks.PrintError(text);
  };
  Session session{valueOf(std::move(options)),
                  valueOf(std::move(client)),
                  hooks.Time,
                  print,
                  printError,
                  hooks.Progress,
                  hooks.Random};
  const Result<Verdict> verdict = invocation.Row->Run(session, invocation.Rest);
  if (!isOk(verdict))
    return fail(hooks, errorOf(verdict),
                session.Api.isUnreachable() ? ExitCode::Unreachable
                                            : ExitCode::Refused,
                isJson);
  return valueOf(verdict) == Verdict::Done ? ExitCode::Done : ExitCode::Refused;
}

} // namespace

AppHooks realHooks() {
  AppHooks hooks;
  hooks.Connect = http::makeTransport;
  hooks.Print = [](const std::string &text) {
    std::cout << text << std::flush;
  };
  hooks.PrintError = [](const std::string &text) { std::cerr << text; };
  hooks.Progress = [isTerminal =
                        isatty(STDERR_FILENO) == 1](const std::string &text) {
    // Erases the progress line before overwriting it.
    if (isTerminal)
      std::cerr << "\r\x1b[K" << text << std::flush;
  };
  hooks.ReadInput = [] {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  };
  hooks.Random = randomHex;
  return hooks;
}

ExitCode runApp(const std::vector<std::string> &args, const AppHooks &hooks) {
  const std::vector<SettingSpec> known = specs();
  const Result<Settings> settings =
      Settings::parse(known, args, hooks.Environment);
  if (!isOk(settings))
    return fail(hooks, errorOf(settings), ExitCode::Usage);
  if (valueOf(settings).wantsHelp()) {
    hooks.Print(helpText(usage(), known));
    return ExitCode::Done;
  }
  if (valueOf(settings).wantsVersion()) {
    hooks.Print("jujubectl 0.1.0\n");
    return ExitCode::Done;
  }
  const Result<Invocation> invocation =
      findAction(valueOf(settings).positional());
  if (!isOk(invocation))
    return fail(hooks, errorOf(invocation), ExitCode::Usage);
  return runAction(valueOf(invocation), valueOf(settings), hooks);
}

} // namespace jujube::ctl
