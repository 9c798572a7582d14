#include "jujube/ctl/explanation.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "jujube/ctl/table.h"

namespace jujube::ctl {
namespace {

using logging::Event;
using logging::ParsedLine;

// Lines about workers and leaders are included if they are at most this long
// before or after the lines of the request.
constexpr Duration ContextMargin = Duration::seconds(1);

// Keys of job_ended for the time that a job waited, by cause.
constexpr std::array<absl::string_view, 4> WaitKeys = {
    "wait_room_ms", "wait_approval_ms", "wait_team_maximum_ms",
    "wait_no_worker_ms"};

bool isAbout(const ParsedLine &line, const std::string &request) {
  return line.value("job") == request || line.value("request") == request;
}

// Returns true if the line reports an event that may delay requests: a change
// of a worker, leader or host, a slow disk, or dropped log lines.
bool isContext(const ParsedLine &line, const std::set<std::string> &workers,
               const std::set<std::string> &hosts) {
  switch (line.What) {
  case Event::WorkerUnreachable:
  case Event::WorkerReachable:
  case Event::WorkerLost:
  case Event::WorkerRestarted:
  case Event::LeasesExpired:
    return workers.contains(line.value("worker"));
  case Event::RoleChanged:
    return line.value("role") == "leader";
  case Event::DiskSlow:
  case Event::LinesDropped:
    return true;
  case Event::LeaderLost:
  case Event::LeaderFound:
  case Event::Started:
  case Event::StopRequested:
    return hosts.contains(line.Host);
  default:
    return false;
  }
}

std::vector<ParsedLine> select(const std::string &request,
                               const std::vector<ParsedLine> &all) {
  std::set<std::string> workers;
  std::set<std::string> hosts;
  Instant first = Instant::never();
  Instant last;
  for (const ParsedLine &line : all)
    if (isAbout(line, request)) {
      workers.insert(line.value("worker"));
      hosts.insert(line.Host);
      first = std::min(first, line.At);
      last = std::max(last, line.At);
    }
  std::vector<ParsedLine> selected;
  std::ranges::copy_if(all, std::back_inserter(selected),
                       [&](const ParsedLine &line) {
                         const bool isNear = line.At >= first - ContextMargin &&
                                             line.At <= last + ContextMargin;
                         return isAbout(line, request) ||
                                (isNear && isContext(line, workers, hosts));
                       });
  return selected;
}

bool isSubmit(const ParsedLine &line) {
  return line.value("command") == "submit_job";
}

// Merges the lines of all hosts; see linesAbout().
class CausalMerge {
public:
  explicit CausalMerge(const std::vector<ParsedLine> &lines) {
    for (const ParsedLine &line : lines)
      Hosts[line.Host].push_back(line);
  }

  std::vector<ParsedLine> run() {
    std::vector<ParsedLine> merged;
    while (std::deque<ParsedLine> *from = next()) {
      const ParsedLine &line = from->front();
      HasForwarded |= line.What == Event::CallForwarded && isSubmit(line);
      HasAccepted |= line.What == Event::JobAccepted;
      merged.push_back(line);
      from->pop_front();
    }
    return merged;
  }

private:
  std::deque<ParsedLine> *next() {
    std::deque<ParsedLine> *earliest = nullptr;
    std::deque<ParsedLine> *allowed = nullptr;
    for (auto &[host, lines] : Hosts) {
      if (lines.empty())
        continue;
      const Instant at = lines.front().At;
      if (earliest == nullptr || at < earliest->front().At)
        earliest = &lines;
      if (!mustWait(lines.front()) &&
          (allowed == nullptr || at < allowed->front().At))
        allowed = &lines;
    }
    return allowed != nullptr ? allowed : earliest;
  }

  // Returns true if a remaining line must have been written before this line.
  bool mustWait(const ParsedLine &line) const {
    if (const auto term = line.number("term"))
      if (anyRemaining([&](const ParsedLine &other) {
            const auto before = other.number("term");
            return before && *before < *term;
          }))
        return true;
    if (line.What == Event::JobAccepted && !HasForwarded)
      return anyRemaining([](const ParsedLine &other) {
        return other.What == Event::CallForwarded && isSubmit(other);
      });
    if (line.What == Event::CallAnswered && isSubmit(line) && !HasAccepted)
      return anyRemaining([](const ParsedLine &other) {
        return other.What == Event::JobAccepted;
      });
    return false;
  }

  template <typename Predicate> bool anyRemaining(Predicate predicate) const {
    return std::ranges::any_of(Hosts, [&](const auto &it) {
      return std::ranges::any_of(it.second, predicate);
    });
  }

