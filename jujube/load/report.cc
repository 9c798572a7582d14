#include "jujube/load/report.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "jujube/load/svg.h"

namespace jujube::load {
namespace {

constexpr absl::string_view LiveClass = "live";
constexpr double MillisPerSecond = 1000;
constexpr double KbPerMb = 1024;

std::string classOf(const RequestRecord &record,
                    const catalogue::Contents &contents) {
  if (record.Planned.Kind == StepKind::Call)
    return std::string(LiveClass);
  for (const auto &entry : contents.Entries)
    if (entry.Value.Id == record.Planned.Entry)
      return std::string(nameIn(catalogue::WorkClassNames, entry.Value.Class));
  return "unknown";
}

void count(const RequestRecord &record, WaitingRow &row) {
  ++row.Requests;
  row.Refused += record.State == RequestState::Refused ? 1 : 0;
  if (record.State != RequestState::Ended)
    return;
  if (record.Planned.Kind == StepKind::Call) {
    ++row.Finished;
    row.Millis.push_back(static_cast<double>(record.Latency.millis()));
    return;
  }
  const fate::FateView &view = *record.Fate;
  const bool isFinished = view.State == fate::FateState::Finished;
  (isFinished ? row.Finished : row.Unfinished) += 1;
  if (view.StartedAt != Instant::never())
    row.Millis.push_back(
        static_cast<double>((view.StartedAt - view.AcceptedAt).millis()));
}

std::size_t countState(const RunOutcome &outcome, RequestState state) {
  return std::ranges::count(outcome.Requests.records(), state,
                            &RequestRecord::State);
}

std::string verdictText(const RunOutcome &outcome) {
  const std::vector<Violation> &violations = outcome.Requests.violations();
  std::string text =
      absl::StrCat("requests ", outcome.Requests.records().size());
  for (const auto &row : RequestStateNames)
    absl::StrAppend(&text, ", ", row.Name, " ", countState(outcome, row.Value));
  absl::StrAppendFormat(&text, "\ntook %.1f s, faults %d, samples %d\n",
                        outcome.Took.millis() / MillisPerSecond,
                        outcome.Faults.size(), outcome.Samples.size());
  absl::StrAppend(&text, "violations ", violations.size(),
                  outcome.IsComplete ? "" : " (the run was cut short)", "\n");
  for (const Violation &violation : violations)
    absl::StrAppend(&text, "  ", nameIn(ViolationKindNames, violation.Kind),
                    ": ", violation.Detail, "\n");
  return text;
}

std::string refusalText(const RunOutcome &outcome) {
  struct Group {
    std::size_t Count = 0;
    const RequestRecord *First = nullptr;
  };
  std::map<ErrorKind, Group> byKind;
  for (const RequestRecord &record : outcome.Requests.records()) {
    if (!record.Refusal)
      continue;
    Group &group = byKind[record.Refusal->Kind];
    group.First = group.Count++ == 0 ? &record : group.First;
  }
  std::string text;
  for (const auto &[kind, group] : byKind)
    absl::StrAppend(&text, "  ", nameIn(ErrorKindNames, kind), " ", group.Count,
                    ", first at ", group.First->Planned.At.millis(),
                    " ms: ", group.First->Refusal->Message, "\n");
  return text.empty() ? text : "\nErrors\n" + text;
}

std::string waitingText(const std::vector<WaitingRow> &rows) {
  std::string text = absl::StrFormat(
      "\nWaiting, ms\n  %-12s %-8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "team",
      "class", "requests", "finished", "refused", "others", "p50", "p90", "p99",
      "max");
  for (const WaitingRow &row : rows)
    absl::StrAppendFormat(
        &text, "  %-12s %-8s %8d %8d %8d %8d %8.0f %8.0f %8.0f %8.0f\n",
        row.Team, row.Class, row.Requests, row.Finished, row.Refused,
        row.Unfinished, quantile(row.Millis, 0.5), quantile(row.Millis, 0.9),
        quantile(row.Millis, 0.99), quantile(row.Millis, 1));
  return text;
}

std::string shareText(const std::vector<ShareRow> &rows) {
  if (rows.empty())
    return {};
  std::string text =
      absl::StrFormat("\nRunning on workers, average\n  %-12s %10s %8s %8s\n",
                      "team", "cores", "part", "share");
  for (const ShareRow &row : rows)
    absl::StrAppendFormat(&text, "  %-12s %10.2f %7.1f%% %7.1f%%\n", row.Team,
                          row.MilliCpu / MillisPerSecond, row.Part * 100,
                          row.Target * 100);
  return text;
}

std::string costText(const std::vector<CostRow> &rows) {
  if (rows.empty())
    return {};
  std::string text = absl::StrFormat("\nCost of control\n  %-20s %12s %12s\n",
                                     "process", "% of a core", "max MB");
  for (const CostRow &row : rows)
    absl::StrAppendFormat(&text, "  %-20s %12.2f %12.1f\n", row.Name,
                          row.CpuPercent, row.MaxResidentMb);
  return text;
}

double secondsOf(Duration at) {
  return static_cast<double>(at.millis()) / MillisPerSecond;
}

Plot waitingPlot(const std::vector<WaitingRow> &rows) {
  Plot plot{"Part of the requests that waited at most so long, per team and "
            "class",
            "ms",
            "part",
            {},
            {},
            XAxis::Log};
  plot.Lines.reserve(rows.size());
  for (const WaitingRow &row : rows) {
    PlotLine line{absl::StrCat(row.Team, " ", row.Class), {}};
    const auto n = static_cast<double>(row.Millis.size());
    // Draws a step function: the fraction grows at each request's waiting time.
    for (std::size_t i = 0; i < row.Millis.size(); ++i) {
      line.Points.push_back({row.Millis[i], static_cast<double>(i) / n});
      line.Points.push_back({row.Millis[i], static_cast<double>(i + 1) / n});
    }
    plot.Lines.push_back(std::move(line));
  }
  return plot;
}

// Returns one line per key of the map that `values` extracts from a sample.
template <typename Values>
std::vector<PlotLine> linesOver(const std::vector<FleetSample> &samples,
                                const Values &values) {
  std::map<std::string, PlotLine> lines;
  for (const FleetSample &sample : samples)
    for (const auto &[name, y] : values(sample)) {
      lines[name].Name = name;
      lines[name].Points.push_back({secondsOf(sample.At), y});
    }
  std::vector<PlotLine> all;
  all.reserve(lines.size());
  for (auto &[name, line] : lines)
    all.push_back(std::move(line));
  return all;
}

// Returns a plot over the time of the run, with the injected faults as marks.
template <typename Values>
Plot timePlot(const RunOutcome &outcome, const std::string &title,
              const std::string &yLabel, const Values &values) {
  Plot plot{title, "s", yLabel, linesOver(outcome.Samples, values)};
  std::ranges::transform(
      outcome.Faults, std::back_inserter(plot.Marks), [](const Fault &fault) {
        return PlotMark{std::string(nameIn(FaultKindNames, fault.Kind)),
                        secondsOf(fault.At)};
      });
  return plot;
}

Plot runningPlot(const RunOutcome &outcome) {
  return timePlot(outcome, "Running on workers per team", "cores",
                  [](const FleetSample &sample) {
                    std::map<std::string, double> cores;
                    for (const auto &[team, use] : sample.Standins.Running)
                      cores[team] = use.MilliCpu / MillisPerSecond;
                    return cores;
                  });
}

Plot packingPlot(const RunOutcome &outcome) {
  return timePlot(outcome, "Reserved part of what workers hold, per zone",
                  "part", [](const FleetSample &sample) {
                    std::map<std::string, double> parts;
                    for (const api::ZoneStatus &zone : sample.Zones)
                      parts[zone.Zone.str()] =
                          dominantShare(zone.Reserved, zone.Held);
                    return parts;
                  });
}

Plot memoryPlot(const RunOutcome &outcome) {
  return timePlot(outcome, "Resident memory per process", "MB",
                  [](const FleetSample &sample) {
                    std::map<std::string, double> mb;
                    for (const auto &[name, use] : sample.Processes)
                      mb[name] = use.ResidentKb / KbPerMb;
                    return mb;
                  });
}

Plot cpuPlot(const RunOutcome &outcome) {
  std::map<std::string, double> last;
  double lastAt = 0;
  return timePlot(outcome, "Processor time per process", "% of a core",
                  [&last, &lastAt](const FleetSample &sample) {
                    std::map<std::string, double> percent;
                    const double at = secondsOf(sample.At);
                    for (const auto &[name, use] : sample.Processes) {
                      const double used = secondsOf(use.Cpu);
                      if (last.contains(name) && at > lastAt)
                        percent[name] =
                            100 * (used - last[name]) / (at - lastAt);
                      last[name] = used;
                    }
                    lastAt = at;
                    return percent;
                  });
}

} // namespace

double quantile(const std::vector<double> &sorted, double p) {
  if (sorted.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(
      std::ceil(p * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(rank, 1) - 1];
}

std::vector<WaitingRow> waitingRows(const RunOutcome &outcome,
                                    const catalogue::Contents &contents) {
  std::map<std::pair<std::string, std::string>, WaitingRow> rows;
  for (const RequestRecord &record : outcome.Requests.records()) {
    const std::string team = record.Planned.Team.str();
    const std::string workClass = classOf(record, contents);
    WaitingRow &row = rows[{team, workClass}];
    row.Team = team;
    row.Class = workClass;
    count(record, row);
  }
  std::vector<WaitingRow> all;
  for (auto &[key, row] : rows) {
    std::ranges::sort(row.Millis);
    all.push_back(std::move(row));
  }
  return all;
}

std::vector<ShareRow> shareRows(const RunOutcome &outcome,
                                const catalogue::Contents &contents) {
  std::map<std::string, double> sums;
  for (const FleetSample &sample : outcome.Samples)
    for (const auto &[team, use] : sample.Standins.Running)
      sums[team] += static_cast<double>(use.MilliCpu);
  std::map<std::string, double> weights;
  for (const auto &team : contents.Teams)
    if (sums.contains(team.Value.Id.str()))
      weights[team.Value.Id.str()] = team.Value.Share;
  const auto total = [](const std::map<std::string, double> &values) {
    return std::accumulate(
        values.begin(), values.end(), 0.0,
        [](double sum, const auto &item) { return sum + item.second; });
  };
  const double allRunning = total(sums);
  const double allWeights = total(weights);
  std::vector<ShareRow> rows;
  rows.reserve(sums.size());
  for (const auto &[team, sum] : sums)
    rows.push_back({team, sum / static_cast<double>(outcome.Samples.size()),
                    allRunning > 0 ? sum / allRunning : 0,
                    allWeights > 0 ? weights[team] / allWeights : 0});
  return rows;
}

std::vector<CostRow> costRows(const RunOutcome &outcome) {
  struct Span {
    FleetSample const *First = nullptr;
    FleetSample const *Last = nullptr;
    int64_t MaxKb = 0;
  };
  std::map<std::string, Span> spans;
  for (const FleetSample &sample : outcome.Samples)
    for (const auto &[name, use] : sample.Processes) {
      Span &span = spans[name];
      span.First = span.First ? span.First : &sample;
      span.Last = &sample;
      span.MaxKb = std::max(span.MaxKb, use.ResidentKb);
    }
  std::vector<CostRow> rows;
  for (const auto &[name, span] : spans) {
    const double wall = secondsOf(span.Last->At - span.First->At);
    const Duration used =
        span.Last->Processes.at(name).Cpu - span.First->Processes.at(name).Cpu;
    rows.push_back({name, wall > 0 ? 100 * secondsOf(used) / wall : 0,
                    span.MaxKb / KbPerMb});
  }
  return rows;
}

std::string renderReport(const RunOutcome &outcome,
                         const catalogue::Contents &contents) {
  return absl::StrCat(verdictText(outcome), refusalText(outcome),
                      waitingText(waitingRows(outcome, contents)),
                      shareText(shareRows(outcome, contents)),
                      costText(costRows(outcome)));
}

std::map<std::string, std::string>
renderPlots(const RunOutcome &outcome, const catalogue::Contents &contents) {
  return {
      {"waiting.svg", renderSvg(waitingPlot(waitingRows(outcome, contents)))},
      {"running.svg", renderSvg(runningPlot(outcome))},
      {"packing.svg", renderSvg(packingPlot(outcome))},
      {"memory.svg", renderSvg(memoryPlot(outcome))},
      {"cpu.svg", renderSvg(cpuPlot(outcome))}};
}

} // namespace jujube::load
