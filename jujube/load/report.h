// The report of a run as text, and its plots as SVG. Does no I/O.
#ifndef JUJUBE_LOAD_REPORT_H_
#define JUJUBE_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "jujube/catalogue/edit.h"
#include "jujube/load/run.h"

namespace jujube::load {

// Waiting times of the requests of one team and class, in milliseconds: from
// acceptance to the start of the last task, or from sending a live request to
// its response.
struct WaitingRow {
  std::string Team;
  std::string Class;
  std::size_t Requests = 0;
  std::size_t Finished = 0;
  std::size_t Refused = 0;
  // Failed, cancelled or not run.
  std::size_t Unfinished = 0;
  // Waiting times in milliseconds, sorted.
  std::vector<double> Millis;
};

std::vector<WaitingRow> waitingRows(const RunOutcome &outcome,
                                    const catalogue::Contents &contents);

// Returns the smallest value such that at least the fraction `p` of the sorted
// values is not above it, or 0 if there are no values.
double quantile(const std::vector<double> &sorted, double p);

// Resources used by the running tasks of a team, averaged over the samples.
struct ShareRow {
  std::string Team;
  double MilliCpu = 0;
  // The team's fraction of the usage of all teams, and of the shares of these
  // teams.
  double Part = 0;
  double Target = 0;
};

std::vector<ShareRow> shareRows(const RunOutcome &outcome,
                                const catalogue::Contents &contents);

// Resources used by a process during the run.
struct CostRow {
  std::string Name;
  // Percent of one core.
  double CpuPercent = 0;
  double MaxResidentMb = 0;
};

std::vector<CostRow> costRows(const RunOutcome &outcome);

// Renders the whole report as text.
std::string renderReport(const RunOutcome &outcome,
                         const catalogue::Contents &contents);

// Renders the plots; the keys are file names.
std::map<std::string, std::string>
renderPlots(const RunOutcome &outcome, const catalogue::Contents &contents);

} // namespace jujube::load

#endif // JUJUBE_LOAD_REPORT_H_
