// standin-worker: emulates workers that run tasks as timers.
#include <string>

#include "absl/strings/str_cat.h"
#include "jujube/base/secret_file.h"
#include "jujube/base/settings.h"
#include "jujube/daemon/daemon.h"
#include "testing/standin_worker_tasks.h"

namespace jujube::testing {
namespace {

std::vector<SettingSpec> specs() {
  return {
      {"entries", SettingKind::AddressList, "", "entry hosts of the zone",
       true},
      {"fleet-token-file", SettingKind::Text, "", "file with the fleet token",
       true},
      {"tls-ca", SettingKind::Text, "",
       "PEM file of the entry hosts' authority; turns TLS on"},
      {"name", SettingKind::Text, "worker", "prefix of the workers' ids"},
      {"count", SettingKind::Integer, "1", "workers to emulate", false, 1, 200},
      {"rack-size", SettingKind::Integer, "8", "workers per rack", false, 1,
       1000},
      {"milli-cpu", SettingKind::Integer, "16000",
       "processors, in thousandths"},
      {"memory-mb", SettingKind::Integer, "65536", "memory"},
      {"accelerators", SettingKind::Integer, "0", "accelerators"},
      {"stats", SettingKind::AddressText, "127.0.0.1:0", "serves GET /stats"},
      {"run-time", SettingKind::Millis, "1000",
       "run time of tasks whose payload has no run_ms"},
      {"usage-lag", SettingKind::Millis, "3000", "age of reported usage"},
      {"fail-all", SettingKind::Switch, "false", "fail every task"},
      {"silent-after", SettingKind::Millis, "0",
       "time after which syncing stops; 0 for never"},
  };
}

StandinWorkerOptions workerFrom(const Settings &settings, int64_t i) {
  StandinWorkerOptions worker;
  fate::WorkerAnnouncement &announcement = worker.Announcement;
  announcement.Worker = WorkerId(absl::StrCat(settings.text("name"), "-", i));
  announcement.WorkerIncarnation = {
      static_cast<uint64_t>(Clock::wall().now().millis())};
  announcement.Rack = RackId(absl::StrCat(settings.text("name"), "-rack-",
                                          i / settings.integer("rack-size")));
  announcement.Capacity = {settings.integer("milli-cpu"),
                           settings.integer("memory-mb"),
                           settings.integer("accelerators")};
  worker.DefaultRunTime = settings.duration("run-time");
  worker.UsageLag = settings.duration("usage-lag");
  worker.FailsAll = settings.isOn("fail-all");
  return worker;
}

Result<WorkerFleetOptions> optionsFrom(const Settings &settings) {
  Result<std::string> token = readSecretFile(settings.text("fleet-token-file"));
  if (!isOk(token))
    return errorOf(token);
  WorkerFleetOptions options;
  for (int64_t i = 0; i < settings.integer("count"); ++i)
    options.Workers.push_back(workerFrom(settings, i));
  options.Entries = settings.addresses("entries");
  options.FleetToken = valueOf(std::move(token));
  options.TlsAuthority = settings.text("tls-ca");
  options.Stats = settings.address("stats");
  if (settings.duration("silent-after") > Duration())
    options.SilentAfter = settings.duration("silent-after");
  return options;
}

Result<runtime::Supervisor> makeTree(const Settings &settings) {
  Result<WorkerFleetOptions> options = optionsFrom(settings);
  if (!isOk(options))
    return errorOf(options);
  return workerTree(valueOf(std::move(options)));
}

} // namespace
} // namespace jujube::testing

int main(int argc, char **argv) {
  using namespace jujube::testing;
  return jujube::daemon::runDaemon("standin-worker [flags]", specs(), makeTree,
                                   argc, argv);
}
