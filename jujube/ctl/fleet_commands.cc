// Commands that show the state of the fleet.
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

Result<metrics::Snapshot> readHistograms(http::Client &api,
                                         const SessionOptions &options,
                                         const Arguments &args) {
  auto read =
      api.callFor<metrics::Snapshot>({http::Method::Get, "/v1/metrics"});
  if (!isOk(read))
    return errorOf(read);
  metrics::Snapshot &snapshot = valueOf(read);
  snapshot.Counters.clear();
  std::erase_if(snapshot.Histograms, [&](const auto &histogram) {
    return !isSelected(options, args, histogram);
  });
  return std::move(snapshot);
}

std::string histogramsText(const metrics::Snapshot &snapshot) {
  if (snapshot.Histograms.empty())
    return "no observations at this entry host and its zone's leader; see "
           "--each\n";
  std::string text;
  for (const metrics::HistogramValue &histogram : snapshot.Histograms)
    absl::StrAppend(&text, metrics::renderBars(histogram), "\n");
  return text;
}

// Prints the histograms of one entry host under a heading with its name and
// zone.
Status showHistogramsOf(http::Client &api, Session &session,
                        const Arguments &args) {
  const auto status = readStatus(api);
  if (!isOk(status))
    return errorOf(status);
  const auto snapshot = readHistograms(api, session.Options, args);
  if (!isOk(snapshot))
    return errorOf(snapshot);
  const std::string &host = valueOf(status).Host.str();
  const std::string &zone = valueOf(status).Zone.str();
  session.Print(session.Options.IsJson
                    ? absl::StrCat("{\"host\":\"", host, "\",\"zone\":\"", zone,
                                   "\",\"metrics\":",
                                   http::toJson(valueOf(snapshot)), "}\n")
                    : absl::StrCat("== ", host, " in ", zone, "\n",
                                   histogramsText(valueOf(snapshot))));
  return Ok{};
}

Result<Verdict> showHistogramsOfEach(Session &session, const Arguments &args) {
  Verdict verdict = Verdict::Done;
  for (http::Client &api : session.Api.ofEachServer())
    if (const Status shown = showHistogramsOf(api, session, args);
        !isOk(shown)) {
      session.PrintError(absl::StrCat(errorOf(shown).text(), "\n"));
      verdict = Verdict::WorkFailed;
    }
  return verdict;
}

} // namespace

Result<Verdict> showStatus(Session &session, const Arguments & /*args*/) {
  const Result<api::FleetStatus> read = readStatus(session.Api);
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
  if (session.Options.OfEachServer)
    return showHistogramsOfEach(session, args);
  const auto snapshot = readHistograms(session.Api, session.Options, args);
  if (!isOk(snapshot))
    return errorOf(snapshot);
  session.Print(session.Options.IsJson ? http::toJson(valueOf(snapshot)) + "\n"
                                       : histogramsText(valueOf(snapshot)));
  return Verdict::Done;
}

} // namespace jujube::ctl
