// Defines the processes of a cell and their flags.
#include <atomic>
#include <cstdlib>
#include <random>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "glog/logging.h"
#include "jujube/runtime/sockets.h"
#include "testing/cell.h"

namespace jujube::testing {
namespace {

constexpr int Keepers = 3;

// Ports below the kernel's ephemeral range: an outgoing connection could take
// an ephemeral port before the process that the port was chosen for.
constexpr int FirstPort = 10'000;
constexpr int Ports = 11'000;

// Returns an address with a free port; each call returns a different port.
Address freeAddress() {
  static std::atomic<unsigned> next = std::random_device()();
  for (int tries = 0;; ++tries) {
    CHECK(tries < Ports) << "no free port";
    Address address{"127.0.0.1",
                    static_cast<uint16_t>(FirstPort + next++ % Ports)};
    if (isOk(runtime::listenTcp(address)))
      return address;
  }
}

std::string binary(const std::string &name) {
  // Tests read the environment before they start a thread.
  const char *folder =
      std::getenv("JUJUBE_BIN"); // NOLINT(concurrency-mt-unsafe)
  return absl::StrCat(folder ? folder : "build/bin", "/", name);
}

} // namespace

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

} // namespace jujube::testing
