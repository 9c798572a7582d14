#include "testing/task_cell.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"

namespace jujube::testing {
namespace {

constexpr Duration Patience = Duration::seconds(30);
constexpr char Ip[] = "127.0.0.1";
constexpr char FleetToken[] = "fleet-token";
constexpr char OperatorToken[] = "operator-token";
constexpr uint16_t KeeperPort = 1;
// The ports of a zone's processes start at its number times this.
constexpr int PortsPerZone = 100;
constexpr int EntryPort = 50;
constexpr int FirstWorkerPort = 60;
constexpr Resources WorkerHolds{16000, 65536, 0};

Address addressOf(int port) { return {Ip, static_cast<uint16_t>(port)}; }

catalogue::Key keyOf(const std::string &presented) {
  const std::size_t dot = presented.find('.');
  return {KeyId(presented.substr(0, dot)), TeamId("events"), "salt",
          saltedDigest("salt", presented.substr(dot + 1))};
}

catalogue::Entry entryOf(const std::string &name, catalogue::Urgency urgency) {
  catalogue::Entry entry;
  entry.Id = EntryId(name);
  entry.Owner = TeamId("events");
  entry.Priority = urgency;
  entry.Demand = Resources{1000, 512, 0};
  return entry;
}

template <typename T> Result<T> as(Result<api::Reply> reply) {
  if (!isOk(reply))
    return errorOf(reply);
  if (auto *value = std::get_if<T>(&valueOf(reply)))
    return std::move(*value);
  return Error{ErrorKind::Internal, "unexpected reply",
               "check which reply the command returns"};
}

} // namespace

const std::string TaskCell::Kept = "kept.secret-of-the-kept-key";
const std::string TaskCell::Spare = "spare.secret-of-the-spare-key";

TaskCell::TaskCell(TaskCellOptions options)
    : Options(std::move(options)),
      Folder(absl::StrCat(std::filesystem::temp_directory_path().string(),
                          "/jujube-tasks-", randomHex(6))),
      KeeperAt(addressOf(KeeperPort)) {}

TaskCell::~TaskCell() {
  Keeper.reset();
  std::error_code ec;
  std::filesystem::remove_all(Folder, ec);
}

Status TaskCell::startKeeper() {
  keeper::KeeperOptions options;
  options.Self = HostId("keeper");
  options.Listen = KeeperAt;
  options.Keepers = {{options.Self, KeeperAt}};
  options.DataFolder = Folder;
  options.FleetToken = FleetToken;
  options.ElectionSeed = Options.Seed;
  FakeWire::Host &host = Wire.add(KeeperAt);
  auto task = keeper::FleetTask::create(options, host.Context, host.Outbox);
  if (!isOk(task))
    return errorOf(task);
  Keeper = valueOf(std::move(task));
  host.Receive = [this](const auto &event) { Keeper->receive(event); };
  return Ok{};
}

Status TaskCell::startZone(const std::string &name, int number) {
  Zone &zone = Zones[name];
  zone::ZoneOptions options;
  options.Zone = ZoneId(name);
  options.Keepers = {KeeperAt};
  options.FleetToken = FleetToken;
  options.WallClock = Wire.clock();
  zone.EntryAt = addressOf(number * PortsPerZone + EntryPort);
  for (int i = 0; i < Options.SchedulersPerZone; ++i) {
    const HostId host(absl::StrCat(name, "-", i));
    zone.Schedulers.push_back(
        {addressOf(number * PortsPerZone + i), host, nullptr});
    options.Peers.push_back({host, zone.Schedulers.back().At});
  }
  for (Scheduler &scheduler : zone.Schedulers) {
    options.Self = scheduler.Host;
    options.Listen = scheduler.At;
    options.ElectionSeed = Options.Seed * KeeperPort + scheduler.At.Port;
    FakeWire::Host &host = Wire.add(scheduler.At);
    auto task = zone::ZoneTask::create(options, host.Context, host.Outbox);
    if (!isOk(task))
      return errorOf(task);
    scheduler.Task = valueOf(std::move(task));
    host.Receive = [raw = scheduler.Task.get()](const auto &event) {
      raw->receive(event);
    };
  }
  if (Status status = startEntry(name, zone); !isOk(status))
    return status;
  for (int i = 0; i < Options.WorkersPerZone; ++i)
    startWorker(name, zone, number * PortsPerZone + FirstWorkerPort + i);
  return Ok{};
}

Status TaskCell::startEntry(const std::string &name, Zone &zone) {
  entry::EntryOptions options;
  options.Self = HostId("entry-" + name);
  options.Zone = ZoneId(name);
  options.Listen = zone.EntryAt;
  std::ranges::transform(zone.Schedulers, std::back_inserter(options.ZonePeers),
                         &Scheduler::At);
  options.Keepers = {KeeperAt};
  options.FleetToken = FleetToken;
  options.OperatorToken = OperatorToken;
  auto links = entry::RunnerLinkPool::create(1);
  FakeWire::Host &host = Wire.add(zone.EntryAt);
  auto task = entry::EntryTask::create(options, host.Context, host.Outbox,
                                       valueOf(std::move(links)));
  if (!isOk(task))
    return errorOf(task);
  zone.Entry = valueOf(std::move(task));
  host.Receive = [raw = zone.Entry.get()](const auto &event) {
    raw->receive(event);
  };
  return Ok{};
}

void TaskCell::startWorker(const std::string &name, Zone &zone, int port) {
  StandinWorkerOptions options;
  options.Announcement = {WorkerId(absl::StrCat("w-", name, "-", port)),
                          Incarnation{1}, RackId("rack"), WorkerHolds, false};
  const Address at = addressOf(port);
  zone.WorkersAt.push_back(at);
  runtime::PollLoop &loop = Wire.add(at).Context.loop();
  entry::EntryTask *entry = zone.Entry.get();
  const auto sync = [entry](fate::WorkerSync sync, TaskWorker::ReplyHook done) {
    entry->execute({api::SyncWorker{FleetToken, std::move(sync)},
                    [done = std::move(done)](Result<api::Reply> reply) {
                      done(as<fate::SyncReply>(std::move(reply)));
                    }});
  };
  zone.Workers.push_back(
      std::make_unique<TaskWorker>(options, loop, sync, Log));
  zone.Workers.back()->start();
}

Result<api::Reply> TaskCell::execute(const std::string &zone,
                                     api::Command command) {
  const auto answer = std::make_shared<std::optional<Result<api::Reply>>>();
  Zones.at(zone).Entry->execute(
      {std::move(command),
       [answer](Result<api::Reply> reply) { *answer = std::move(reply); }});
  if (!Wire.run(Patience, [&] { return answer->has_value(); }))
    return Error{ErrorKind::DeadlineExceeded,
                 "the entry host did not answer the command in time",
                 "check the test's steps and the tasks' logs"};
  return **answer;
}

Result<fate::FateView> TaskCell::submit(const std::string &zone,
                                        const std::string &id,
                                        const std::string &entry,
                                        const std::string &payload,
                                        const std::string &key) {
  return as<fate::FateView>(
      execute(zone, api::Submit{key, RequestId(id), EntryId(entry), payload,
                                std::nullopt, Duration()}));
}

Result<fate::FateView> TaskCell::fate(const std::string &zone,
                                      const std::string &id, Duration wait) {
  return as<fate::FateView>(
      execute(zone, api::GetFate{Kept, RequestId(id), wait}));
}

Result<api::EditReceipt> TaskCell::edit(const std::string &zone,
                                        const catalogue::Change &change,
                                        Revision base) {
  const EditId id(absl::StrCat("edit-", ++LastEdit));
  return as<api::EditReceipt>(execute(
      zone,
      api::EditCatalogue{OperatorToken, {id, base, change, "test"}, false}));
}

api::FleetStatus TaskCell::status(const std::string &zone) {
  auto status = as<api::FleetStatus>(execute(zone, api::GetStatus{}));
  return isOk(status) ? valueOf(std::move(status)) : api::FleetStatus{};
}

void TaskCell::cutOff(const std::string &zone) {
  const Zone &off = Zones.at(zone);
  std::set<Address> side(off.WorkersAt.begin(), off.WorkersAt.end());
  side.insert(off.EntryAt);
  for (const Scheduler &scheduler : off.Schedulers)
    side.insert(scheduler.At);
  Wire.cut(std::move(side));
}

Address TaskCell::leaderOf(const std::string &zone) {
  const api::FleetStatus fleet = status(zone);
  const auto line =
      std::ranges::find(fleet.Zones, ZoneId(zone), &api::ZoneStatus::Zone);
  if (line == fleet.Zones.end())
    return {};
  const auto &all = Zones.at(zone).Schedulers;
  const auto it = std::ranges::find(all, line->Leader, &Scheduler::Host);
  return it == all.end() ? Address{} : it->At;
}

void TaskCell::kill(const Address &scheduler) {
  for (auto &[name, zone] : Zones)
    for (Scheduler &each : zone.Schedulers)
      if (each.At == scheduler)
        each.Task.reset();
  Wire.remove(scheduler);
}

Status TaskCell::prepare() {
  const std::string &zone = Options.Zones.front();
  const std::vector<catalogue::Change> changes = {
      catalogue::PutTeam{{TeamId("events"), 1, Options.Ceiling}},
      catalogue::IssueKey{keyOf(Kept)}, catalogue::IssueKey{keyOf(Spare)},
      catalogue::PutEntry{entryOf("invoices", catalogue::Urgency::Normal)},
      catalogue::PutEntry{entryOf("callouts", catalogue::Urgency::Urgent)}};
  for (const catalogue::Change &change : changes)
    if (auto receipt = edit(zone, change); !isOk(receipt))
      return errorOf(receipt);
  return Ok{};
}

Result<std::unique_ptr<TaskCell>> TaskCell::start(TaskCellOptions options) {
  std::unique_ptr<TaskCell> cell(new TaskCell(std::move(options)));
  if (Status status = cell->startKeeper(); !isOk(status))
    return errorOf(status);
  int number = 0;
  for (const std::string &zone : cell->Options.Zones)
    if (Status status = cell->startZone(zone, ++number); !isOk(status))
      return errorOf(status);
  const Instant end = cell->Wire.now() + Patience;
  const auto isServing = [&] {
    return std::ranges::all_of(cell->Options.Zones, [&](const auto &zone) {
      const api::FleetStatus fleet = cell->status(zone);
      return fleet.Zones.size() == cell->Options.Zones.size() &&
             std::ranges::all_of(fleet.Zones, [&](const auto &line) {
               return line.Workers ==
                      static_cast<uint32_t>(cell->Options.WorkersPerZone);
             });
    });
  };
  while (!isServing()) {
    if (cell->Wire.now() > end)
      return Error{ErrorKind::Unavailable,
                   "the cell did not start serving in time",
                   "check the test's steps and the tasks' logs"};
    cell->Wire.run(Duration::millis(100));
  }
  if (Status status = cell->prepare(); !isOk(status))
    return errorOf(status);
  return cell;
}

} // namespace jujube::testing