  std::map<std::string, std::deque<ParsedLine>> Hosts;
  bool HasForwarded = false;
  bool HasAccepted = false;
};

std::string pairsText(const ParsedLine &line, const std::string &request) {
  std::string text;
  for (const auto &[key, value] : line.Pairs)
    if (value != request)
      absl::StrAppend(&text, " ", key, "=", value);
  return text;
}

// Formats how a job spent its time, from its job_ended line: "total 900 ms:
// ...".
std::string timeBreakdownText(const ParsedLine &ended) {
  const int64_t total = ended.number("after_ms").value_or(0);
  const int64_t observed = ended.number("observed_ms").value_or(total);
  int64_t waited = 0;
  std::string text;
  for (const absl::string_view key : WaitKeys) {
    const int64_t ms = ended.number(key).value_or(0);
    waited += ms;
    if (ms > 0)
      absl::StrAppend(&text, ", ", key, " ", ms);
  }
  return absl::StrCat("before this leader or between hosts ",
                      std::max<int64_t>(total - observed, 0), " ms, at work ",
                      observed - waited, " ms", text);
}

std::string outcomeText(const std::vector<ParsedLine> &lines) {
  std::map<Event, int> counts;
  const ParsedLine *ended = nullptr;
  for (const ParsedLine &line : lines) {
    ++counts[line.What];
    if (line.What == Event::JobEnded)
      ended = &line;
  }
  std::string text = absl::StrCat(
      "calls forwarded ", counts[Event::CallForwarded], ", refused ",
      counts[Event::CallRefused], "; starts ", counts[Event::StartSent],
      ", refused ", counts[Event::StartRefused], "; unsuccessful attempts ",
      counts[Event::AttemptEnded], "\n");
  if (ended == nullptr)
    return text + "these logs do not contain the end of the request\n";
  absl::StrAppend(&text, "ended ", ended->value("state"), " after ",
                  ended->value("after_ms"), " ms");
  if (ended->number("objective_ms"))
    absl::StrAppend(&text, ", objective ", ended->value("objective_ms"), " ms");
  return absl::StrCat(text, ": ", timeBreakdownText(*ended), "\n");
}

bool isLate(const ParsedLine &ended) {
  const auto total = ended.number("after_ms");
  const auto objective = ended.number("objective_ms");
  return total && objective && *total > *objective;
}

struct QueueLateness {
  int Jobs = 0;
  int Late = 0;
  int64_t Total = 0;
  int64_t Unobserved = 0;
  std::array<int64_t, WaitKeys.size()> Waited = {};

  void add(const ParsedLine &ended) {
    ++Jobs;
    if (!isLate(ended))
      return;
    ++Late;
    const int64_t total = ended.number("after_ms").value_or(0);
    Total += total;
    Unobserved += total - ended.number("observed_ms").value_or(total);
    for (std::size_t i = 0; i < WaitKeys.size(); ++i)
      Waited[i] += ended.number(WaitKeys[i]).value_or(0);
  }
};

std::string meanText(int64_t sum, int n) {
  return n == 0 ? "-" : absl::StrCat(sum / n);
}

} // namespace

std::vector<ParsedLine> linesAbout(const std::string &request,
                                   const std::vector<ParsedLine> &all) {
  return CausalMerge(select(request, all)).run();
}

std::string explanationText(const std::string &request,
                            const std::vector<ParsedLine> &lines) {
  if (lines.empty())
    return absl::StrCat("no line names ", request, "\n");
  std::string text;
  const Instant first = lines.front().At;
  for (const ParsedLine &line : lines)
    absl::StrAppendFormat(
        &text, "%+8d ms  %s  %s%s\n", (line.At - first).millis(), line.Host,
        nameIn(logging::EventNames, line.What), pairsText(line, request));
  return text + outcomeText(lines);
}

std::string latenessText(const std::vector<ParsedLine> &all) {
  std::map<std::string, QueueLateness> queues;
  for (const ParsedLine &line : all)
    if (line.What == Event::JobEnded && line.value("state") != "cancelled")
      queues[line.value("queue")].add(line);
  Table table({"queue", "jobs", "late", "mean ms", "other leader", "room",
               "approval", "team maximum", "no worker", "at work"});
  for (const auto &[queue, it] : queues) {
    int64_t rest = it.Total - it.Unobserved;
    std::vector<std::string> row = {
        queue, absl::StrCat(it.Jobs), absl::StrCat(it.Late),
        meanText(it.Total, it.Late), meanText(it.Unobserved, it.Late)};
    for (const int64_t waited : it.Waited) {
      row.push_back(meanText(waited, it.Late));
      rest -= waited;
    }
    row.push_back(meanText(rest, it.Late));
    table.add(std::move(row));
  }
  return table.text();
}

} // namespace jujube::ctl
