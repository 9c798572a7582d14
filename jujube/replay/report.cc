// Renders measures as a table and as JSON.
#include <algorithm>
#include <functional>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "jujube/replay/measures.h"

namespace jujube::replay {
namespace {

// One row of the report.
struct Row {
  std::string Name;
  std::function<double(const Measures &)> Value;
};

using SampleMap = std::map<std::string, Sample>;

void addWaits(std::vector<Row> &rows, const std::string &prefix,
              const SampleMap &names, SampleMap Measures::*map) {
  const auto quantile = [map](const std::string &name, double p) {
    return [map, name, p](const Measures &m) {
      const auto it = (m.*map).find(name);
      return it == (m.*map).end() ? 0 : it->second.quantile(p);
    };
  };
  for (const auto &[name, sample] : names) {
    rows.push_back({absl::StrCat(prefix, name, "_p50_ms"), quantile(name, .5)});
    rows.push_back(
        {absl::StrCat(prefix, name, "_p99_ms"), quantile(name, .99)});
  }
}

// Rows on completion times, packing and shares.
std::vector<Row> qualityRows() {
  return {
      {"completion_mean_s",
       [](const Measures &m) { return m.Completion.mean() / 1000; }},
      {"completion_p50_s",
       [](const Measures &m) { return m.Completion.quantile(.5) / 1000; }},
      {"completion_p99_s",
       [](const Measures &m) { return m.Completion.quantile(.99) / 1000; }},
      {"used_percent",
       [](const Measures &m) { return 100 * m.UsedFraction.mean(); }},
      {"reserved_percent",
       [](const Measures &m) { return 100 * m.ReservedFraction.mean(); }},
      {"packing_percent",
       [](const Measures &m) { return 100 * m.PackingFraction.mean(); }},
      {"full_seconds",
       [](const Measures &m) { return double(m.WorstGap.count()); }},
      {"share_gap_mean_pp",
       [](const Measures &m) { return m.ShareGap.mean(); }},
      {"share_gap_worst_p99_pp",
       [](const Measures &m) { return m.WorstGap.quantile(.99); }},
      {"share_gap_worst_max_pp",
       [](const Measures &m) { return m.WorstGap.max(); }},
  };
}

// Rows on planner decisions and their cost.
std::vector<Row> costRows() {
  return {
      {"overloaded_worker_s",
       [](const Measures &m) { return m.OverloadedSeconds; }},
      {"offers", [](const Measures &m) { return double(m.Offers); }},
      {"finished_tasks",
       [](const Measures &m) { return double(m.FinishedTasks); }},
      {"checkpoints", [](const Measures &m) { return double(m.Checkpoints); }},
      {"stops", [](const Measures &m) { return double(m.Stops); }},
      {"throttles", [](const Measures &m) { return double(m.Throttles); }},
      {"rejections", [](const Measures &m) { return double(m.Rejections); }},
      {"quarantines", [](const Measures &m) { return double(m.Quarantines); }},
      {"lost_work_s", [](const Measures &m) { return m.LostSeconds; }},
      {"unsettled", [](const Measures &m) { return double(m.Unsettled); }},
      {"plan_p99_us",
       [](const Measures &m) { return m.PlanMicros.quantile(.99); }},
      {"plan_max_us", [](const Measures &m) { return m.PlanMicros.max(); }},
      {"planner_us_per_offer",
       [](const Measures &m) { return m.MicrosPerOffer; }},
  };
}

std::vector<Row> rowsFor(const Measures &first) {
  std::vector<Row> rows;
  addWaits(rows, "wait_", first.WaitByClass, &Measures::WaitByClass);
  addWaits(rows, "wait_team_", first.WaitByTeam, &Measures::WaitByTeam);
  std::ranges::move(qualityRows(), std::back_inserter(rows));
  std::ranges::move(costRows(), std::back_inserter(rows));
  return rows;
}

} // namespace

std::string renderTable(const std::vector<std::string> &policies,
                        const std::vector<Measures> &measures) {
  std::string text = absl::StrFormat("%-28s", "measure");
  for (const std::string &policy : policies)
    absl::StrAppend(&text, absl::StrFormat(" %14s", policy));
  text.append("\n");
  for (const Row &row : rowsFor(measures.front())) {
    absl::StrAppend(&text, absl::StrFormat("%-28s", row.Name));
    for (const Measures &m : measures)
      absl::StrAppend(&text, absl::StrFormat(" %14.1f", row.Value(m)));
    text.append("\n");
  }
  return text;
}

std::string renderJson(const std::vector<std::string> &policies,
                       const std::vector<Measures> &measures) {
  const std::vector<Row> rows = rowsFor(measures.front());
  std::string text;
  for (std::size_t i = 0; i < policies.size(); ++i)
    absl::StrAppend(&text, "{\"policy\":\"", policies[i], "\",",
                    absl::StrJoin(rows, ",",
                                  [&](std::string *out, const Row &row) {
                                    absl::StrAppend(out, "\"", row.Name, "\":",
                                                    row.Value(measures[i]));
                                  }),
                    "}\n");
  return text;
}

} // namespace jujube::replay
