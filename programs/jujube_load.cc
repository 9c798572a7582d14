// jujube-load: replays a request trace against a running system, injects faults
// into the given processes, and checks the system's guarantees from outside.
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "glog/logging.h"
#include "jujube/base/digest.h"
#include "jujube/base/secret_file.h"
#include "jujube/base/settings.h"
#include "jujube/http/client.h"
#include "jujube/load/report.h"
#include "jujube/load/run.h"

namespace jujube::load {
namespace {

constexpr std::size_t RunIdBytes = 3;
constexpr int ViolationExitCode = 1;
constexpr int UnreachableExitCode = 3;

std::vector<SettingSpec> specs() {
  return {
      {"server", SettingKind::AddressList, "127.0.0.1:7400", "entry hosts"},
      {"trace", SettingKind::Text, "", "trace file, see docs/LOAD.md", true},
      {"keys-file", SettingKind::Text, "",
       "file of keys, one TEAM KEYID.SECRET per line"},
      {"operator-token-file", SettingKind::Text, "",
       "file with the operators' token, to read ceilings and classes", true},
      {"tls-ca", SettingKind::Text, "",
       "PEM file of the authority; turns TLS on"},
      {"stats", SettingKind::AddressList, "",
       "addresses of the stand-ins that serve GET /stats"},
      {"processes", SettingKind::Text, "",
       "processes to monitor, as NAME=PID,..."},
      {"faults", SettingKind::Text, "",
       "MILLISECONDS:KIND:PID,...; kinds kill, pause, resume, terminate"},
      {"senders", SettingKind::Integer, "32",
       "number of connections that send requests", false, 1, 512},
      {"max-requests", SettingKind::Integer, "200000",
       "maximum number of requests in a trace", false, 1, 1000000},
      {"max-drain", SettingKind::Millis, "60000",
       "maximum wait for final fates after the last step"},
      {"poll", SettingKind::Millis, "500", "interval between polls for a fate",
       false, 10, 60000},
      {"sample", SettingKind::Millis, "1000", "interval between samples", false,
       100, 60000},
      {"run-id", SettingKind::Text, "",
       "part of the request ids; random if empty"},
      {"report", SettingKind::Text, "",
       "output folder for report.txt and plots"},
  };
}

Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("cannot read '", path, "'"),
                 "pass the path of a file that this user can read"};
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Result<std::map<TeamId, std::string>> readKeys(const std::string &path) {
  std::map<TeamId, std::string> keys;
  if (path.empty())
    return keys;
  if (const Status status = checkSecretFile(path); !isOk(status))
    return errorOf(status);
  const Result<std::string> text = readFile(path);
  if (!isOk(text))
    return errorOf(text);
  for (const absl::string_view line :
       absl::StrSplit(valueOf(text), '\n', absl::SkipWhitespace())) {
    const std::vector<std::string> words =
        absl::StrSplit(line, ' ', absl::SkipEmpty());
    if (words.size() != 2)
      return Error{
          ErrorKind::InvalidArgument,
          absl::StrCat("a line of '", path, "' is not a team and its key"),
          "write each line as TEAM KEYID.SECRET"};
    keys[TeamId(words[0])] = words[1];
  }
  return keys;
}

// Returns the zones of the entry hosts that answer.
std::vector<ZoneId> readZones(const RunOptions &options) {
  std::set<ZoneId> zones;
  for (const Address &server : options.Servers) {
    http::Client::Options clientOptions;
    clientOptions.Servers = {server};
    clientOptions.Transport = http::makeTransport(options.TlsAuthority);
    clientOptions.Rounds = 1;
    Result<http::Client> client =
        http::Client::create(std::move(clientOptions));
    const auto status = valueOf(client).callFor<api::FleetStatus>(
        {http::Method::Get, "/v1/status"});
    if (isOk(status))
      zones.insert(valueOf(status).Zone);
  }
  return {zones.begin(), zones.end()};
}

Result<catalogue::Contents> readCatalogue(const RunOptions &options,
                                          std::string token) {
  http::Client::Options clientOptions;
  clientOptions.Servers = options.Servers;
  clientOptions.Transport = http::makeTransport(options.TlsAuthority);
  Result<http::Client> client = http::Client::create(std::move(clientOptions));
  if (!isOk(client))
    return errorOf(client);
  return valueOf(client).callFor<catalogue::Contents>(
      {http::Method::Get, "/v1/catalogue", std::move(token)});
}

Result<RunOptions> readOptions(const Settings &settings) {
  RunOptions options;
  const Result<std::string> trace = readFile(settings.text("trace"));
  if (!isOk(trace))
    return errorOf(trace);
  auto steps =
      parseTrace(valueOf(trace),
                 {static_cast<std::size_t>(settings.integer("max-requests"))});
  if (!isOk(steps))
    return errorOf(steps);
  auto keys = readKeys(settings.text("keys-file"));
  if (!isOk(keys))
    return errorOf(keys);
  auto processes = parseWatched(settings.text("processes"));
  if (!isOk(processes))
    return errorOf(processes);
  auto faults = parseFaults(settings.text("faults"));
  if (!isOk(faults))
    return errorOf(faults);
  options.Steps = valueOf(std::move(steps));
  options.Keys = valueOf(std::move(keys));
  options.Processes = valueOf(std::move(processes));
  options.Faults = valueOf(std::move(faults));
  options.Servers = settings.addresses("server");
  options.Stats = settings.addresses("stats");
  options.TlsAuthority = settings.text("tls-ca");
  options.Senders = static_cast<std::size_t>(settings.integer("senders"));
  options.MaxDrain = settings.duration("max-drain");
  options.PollPeriod = settings.duration("poll");
  options.SamplePeriod = settings.duration("sample");
  options.RunId = settings.text("run-id").empty() ? randomHex(RunIdBytes)
                                                  : settings.text("run-id");
  return options;
}

Status writeReport(const std::string &folder, const std::string &report,
                   const std::map<std::string, std::string> &plots) {
  std::error_code ec;
  std::filesystem::create_directories(folder, ec);
  std::map<std::string, std::string> files = plots;
  files["report.txt"] = report;
  for (const auto &[name, text] : files) {
    std::ofstream file(std::filesystem::path(folder) / name);
    if (!(file << text))
      return Error{ErrorKind::StorageFailed,
                   absl::StrCat("cannot write to '", folder, "'"),
                   "set --report to a folder that this user can write"};
  }
  return Ok{};
}

int fail(const Error &error, int code) {
  std::cerr << "jujube-load: " << error.text() << "\n";
  return code;
}

int runLoad(const Settings &settings) {
  Result<RunOptions> read = readOptions(settings);
  if (!isOk(read))
    return fail(errorOf(read), UsageExitCode);
  RunOptions &options = valueOf(read);
  const Result<std::string> token =
      readSecretFile(settings.text("operator-token-file"));
  if (!isOk(token))
    return fail(errorOf(token), UsageExitCode);
  const auto contents = readCatalogue(options, valueOf(token));
  if (!isOk(contents))
    return fail(errorOf(contents), UnreachableExitCode);
  for (const auto &team : valueOf(contents).Teams)
    options.Ceilings[team.Value.Id.str()] = team.Value.Ceiling;
  options.Zones = readZones(options);

  const auto outcome = std::make_shared<RunOutcome>();
  const Result<runtime::Supervisor> tree = runTree(
      std::move(options), outcome, [] { (void)kill(getpid(), SIGTERM); });
  if (!isOk(tree))
    return fail(errorOf(tree), UnreachableExitCode);
  const Status status =
      runtime::runUntilSignalled(valueOf(tree), Clock::monotonic());
  if (!isOk(status))
    return fail(errorOf(status), ViolationExitCode);

  const std::string report = renderReport(*outcome, valueOf(contents));
  std::cout << report;
  if (!settings.text("report").empty()) {
    const Status written =
        writeReport(settings.text("report"), report,
                    renderPlots(*outcome, valueOf(contents)));
    if (!isOk(written))
      return fail(errorOf(written), ViolationExitCode);
  }
  return outcome->IsComplete && outcome->Requests.violations().empty()
             ? 0
             : ViolationExitCode;
}

} // namespace
} // namespace jujube::load

int main(int argc, char **argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_WARNING;
  auto parsed = jujube::parseCommandLine("jujube-load --trace FILE [flags]",
                                         jujube::load::specs(), argc, argv);
  if (const int *code = std::get_if<int>(&parsed))
    return *code;
  return jujube::load::runLoad(std::get<jujube::Settings>(parsed));
}
