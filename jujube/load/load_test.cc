// Tests of traces, the ledger's checks, process statistics and plots.
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jujube/load/driver.h"
#include "jujube/load/fleet_sample.h"
#include "jujube/load/ledger.h"
#include "jujube/load/process_watch.h"
#include "jujube/load/report.h"
#include "jujube/load/svg.h"
#include "jujube/load/trace.h"

namespace jujube::load {
namespace {

constexpr TraceLimits Limits{100};

std::string problemOf(absl::string_view trace) {
  const auto steps = parseTrace(trace, Limits);
  BOOST_REQUIRE(!isOk(steps));
  BOOST_TEST(!errorOf(steps).Remedy.empty());
  return errorOf(steps).Message;
}

Step submitStep() {
  Step step;
  step.Name = "a";
  step.Entry = EntryId("invoices");
  step.Team = TeamId("billing");
  return step;
}

fate::FateView finished(const RequestId &id, const std::string &answer) {
  fate::FateView view{id, TeamId("billing"), EntryId("invoices"),
                      fate::FateState::Finished};
  view.Tasks = {{0, fate::FateState::Finished, 1, WorkerId("w"), answer}};
  view.StartedAt = Instant::fromMillis(40);
  return view;
}

ViolationKind onlyViolation(const Ledger &ledger) {
  BOOST_REQUIRE(ledger.violations().size() == 1U);
  return ledger.violations()[0].Kind;
}

// A ledger with one accepted submit, at index 0.
class OneRequest {
public:
  OneRequest() {
    Requests.add(submitStep(), Id);
    Requests.submitted(0, fate::FateView{Id}, false);
  }
  const RequestId Id{"pf.a"};
  Ledger Requests;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadTest)

BOOST_AUTO_TEST_CASE(TraceStepsAreRepeatedAndOrdered) {
  const auto steps = parseTrace(
      "# a day\n"
      "20 submit name=b entry=invoices team=billing tasks=3 once=1\n"
      "0 call name=c entry=desk team=events every=15 until=40 # calls\n"
      "30 cancel name=b\n",
      Limits);
  BOOST_REQUIRE(isOk(steps));
  std::string order;
  for (const Step &step : valueOf(steps))
    absl::StrAppend(&order, step.At.millis(), step.Name, " ");
  BOOST_TEST(order == "0c-0 15c-1 20b 30c-2 30b ");
  BOOST_TEST(valueOf(steps)[2].Tasks == 3U);
  BOOST_TEST(valueOf(steps)[2].IsOnce);
}

BOOST_AUTO_TEST_CASE(TraceErrorsNameTheLine) {
  BOOST_TEST(problemOf("\n5 dance") == "trace line 2: unknown action dance");
  BOOST_TEST(problemOf("x submit") == "trace line 1: no time and action");
  BOOST_TEST(problemOf("0 submit") == "trace line 1: no entry");
  BOOST_TEST(problemOf("0 submit entry=e colour=red") ==
             "trace line 1: unknown field colour");
  BOOST_TEST(problemOf("0 submit entry=e tasks=-1") ==
             "trace line 1: tasks is '-1'");
  BOOST_TEST(problemOf("0 call entry=e every=1 until=1000000") ==
             "trace line 1: the trace has too many requests");
  BOOST_TEST(problemOf("0 submit entry=e name=a\n1 call entry=e name=a") ==
             "two requests are called a");
}

BOOST_AUTO_TEST_CASE(AWholeAnswerKeepsThePromises) {
  OneRequest one;
  one.Requests.polled(0, finished(one.Id, expectedAnswer(one.Id)));
  one.Requests.polled(0, finished(one.Id, expectedAnswer(one.Id)));
  one.Requests.close();
  BOOST_TEST(one.Requests.violations().empty());
  BOOST_TEST(one.Requests.pending() == 0U);
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestIsAViolation) {
  OneRequest one;
  one.Requests.polled(0,
                      finished(one.Id, expectedAnswer(RequestId("pf.other"))));
  BOOST_TEST((onlyViolation(one.Requests) == ViolationKind::WrongAnswer));
}

BOOST_AUTO_TEST_CASE(ALostPartOfAnAnswerIsAViolation) {
  OneRequest one;
  one.Requests.polled(0, finished(one.Id, expectedAnswer(one.Id).substr(0, 5)));
  BOOST_TEST((onlyViolation(one.Requests) == ViolationKind::WrongAnswer));
}

BOOST_AUTO_TEST_CASE(AFinalFateMustNotChange) {
  OneRequest one;
  one.Requests.polled(0, finished(one.Id, expectedAnswer(one.Id)));
  fate::FateView changed = finished(one.Id, expectedAnswer(one.Id));
  changed.State = fate::FateState::NotRun;
  one.Requests.polled(0, changed);
  BOOST_TEST((onlyViolation(one.Requests) == ViolationKind::FateChanged));
}

BOOST_AUTO_TEST_CASE(AnAcceptedRequestMustNotBeForgotten) {
  const Error unknown{ErrorKind::NotFound, "not known", "submit it"};
  OneRequest one;
  one.Requests.polled(0, unknown);
  BOOST_TEST((onlyViolation(one.Requests) == ViolationKind::Forgotten));
  // A request whose acceptance was never confirmed may be unknown.
  Ledger ledger;
  ledger.add(submitStep(), RequestId("pf.b"));
  ledger.submitted(0, Error{ErrorKind::Unavailable, "gone", "retry"}, true);
  BOOST_TEST(ledger.isPending(0));
  ledger.polled(0, unknown);
  ledger.close();
  BOOST_TEST(ledger.violations().empty());
}

BOOST_AUTO_TEST_CASE(AnAcceptedRequestNeedsAFinalFate) {
  OneRequest one;
  one.Requests.close();
  BOOST_TEST((onlyViolation(one.Requests) == ViolationKind::NoFinalFate));
}

BOOST_AUTO_TEST_CASE(StandinCountsAreSummedOverWorkersAndProcesses) {
  StandinCounts counts;
  const std::string stats =
      R"({"concurrent_duplicates":1,"workers":[{"over_capacity":2},)"
      R"({"over_capacity":3}],"teams":{"farms":{"now":{"milli_cpu":500}}}})";
  BOOST_TEST(isOk(counts.addFrom(stats)));
  BOOST_TEST(isOk(counts.addFrom(stats)));
  BOOST_TEST(isOk(counts.addFrom(R"({"runners":[{"slot_violations":1}]})")));
  BOOST_TEST(!isOk(counts.addFrom("oops")));
  BOOST_TEST(counts.ConcurrentDuplicates == 2U);
  BOOST_TEST(counts.OverCapacity == 10U);
  BOOST_TEST(counts.SlotViolations == 1U);
  BOOST_TEST(counts.Running["farms"].MilliCpu == 1000);
}

BOOST_AUTO_TEST_CASE(ProcessUseIsReadFromProc) {
  const auto use = parseUse("7 (odd) name) S 1 7 7 0 -1 4 0 0 0 0 30 20 0 0",
                            "100 25 3", 100, 4096);
  BOOST_REQUIRE(use.has_value());
  BOOST_TEST(use->Cpu.millis() == 500);
  BOOST_TEST(use->ResidentKb == 100);
  BOOST_TEST(!parseUse("nonsense", "", 100, 4096).has_value());
  BOOST_TEST(readUse(getpid()).has_value());
}

BOOST_AUTO_TEST_CASE(FaultsNameSingleProcessesOnly) {
  const auto faults = parseFaults("500:kill:42,900:pause:43");
  BOOST_REQUIRE(isOk(faults));
  BOOST_TEST((valueOf(faults)[1] ==
              Fault{Duration::millis(900), FaultKind::Pause, 43}));
  for (const absl::string_view bad :
       {"500:kill:0", "500:kill:-42", "500:kill:1", "500:burn:42", "kill:42"})
    BOOST_TEST(!isOk(parseFaults(bad)), bad);
  BOOST_TEST(!isOk(parseWatched("keeper=-1")));
}

BOOST_AUTO_TEST_CASE(ReportCountsPerTeamAndClass) {
  RunOutcome outcome;
  const RequestId id("pf.a");
  outcome.Requests.add(submitStep(), id);
  outcome.Requests.submitted(0, finished(id, expectedAnswer(id)), false);
  catalogue::Contents contents;
  contents.Entries = {{{EntryId("invoices"), TeamId("billing")}, {}}};
  const auto rows = waitingRows(outcome, contents);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows[0].Class == "batch");
  BOOST_TEST(rows[0].Finished == 1U);
  BOOST_TEST(quantile(rows[0].Millis, 0.99) == 40.0);
  for (const auto &[name, svg] : renderPlots(outcome, contents))
    BOOST_TEST(absl::EndsWith(svg, "</svg>\n"), name);
}

std::size_t countOf(absl::string_view text, absl::string_view part) {
  return std::vector<absl::string_view>(absl::StrSplit(text, part)).size() - 1;
}

BOOST_AUTO_TEST_CASE(MoreLinesThanColoursStayDistinct) {
  Plot plot{"Memory", "s", "MB", {}, {{"kill", 3}}};
  for (int i = 0; i < 21; ++i)
    plot.Lines.push_back({absl::StrCat("p", i), {{0, 0}, {7, i * 1.0}}});
  const std::string svg = renderSvg(plot);
  // Each style is used once by a line and once by its legend row.
  BOOST_TEST(countOf(svg, "stroke=\"#1f77b4\" stroke-dasharray=\"none\"") ==
             2U);
  BOOST_TEST(countOf(svg, "stroke=\"#1f77b4\" stroke-dasharray=\"7 3\"") == 2U);
  BOOST_TEST(countOf(svg, "stroke=\"#1f77b4\" stroke-dasharray=\"2 2\"") == 2U);
  BOOST_TEST(absl::StrContains(svg, ">kill</text>"));
  for (const char *tick : {">0<", ">2<", ">4<", ">6<"})
    BOOST_TEST(absl::StrContains(svg, tick), tick);
}

BOOST_AUTO_TEST_CASE(AThinnedLineKeepsItsEnd) {
  PlotLine line{"a", {}};
  for (int i = 0; i < 1250; ++i)
    line.Points.push_back({i * 1.0, i == 1249 ? 10.0 : 0.0});
  const std::string svg = renderSvg({"Waiting", "ms", "part", {line}});
  BOOST_TEST(absl::StrContains(svg, "L670.0 40.0\""));
}

BOOST_AUTO_TEST_CASE(ALogarithmicAxisHasPowersOfTen) {
  const Plot plot{"Waiting", "ms",      "part", {{"a", {{0, 0.5}, {350, 1}}}},
                  {},        XAxis::Log};
  const std::string svg = renderSvg(plot);
  for (const char *tick : {">0<", ">1<", ">10<", ">100<"})
    BOOST_TEST(absl::StrContains(svg, tick), tick);
  BOOST_TEST(!absl::StrContains(svg, ">1000<"));
  BOOST_TEST(absl::StrContains(svg, "M70.0 "));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::load
