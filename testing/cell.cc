#include "testing/cell.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "glog/logging.h"
#include "jujube/base/digest.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"
#include "jujube/wire/sockets.h"

extern char **environ;

namespace jujube::testing {
namespace {

constexpr std::chrono::milliseconds PollPause(20);
constexpr std::chrono::seconds Patience(60);
constexpr int Keepers = 3;
// Bytes of a log that are shown of a process that ended by itself.
constexpr std::size_t LogTail = 4000;

// Ports below those that the kernel gives to outgoing connections, one of which
// could take a port before the process that it was chosen for.
constexpr int FirstPort = 10'000;
constexpr int Ports = 11'000;

// A port that nobody listens on; each call returns another one.
Address freeAddress() {
  static std::atomic<unsigned> next = std::random_device()();
  for (int tries = 0;; ++tries) {
    CHECK(tries < Ports) << "no free port";
    const Address address{"127.0.0.1",
                          static_cast<uint16_t>(FirstPort + next++ % Ports)};
    if (isOk(wire::listenTcp(address)))
      return address;
  }
}

std::string binary(const std::string &name) {
  // Tests read the environment before they start a thread.
  const char *folder =
      std::getenv("JUJUBE_BIN"); // NOLINT(concurrency-mt-unsafe)
  return absl::StrCat(folder ? folder : "build/bin", "/", name);
}

catalogue::Entry entryOf(const std::string &name,
                         catalogue::WorkClass workClass, bool isIdempotent) {
  catalogue::Entry entry;
  entry.Id = EntryId(name);
  entry.Owner = TeamId("events");
  entry.Class = workClass;
  entry.Ask = Resources{1000, 512, 0};
  entry.IsIdempotent = isIdempotent;
  return entry;
}

} // namespace

bool eventually(const std::function<bool()> &isTrue) {
  const auto end = std::chrono::steady_clock::now() + Patience;
  while (!isTrue()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(PollPause);
  }
  return true;
}

Cell::Cell(CellOptions options)
    : Options(std::move(options)),
      Folder(absl::StrCat(std::filesystem::temp_directory_path().string(),
                          "/jujube-cell-", randomHex(6))) {
  std::filesystem::create_directories(Folder);
  FleetToken = writeSecret("fleet.token");
  OperatorToken = writeSecret("operator.token");
  plan();
}

Cell::~Cell() {
  std::ranges::for_each(Processes, [this](auto &item) {
    if (item.second.Pid == 0)
      return;
    if (hasEnded(item.second)) {
      tellEnd(item.first);
      return;
    }
    kill(item.second.Pid, SIGKILL);
    reap(item.second);
  });
  std::error_code ec;
  std::filesystem::remove_all(Folder, ec);
}

std::string Cell::writeSecret(const std::string &name) {
  const std::string path = absl::StrCat(Folder, "/", name);
  std::string secret = randomHex(24);
  std::ofstream(path) << secret << "\n";
  std::filesystem::permissions(path, std::filesystem::perms::owner_read);
  return secret;
}

void Cell::plan() {
  std::vector<std::string> keepers;
  std::vector<std::string> addresses;
  for (int i = 1; i <= Keepers; ++i) {
    const std::string name = absl::StrCat("keeper-", i);
    Processes[name].Listen = freeAddress();
    addresses.push_back(Processes[name].Listen.str());
    keepers.push_back(absl::StrCat(name, "=", addresses.back()));
  }
  for (int i = 1; i <= Keepers; ++i) {
    const std::string name = absl::StrCat("keeper-", i);
    Processes[name].Args = {binary("jujube-keeper"),
                            "--host",
                            name,
                            "--keepers",
                            absl::StrJoin(keepers, ","),
                            "--data",
                            absl::StrCat(Folder, "/", name),
                            "--fleet-token-file",
                            Folder + "/fleet.token"};
    StartOrder.push_back(name);
  }
  for (const std::string &zone : Options.Zones)
    planZone(zone, absl::StrJoin(addresses, ","));
}

void Cell::planZone(const std::string &zone, const std::string &keepers) {
  std::vector<std::string> peers;
  std::vector<std::string> addresses;
  std::vector<std::string> entries;
  for (int i = 1; i <= Options.HostsPerZone; ++i) {
    Process &process = Processes[absl::StrCat("zone-", zone, "-", i)];
    process.Listen = freeAddress();
    addresses.push_back(process.Listen.str());
    peers.push_back(absl::StrCat(zone, "-", i, "=", addresses.back()));
  }
  for (int i = 1; i <= Options.HostsPerZone; ++i) {
    const std::string host = absl::StrCat(zone, "-", i);
    const std::string scheduler = "zone-" + host;
    Processes[scheduler].Args = {binary("jujube-zone"),
                                 "--host",
                                 host,
                                 "--zone",
                                 zone,
                                 "--peers",
                                 absl::StrJoin(peers, ","),
                                 "--keepers",
                                 keepers,
                                 "--fleet-token-file",
                                 Folder + "/fleet.token",
                                 "--worker-lease-ms",
                                 "3000"};
    const std::string name = "entry-" + host;
    Process &entry = Processes[name];
    entry.Listen = freeAddress();
    entry.Http = freeAddress();
    entries.push_back(entry.Http.str());
    entry.Args = {binary("jujube-entry"),
                  "--host",
                  name,
                  "--zone",
                  zone,
                  "--listen",
                  entry.Listen.str(),
                  "--http",
                  entry.Http.str(),
                  "--zone-peers",
                  absl::StrJoin(addresses, ","),
                  "--keepers",
                  keepers,
                  "--fleet-token-file",
                  Folder + "/fleet.token",
                  "--operator-token-file",
                  Folder + "/operator.token",
                  "--leave-ms",
                  "500"};
    StartOrder.push_back(scheduler);
    StartOrder.push_back(name);
  }
  planStandIns(zone, absl::StrJoin(entries, ","));
}

void Cell::planStandIns(const std::string &zone, const std::string &entries) {
  if (Options.WorkersPerZone > 0) {
    Process &workers = Processes["workers-" + zone];
    workers.Http = freeAddress();
    workers.Args = {binary("standin-worker"),
                    "--entries",
                    entries,
                    "--fleet-token-file",
                    Folder + "/fleet.token",
                    "--name",
                    "w-" + zone,
                    "--count",
                    absl::StrCat(Options.WorkersPerZone),
                    "--stats",
                    workers.Http.str()};
    StartOrder.push_back("workers-" + zone);
  }
  if (Options.RunnersPerZone > 0) {
    Process &runners = Processes["runners-" + zone];
    runners.Http = freeAddress();
    runners.Args = {binary("standin-runner"),
                    "--entries",
                    entries,
                    "--fleet-token-file",
                    Folder + "/fleet.token",
                    "--zone",
                    zone,
                    "--entry",
                    "yard-desk",
                    "--name",
                    "r-" + zone,
                    "--count",
                    absl::StrCat(Options.RunnersPerZone),
                    "--listen",
                    runners.Http.str(),
                    "--mean-ms",
                    absl::StrCat(Options.RunnerMeanMs)};
    StartOrder.push_back("runners-" + zone);
  }
}

void Cell::restart(const std::string &name) {
  Process &process = Processes.at(name);
  std::vector<char *> argv;
  std::ranges::transform(process.Args, std::back_inserter(argv),
                         [](std::string &arg) { return arg.data(); });
  argv.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  const std::string log = absl::StrCat(Folder, "/", name, ".log");
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, STDERR_FILENO, STDOUT_FILENO);
  if (posix_spawn(&process.Pid, argv[0], &files, nullptr, argv.data(),
                  environ) != 0)
    process.Pid = 0;
  posix_spawn_file_actions_destroy(&files);
}

