// standin-runner: emulates runners that serve live requests.
#include <string>

#include "absl/strings/str_cat.h"
#include "jujube/base/secret_file.h"
#include "jujube/base/settings.h"
#include "jujube/daemon/daemon.h"
#include "testing/standin_runner_tasks.h"

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
      {"zone", SettingKind::Text, "", "availability zone", true},
      {"entry", SettingKind::Text, "", "catalogue entry that is served", true},
      {"name", SettingKind::Text, "runner", "prefix of the runners' ids"},
      {"count", SettingKind::Integer, "1", "runners to emulate", false, 1, 200},
      {"listen", SettingKind::AddressText, "127.0.0.1:0", "address to serve"},
      {"threads", SettingKind::Integer, "60",
       "connections a runner serves at once", false, 1, 4000},
      {"slots", SettingKind::Integer, "8", "slots per runner", false, 1, 64},
      {"mean-ms", SettingKind::Integer, "50", "mean service time", false, 1,
       60000},
      {"seed", SettingKind::Integer, "1", "seed of the service times"},
      {"habit", SettingKind::Text, "none", namesIn(MisbehaviourNames)},
      {"habit-permille", SettingKind::Integer, "1000",
       "share of requests that the fault applies to, in thousandths", false, 0,
       1000},
      {"start", SettingKind::Integer, "0",
       "number of this start; 0 for the wall time"},
      {"silent-after", SettingKind::Millis, "0",
       "time after which announcing and answering stop; 0 for never"},
      {"leave-after", SettingKind::Millis, "0",
       "time after which the runners leave; 0 for never"},
  };
}

Duration neverIfZero(Duration span) {
  return span == Duration() ? Duration::millis(Instant::never().millis())
                            : span;
}

Result<RunnerFleetOptions> optionsFrom(const Settings &settings) {
  const std::optional<Misbehaviour> habit =
      valueIn(MisbehaviourNames, settings.text("habit"));
  if (!habit)
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("--habit ", settings.text("habit")),
                 absl::StrCat("choose one of ", namesIn(MisbehaviourNames))};
  Result<std::string> token = readSecretFile(settings.text("fleet-token-file"));
  if (!isOk(token))
    return errorOf(token);
  RunnerFleetOptions options;
  const int64_t given = settings.integer("start");
  const auto start =
      static_cast<uint64_t>(given > 0 ? given : Clock::wall().now().millis());
  for (int64_t i = 0; i < settings.integer("count"); ++i) {
    StandinRunnerOptions runner;
    runner.Announcement.Runner =
        RunnerId(absl::StrCat(settings.text("name"), "-", i));
    runner.Announcement.Start = {start};
    runner.Announcement.Entry = EntryId(settings.text("entry"));
    runner.Announcement.Zone = ZoneId(settings.text("zone"));
    runner.Announcement.Slots =
        static_cast<uint32_t>(settings.integer("slots"));
    runner.MeanService = Duration::millis(settings.integer("mean-ms"));
    runner.Habit = *habit;
    runner.HabitPermille =
        static_cast<uint32_t>(settings.integer("habit-permille"));
    runner.Seed = static_cast<uint64_t>(settings.integer("seed") + i);
    options.Runners.push_back(std::move(runner));
  }
  options.Entries = settings.addresses("entries");
  options.FleetToken = valueOf(std::move(token));
  options.TlsAuthority = settings.text("tls-ca");
  options.Listen = settings.address("listen");
  options.Threads = static_cast<std::size_t>(settings.integer("threads") *
                                             settings.integer("count"));
  options.SilentAfter = neverIfZero(settings.duration("silent-after"));
  options.LeaveAfter = neverIfZero(settings.duration("leave-after"));
  return options;
}

Result<runtime::Supervisor> makeTree(const Settings &settings) {
  Result<RunnerFleetOptions> options = optionsFrom(settings);
  if (!isOk(options))
    return errorOf(options);
  return runnerTree(valueOf(std::move(options)));
}

} // namespace
} // namespace jujube::testing

int main(int argc, char **argv) {
  using namespace jujube::testing;
  return jujube::daemon::runDaemon("standin-runner [flags]", specs(), makeTree,
                                   argc, argv);
}
