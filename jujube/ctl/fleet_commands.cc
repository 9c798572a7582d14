// Commands for the state of the fleet.
#include <vector>

#include "absl/strings/str_cat.h"
#include "jujube/ctl/commands.h"
#include "jujube/ctl/table.h"
#include "jujube/http/json.h"
#include "jujube/metrics/metrics.h"

namespace jujube::ctl {
namespace {

bool isSelected(const SessionOptions &options, const Arguments &args,
                const metrics::HistogramValue &histogram) {
  return (args.empty() || histogram.Name == args[0]) &&
         (options.Team.empty() || histogram.For.Team == options.Team) &&
         (options.Class.empty() || histogram.For.Class == options.Class);
}

} // namespace

Result<Verdict> showStatus(Session &session, const Arguments & /*args*/) {
  const Result<api::FleetStatus> read = readStatus(session);
  if (!isOk(read))
    return errorOf(read);
  const api::FleetStatus &status = valueOf(read);
  if (session.Options.IsJson) {
    session.Print(http::toJson(status) + "\n");
    return Verdict::Done;
  }
  session.Print(
      absl::StrCat("entry host ", status.Host.str(), " in ", status.Zone.str(),
                   status.IsLeaving ? " (leaving)" : "",
                   ", catalogue revision ", status.Catalogue.Value,
                   " confirmed ", status.CatalogueAge.millis(), " ms ago\n\n"));
  Table zones({"ZONE", "LEADER", "VOTERS", "WORKERS", "QUARANTINED", "QUEUED",
               "RUNNING", "RESERVED", "HELD"});
  for (const api::ZoneStatus &zone : status.Zones)
    zones.add({zone.Zone.str(),
               zone.Leader.empty() ? "none known" : zone.Leader.str(),
               absl::StrCat(zone.Voters), absl::StrCat(zone.Workers),
               absl::StrCat(zone.QuarantinedWorkers),
               absl::StrCat(zone.QueuedTasks), absl::StrCat(zone.RunningTasks),
               resourcesText(zone.Reserved), resourcesText(zone.Held)});
  Table runners({"RUNNER", "ENTRY", "ZONE", "SLOTS", "IN FLIGHT", "LEAVING"});
  for (const api::RunnerStatus &runner : status.Runners)
    runners.add({runner.Runner.str(), runner.Entry.str(), runner.Zone.str(),
                 absl::StrCat(runner.Slots), absl::StrCat(runner.InFlight),
                 runner.IsLeaving ? "yes" : "no"});
  session.Print(absl::StrCat(zones.text(), "\n", runners.text()));
  return Verdict::Done;
}

Result<Verdict> showHistograms(Session &session, const Arguments &args) {
  auto read = session.Api.callFor<metrics::Snapshot>(
      {http::Method::Get, "/v1/metrics"});
  if (!isOk(read))
    return errorOf(read);
  metrics::Snapshot &snapshot = valueOf(read);
  std::erase_if(snapshot.Histograms, [&](const auto &histogram) {
    return !isSelected(session.Options, args, histogram);
  });
  if (session.Options.IsJson) {
    snapshot.Counters.clear();
    session.Print(http::toJson(snapshot) + "\n");
    return Verdict::Done;
  }
  if (snapshot.Histograms.empty())
    session.Print("no observations at this entry host and its zone's leader; "
                  "ask another with --server\n");
  for (const metrics::HistogramValue &histogram : snapshot.Histograms)
    session.Print(absl::StrCat(metrics::renderBars(histogram), "\n"));
  return Verdict::Done;
}

} // namespace jujube::ctl