bool Cell::hasEnded(Process &process) {
  if (waitpid(process.Pid, &process.EndStatus, WNOHANG) != process.Pid)
    return false;
  process.Pid = 0;
  return true;
}

void Cell::tellEnd(const std::string &name) const {
  const std::string log = logOf(name);
  std::cerr << name << " ended by itself, wait status "
            << Processes.at(name).EndStatus << ":\n"
            << log.substr(log.size() - std::min(log.size(), LogTail)) << "\n";
}

void Cell::reap(Process &process) {
  int status = 0;
  waitpid(process.Pid, &status, 0);
  process.Pid = 0;
}

void Cell::signal(const std::string &name, int number) {
  Process &process = Processes.at(name);
  if (process.Pid == 0)
    return;
  kill(process.Pid, number);
  if (number == SIGKILL)
    reap(process);
}

int Cell::stop(const std::string &name) {
  Process &process = Processes.at(name);
  if (process.Pid == 0)
    return -1;
  kill(process.Pid, SIGTERM);
  int status = 0;
  const bool hasEnded = eventually(
      [&] { return waitpid(process.Pid, &status, WNOHANG) == process.Pid; });
  if (!hasEnded) {
    signal(name, SIGKILL);
    return -1;
  }
  process.Pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

http::Client Cell::client(const std::vector<std::string> &entries) const {
  http::Client::Options options;
  for (const auto &[name, process] : Processes)
    if (name.starts_with("entry-") &&
        (entries.empty() || std::ranges::find(entries, name) != entries.end()))
      options.Servers.push_back(process.Http);
  options.Transport = http::makeTransport("");
  options.Sleep = [](Duration span) {
    std::this_thread::sleep_for(std::chrono::milliseconds(span.millis()));
  };
  options.Rounds = 5;
  return valueOf(http::Client::create(std::move(options)));
}

template <typename T>
Result<T> Cell::send(const http::HttpCall &call, const std::string &entryHost) {
  return client(entryHost.empty() ? std::vector<std::string>{}
                                  : std::vector<std::string>{entryHost})
      .callFor<T>(call);
}

Result<fate::FateView> Cell::submit(const std::string &id,
                                    const std::string &entry,
                                    const std::string &payload,
                                    uint32_t tasks) {
  const http::SubmitBody body{RequestId(id), EntryId(entry), payload, tasks,
                              Duration()};
  return send<fate::FateView>(
      {http::Method::Post, "/v1/requests", PresentedKey, http::toJson(body)},
      "");
}

Result<fate::FateView> Cell::fate(const std::string &id, Duration wait) {
  return send<fate::FateView>(
      {http::Method::Get,
       absl::StrCat("/v1/requests/", id, "?wait_ms=", wait.millis()),
       PresentedKey, "", wait + Duration::seconds(10)},
      "");
}

Result<api::LiveAnswer> Cell::call(const std::string &id,
                                   const std::string &payload,
                                   const std::string &entryHost) {
  const http::CallBody body{RequestId(id), payload, Duration::seconds(8)};
  return send<api::LiveAnswer>({http::Method::Post,
                                "/v1/entries/yard-desk/call", PresentedKey,
                                http::toJson(body), Duration::seconds(15)},
                               entryHost);
}

Result<api::EditReceipt> Cell::edit(const catalogue::Edit &edit,
                                    const std::string &entryHost) {
  return send<api::EditReceipt>({http::Method::Post, "/v1/catalogue/edits",
                                 OperatorToken, http::toJson(edit),
                                 Duration::seconds(20)},
                                entryHost);
}

Result<catalogue::Contents> Cell::catalogue(const std::string &entryHost) {
  return send<catalogue::Contents>(
      {http::Method::Get, "/v1/catalogue", OperatorToken, ""}, entryHost);
}

Result<api::FleetStatus> Cell::status(const std::string &entryHost) {
  return send<api::FleetStatus>({http::Method::Get, "/v1/status", "", ""},
                                entryHost);
}

Result<std::string> Cell::stats(const std::string &standIn) {
  http::Client::Options options;
  options.Servers = {Processes.at(standIn).Http};
  options.Transport = http::makeTransport("");
  options.Sleep = [](Duration) {};
  return valueOf(http::Client::create(std::move(options)))
      .call({http::Method::Get, "/stats", "", ""});
}

std::string Cell::leaderOf(const std::string &zone) {
  const auto fleet = status();
  if (!isOk(fleet))
    return "";
  for (const api::ZoneStatus &line : valueOf(fleet).Zones)
    if (line.Zone.str() == zone && !line.Leader.empty())
      return "zone-" + line.Leader.str();
  return "";
}

pid_t Cell::pidOf(const std::string &name) const {
  return Processes.at(name).Pid;
}

std::string Cell::dataFolder(const std::string &keeper) const {
  return absl::StrCat(Folder, "/", keeper);
}

std::string Cell::logOf(const std::string &name) const {
  std::ifstream log(absl::StrCat(Folder, "/", name, ".log"));
  return {std::istreambuf_iterator<char>(log), {}};
}

std::optional<int> Cell::awaitEnd(const std::string &name) {
  Process &process = Processes.at(name);
  int status = 0;
  if (!eventually([&] {
        return waitpid(process.Pid, &status, WNOHANG) == process.Pid;
      }))
    return std::nullopt;
  process.Pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Status Cell::prepare() {
  const TeamId team("events");
  const std::string secret = randomHex(24);
  const catalogue::Key issued{KeyId("events-1"), team, "salt",
                              saltedDigest("salt", secret)};
  PresentedKey = "events-1." + secret;
  const std::vector<catalogue::Change> changes = {
      catalogue::PutTeam{{team, 1, Resources{64000, 65536, 0}}},
      catalogue::IssueKey{issued},
      catalogue::PutEntry{
          entryOf("invoices", catalogue::WorkClass::Batch, true)},
      catalogue::PutEntry{
          entryOf("refunds", catalogue::WorkClass::Batch, false)},
      catalogue::PutEntry{entryOf("crew", catalogue::WorkClass::Gang, true)},
      catalogue::PutEntry{
          entryOf("yard-desk", catalogue::WorkClass::Service, true)},
  };
  int n = 0;
  for (const catalogue::Change &change : changes) {
    const catalogue::Edit put{EditId(absl::StrCat("prepare-", ++n)), Revision{},
                              change, "test"};
    if (auto receipt = edit(put); !isOk(receipt))
      return errorOf(receipt);
  }
  return Ok{};
}

Result<std::unique_ptr<Cell>> Cell::start(CellOptions options) {
  std::unique_ptr<Cell> cell(new Cell(std::move(options)));
  for (const std::string &name : cell->StartOrder)
    cell->restart(name);
  const auto isLed = [&cell] {
    return std::ranges::all_of(cell->Options.Zones,
                               [&cell](const std::string &zone) {
                                 return !cell->leaderOf(zone).empty();
                               });
  };
  if (!eventually(isLed))
    return Error{ErrorKind::Unavailable, "the cell has no leaders",
                 "see its logs"};
  Status prepared = Error{};
  if (!eventually([&] { return isOk(prepared = cell->prepare()); }))
    return errorOf(prepared);
  const auto hasWorkers = [&cell] {
    const auto fleet = cell->status();
    return isOk(fleet) &&
           std::ranges::all_of(valueOf(fleet).Zones, [&](const auto &zone) {
             return zone.Workers ==
                    static_cast<uint32_t>(cell->Options.WorkersPerZone);
           });
  };
  if (!eventually(hasWorkers))
    return Error{ErrorKind::Unavailable, "the workers are not known",
                 "see the logs"};
  return cell;
}

} // namespace jujube::testing
