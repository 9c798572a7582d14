#include "jujube/load/trace.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace jujube::load {
namespace {

constexpr Duration DefaultCallDeadline = Duration::seconds(5);

// A line of the trace, before its repetitions are expanded.
struct Record {
  Step First;
  Duration Every;
  Duration Until;
};

Error makeLineError(std::size_t line, absl::string_view problem,
                    absl::string_view remedy) {
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("trace line ", line, ": ", problem),
               std::string(remedy)};
}

// The fields of a line; each field is removed when it is read.
class Fields {
public:
  Fields(const std::vector<absl::string_view> &words, std::size_t line)
      : Line(line) {
    for (const absl::string_view word : words) {
      const std::pair<std::string, std::string> field =
          absl::StrSplit(word, absl::MaxSplits('=', 1));
      if (!Values.insert(field).second)
        fail(absl::StrCat(field.first, " is given twice"), "give it once");
    }
  }

  template <typename Id> void id(const std::string &name, Id &out) {
    const std::string text = take(name);
    if (text.empty())
      return;
    Result<Id> parsed = Id::parse(text);
    if (isOk(parsed))
      out = valueOf(std::move(parsed));
    else
      fail(errorOf(parsed).Message, errorOf(parsed).Remedy);
  }

  void span(const std::string &name, Duration &out) {
    int64_t n = out.millis();
    number(name, n);
    out = Duration::millis(n);
  }

  void number(const std::string &name, int64_t &out) {
    const std::string text = take(name);
    if (!text.empty() && (!absl::SimpleAtoi(text, &out) || out < 0))
      fail(absl::StrCat(name, " is '", text, "'"), "give a whole number");
  }

  void flag(const std::string &name, bool &out) {
    int64_t n = 0;
    number(name, n);
    out = n != 0;
  }

  std::string take(const std::string &name) {
    const auto it = Values.find(name);
    if (it == Values.end())
      return {};
    std::string value = it->second;
    Values.erase(it);
    return value;
  }

  void fail(absl::string_view problem, absl::string_view remedy) {
    if (isOk(Outcome))
      Outcome = makeLineError(Line, problem, remedy);
  }

  Status finish() {
    if (!Values.empty())
      fail(absl::StrCat("unknown field ", Values.begin()->first),
           "see docs/LOAD.md for the fields");
    return Outcome;
  }

private:
  std::size_t Line;
  std::map<std::string, std::string> Values;
  Status Outcome = Ok{};
};

Result<Record> parseLine(absl::string_view text, std::size_t line) {
  std::vector<absl::string_view> words =
      absl::StrSplit(text, absl::ByAnyChar(" \t"), absl::SkipEmpty());
  int64_t at = 0;
  if (words.size() < 2 || !absl::SimpleAtoi(words[0], &at) || at < 0)
    return makeLineError(line, "no time and action",
                         "write: MILLISECONDS ACTION NAME=VALUE...");
  const std::optional<StepKind> kind = valueIn(StepKindNames, words[1]);
  if (!kind)
    return makeLineError(line, absl::StrCat("unknown action ", words[1]),
                         absl::StrCat("give one of ", namesIn(StepKindNames)));
  words.erase(words.begin(), words.begin() + 2);
  Record record;
  Step &step = record.First;
  step.At = Duration::millis(at);
  step.Kind = *kind;
  if (step.Kind == StepKind::Call)
    step.Deadline = DefaultCallDeadline;
  int64_t tasks = 0;
  Fields fields(words, line);
  step.Name = fields.take("name");
  fields.id("entry", step.Entry);
  fields.id("team", step.Team);
  fields.id("zone", step.Zone);
  fields.number("tasks", tasks);
  fields.span("run_ms", step.RunTime);
  fields.span("deadline_ms", step.Deadline);
  fields.flag("fail", step.Fails);
  fields.flag("once", step.IsOnce);
  fields.span("every", record.Every);
  fields.span("until", record.Until);
  step.Tasks = static_cast<uint32_t>(tasks);
  if (step.Kind != StepKind::Cancel && step.Entry.empty())
    fields.fail("no entry", "add entry=NAME");
  if (step.Kind == StepKind::Cancel && step.Name.empty())
    fields.fail("no name", "add the name=NAME of the submit");
  if (Status status = fields.finish(); !isOk(status))
    return errorOf(status);
  return record;
}

// Expands a record into its steps. Repeated steps get the suffixes -0, -1 and
// so on after the name.
void expand(const Record &record, std::size_t line, std::size_t maxSteps,
            std::vector<Step> &steps) {
  const std::string name = record.First.Name.empty()
                               ? absl::StrCat("line", line)
                               : record.First.Name;
  const bool isRepeated = record.Every > Duration();
  Step step = record.First;
  std::size_t n = 0;
  do {
    step.Name = isRepeated ? absl::StrCat(name, "-", n++) : name;
    steps.push_back(step);
    step.At = step.At + record.Every;
  } while (isRepeated && step.At < record.Until && steps.size() <= maxSteps);
}

Status checkNames(const std::vector<Step> &steps) {
  std::set<std::string> names;
  for (const Step &step : steps)
    if (step.Kind != StepKind::Cancel && !names.insert(step.Name).second)
      return Error{ErrorKind::InvalidArgument,
                   absl::StrCat("two requests are called ", step.Name),
                   "give each its own name"};
  return Ok{};
}

} // namespace

Result<std::vector<Step>> parseTrace(absl::string_view text,
                                     const TraceLimits &limits) {
  std::vector<Step> steps;
  std::size_t line = 0;
  for (absl::string_view row : absl::StrSplit(text, '\n')) {
    ++line;
    row = absl::StripAsciiWhitespace(row.substr(0, row.find('#')));
    if (row.empty())
      continue;
    const Result<Record> record = parseLine(row, line);
    if (!isOk(record))
      return errorOf(record);
    expand(valueOf(record), line, limits.MaxSteps, steps);
    if (steps.size() > limits.MaxSteps)
      return makeLineError(line, "the trace has too many requests",
                           absl::StrCat("stay within ", limits.MaxSteps));
  }
  std::ranges::stable_sort(steps, {}, &Step::At);
  if (Status status = checkNames(steps); !isOk(status))
    return errorOf(status);
  return steps;
}

} // namespace jujube::load
