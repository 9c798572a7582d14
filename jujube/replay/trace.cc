#include "jujube/replay/trace.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "jujube/replay/fields.h"

namespace jujube::replay {
namespace {

// Each record type lists its fields once, for both reading and writing.

template <typename F> void visitFields(F &f, TraceHeader &r) {
  f.version(FormatVersion);
  f.field("name", r.Name);
  f.field("offer_ms", r.OfferDelay);
  f.field("stop_ms", r.StopDelay);
  f.field("checkpoint_ms", r.CheckpointDelay);
  f.field("usage_ms", r.UsagePeriod);
  f.field("lease_ms", r.LeaseDelay);
}

template <typename F> void visitFields(F &f, TeamRecord &r) {
  f.field("id", r.Team.Id);
  f.field("share", r.Team.Share);
  f.resources("", r.Team.Ceiling);
}

template <typename F> void visitFields(F &f, EntryRecord &r) {
  catalogue::Entry &entry = r.Entry;
  f.field("id", entry.Id);
  f.field("team", entry.Owner);
  f.named("class", entry.Class, catalogue::WorkClassNames);
  f.named("priority", entry.Priority, catalogue::UrgencyNames);
  f.field("tasks", entry.Tasks);
  f.resources("", entry.Demand);
  f.field("run_ms", entry.RunTime);
  f.field("max_running", entry.MaxRunning);
  f.field("max_attempts", entry.MaxAttempts);
  f.field("idempotent", entry.IsIdempotent);
  f.field("checkpoint", entry.CanCheckpoint);
  f.field("throttle", entry.CanThrottle);
}

template <typename F> void visitFields(F &f, WorkerRecord &r) {
  f.field("id", r.Worker.Worker);
  f.field("start", r.Worker.WorkerIncarnation.Value);
  f.field("rack", r.Worker.Rack);
  f.resources("", r.Worker.Capacity);
  f.field("leaving", r.Worker.IsLeaving);
  f.field("failing", r.IsFailing);
}

template <typename F> void visitFields(F &f, LostRecord &r) {
  f.field("id", r.Worker);
}

template <typename F> void visitFields(F &f, SliceRecord &r) {
  f.field("team", r.Team);
  f.resources("", r.Slice);
}

template <typename F> void visitFields(F &f, SubmitRecord &r) {
  f.field("id", r.Request);
  f.field("entry", r.Entry);
  f.field("tasks", r.Tasks);
  f.field("start_within_ms", r.StartWithin);
  f.field("run_ms", r.Run);
  f.field("spread", r.RunSpread);
  f.resources("use_", r.Use);
  f.field("failing", r.IsFailing);
}

template <typename F> void visitFields(F &f, CancelRecord &r) {
  f.field("id", r.Request);
}

template <typename F> void visitFields(F &f, ExpectRecord &r) {
  f.named("what", r.Kind, OutcomeKindNames);
  f.field("policy", r.Policy);
  f.field("subject", r.Subject);
  f.field("is", r.Is);
  f.field("min", r.Min);
  f.field("max", r.Max);
}

template <typename F> void visitFields(F &, EndRecord &) {}

Error lineError(absl::string_view line, absl::string_view why) {
  return Error{
      ErrorKind::InvalidArgument,
      absl::StrCat("bad trace record '", line.substr(0, 80), "': ", why),
      "write it as docs/TRACES.md describes"};
}

// Returns an Event that holds alternative `index`.
template <std::size_t I = 0> Event eventAt(std::size_t index) {
  if constexpr (I + 1 < std::variant_size_v<Event>)
    if (index != I)
      return eventAt<I + 1>(index);
  return Event(std::in_place_index<I>);
}

FieldWriter fieldsOf(Event event) {
  FieldWriter writer;
  std::visit([&writer](auto &r) { visitFields(writer, r); }, event);
  return writer;
}

Status checkTrace(const std::vector<Record> &records) {
  if (records.empty() ||
      !std::holds_alternative<TraceHeader>(records.front().What))
    return lineError("", "the first record is not 'trace'");
  if (!std::holds_alternative<EndRecord>(records.back().What))
    return lineError("", "the last record is not 'end'");
  const auto back = std::ranges::is_sorted_until(records, {}, &Record::At);
  if (back != records.end())
    return lineError(formatRecord(*back),
                     "its instant is before that of the previous record");
  return Ok{};
}

} // namespace

Result<Record> parseRecord(absl::string_view line) {
  const std::vector<absl::string_view> words =
      absl::StrSplit(line, ' ', absl::SkipEmpty());
  int64_t at = 0;
  if (words.size() < 2 || !absl::SimpleAtoi(words[0], &at) || at < 0)
    return lineError(
        line, "the line does not start with an instant and a record kind");
  const std::optional<EventKind> kind = valueIn(EventKindNames, words[1]);
  if (!kind)
    return lineError(
        line, absl::StrCat("the kind is not one of ", namesIn(EventKindNames)));
  Record record{Instant::fromMillis(at),
                eventAt(static_cast<std::size_t>(*kind))};
  FieldReader reader({words.begin() + 2, words.end()});
  std::visit([&reader](auto &r) { visitFields(reader, r); }, record.What);
  const std::string problem = reader.problem();
  if (!problem.empty())
    return lineError(line, problem);
  return record;
}

std::string formatRecord(const Record &record) {
  const auto kind = static_cast<EventKind>(record.What.index());
  return absl::StrCat(
      record.At.millis(), " ", nameIn(EventKindNames, kind),
      fieldsOf(record.What).textBeside(fieldsOf(eventAt(record.What.index()))));
}

Result<std::vector<Record>> parseTrace(absl::string_view text) {
  std::vector<Record> records;
  for (absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
    if (line.front() == '#')
      continue;
    Result<Record> record = parseRecord(line);
    if (!isOk(record))
      return errorOf(record);
    records.push_back(valueOf(std::move(record)));
  }
  if (Status status = checkTrace(records); !isOk(status))
    return errorOf(status);
  return records;
}

std::string formatTrace(const std::vector<Record> &records) {
  return absl::StrCat(absl::StrJoin(records, "\n",
                                    [](std::string *out, const Record &record) {
                                      out->append(formatRecord(record));
                                    }),
                      "\n");
}

} // namespace jujube::replay
