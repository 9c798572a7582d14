#include "testing/cell.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

extern char **environ;

namespace jujube::testing {
namespace {

constexpr std::chrono::milliseconds PollPause(20);
constexpr std::chrono::seconds Patience(60);
// Bytes of log output to print for a process that ended by itself.
constexpr std::size_t LogTail = 4000;

catalogue::Entry entryOf(const std::string &name,
                         catalogue::WorkClass workClass, bool isIdempotent) {
  catalogue::Entry entry;
  entry.Id = EntryId(name);
  entry.Owner = TeamId("events");
  entry.Class = workClass;
  entry.Demand = Resources{1000, 512, 0};
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
      reportUnexpectedEnd(item.first);
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

void Cell::reportUnexpectedEnd(const std::string &name) const {
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

bool Cell::eventuallyWhileAllRun(const std::function<bool()> &isTrue) {
  bool areAllRunning = true;
  const bool isDone = eventually([&] {
    for (auto &[name, process] : Processes)
      if (process.Pid != 0 && hasEnded(process)) {
        reportUnexpectedEnd(name);
        areAllRunning = false;
      }
    return !areAllRunning || isTrue();
  });
  return isDone && areAllRunning;
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
  if (!cell->eventuallyWhileAllRun(isLed))
    return Error{ErrorKind::Unavailable, "the cell has no leaders",
                 "see the logs of the cell"};
  Status prepared = Error{};
  if (!cell->eventuallyWhileAllRun(
          [&] { return isOk(prepared = cell->prepare()); }))
    return errorOf(prepared);
  const auto hasWorkers = [&cell] {
    const auto fleet = cell->status();
    return isOk(fleet) &&
           std::ranges::all_of(valueOf(fleet).Zones, [&](const auto &zone) {
             return zone.Workers ==
                    static_cast<uint32_t>(cell->Options.WorkersPerZone);
           });
  };
  if (!cell->eventuallyWhileAllRun(hasWorkers))
    return Error{ErrorKind::Unavailable, "not all workers are registered",
                 "see the logs of the cell"};
  return cell;
}

} // namespace jujube::testing
