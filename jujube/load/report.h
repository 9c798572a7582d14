// The report of a run: text, and plots as SVG. Pure.
#ifndef JUJUBE_LOAD_REPORT_H_
#define JUJUBE_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "jujube/catalogue/edit.h"
#include "jujube/load/run.h"

namespace jujube::load {

// Waiting of the requests of one team and class, in milliseconds: from
// acceptance to the start of the last task, or of a live request to its answer.
struct WaitingRow {
  std::string Team;
  std::string Class;
  std::size_t Requests = 0;
  std::size_t Finished = 0;
  std::size_t Refused = 0;
  // Failed, cancelled or not run.
  std::size_t Unfinished = 0;
  // Sorted.
  std::vector<double> Millis;
};

std::vector<WaitingRow> waitingRows(const RunOutcome &outcome,
                                    const catalogue::Contents &contents);

// The smallest value that at least the part `p` of the sorted values does not
// exceed; 0 if there are none.
double quantile(const std::vector<double> &sorted, double p);

// What a team had running, averaged over the samples.
struct ShareRow {
  std::string Team;
  double MilliCpu = 0;
  // Part of what all teams had running, and of the shares of these teams.
  double Part = 0;
  double Target = 0;
};

std::vector<ShareRow> shareRows(const RunOutcome &outcome,
                                const catalogue::Contents &contents);

// What a process used over the run.
struct CostRow {
  std::string Name;
  // Hundredths of a core.
  double CpuPercent = 0;
  double MaxResidentMb = 0;
};

std::vector<CostRow> costRows(const RunOutcome &outcome);

// The whole report as text.
std::string renderReport(const RunOutcome &outcome,
                         const catalogue::Contents &contents);

// The plots, by file name.
std::map<std::string, std::string>
renderPlots(const RunOutcome &outcome, const catalogue::Contents &contents);

} // namespace jujube::load

#endif // JUJUBE_LOAD_REPORT_H_
