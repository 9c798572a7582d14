// Traces: recorded events for one availability zone's scheduler and the
// outcomes that are expected of it. docs/TRACES.md describes the text format.
#ifndef JUJUBE_REPLAY_TRACE_H_
#define JUJUBE_REPLAY_TRACE_H_

#include "absl/strings/string_view.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"
#include "jujube/base/result.h"
#include "jujube/catalogue/types.h"
#include "jujube/fate/types.h"

namespace jujube::replay {

// Delays of the recorded platform. One record, the first of a trace.
struct TraceHeader {
  std::string Name;
  // From an offer to the confirmed start.
  Duration OfferDelay = Duration::millis(20);
  // From a stop to the confirmed end, without and with a checkpoint.
  Duration StopDelay = Duration::millis(200);
  Duration CheckpointDelay = Duration::millis(600);
  // Between measurements of a task, which are as old as this.
  Duration UsagePeriod = Duration::seconds(5);
  // From the loss of a worker to the end of its attempts' leases.
  Duration LeaseDelay = Duration::seconds(5);

  bool operator==(const TraceHeader &) const = default;
};

struct TeamRecord {
  catalogue::Team Team;
  bool operator==(const TeamRecord &) const = default;
};

struct EntryRecord {
  catalogue::Entry Entry;
  bool operator==(const EntryRecord &) const = default;
};

// A worker announces itself, or again.
struct WorkerRecord {
  fate::WorkerAnnouncement Worker;
  // Fails every task that it starts.
  bool IsFailing = false;
  bool operator==(const WorkerRecord &) const = default;
};

struct LostRecord {
  WorkerId Worker;
  bool operator==(const LostRecord &) const = default;
};

struct SliceRecord {
  TeamId Team;
  Resources Slice;
  bool operator==(const SliceRecord &) const = default;
};

// A request, and how its tasks really behave.
struct SubmitRecord {
  RequestId Request;
  EntryId Entry;
  uint32_t Tasks = 1;
  Duration StartWithin;
  // True run time of a task; tasks differ by up to RunSpread percent of it.
  Duration Run;
  uint32_t RunSpread = 0;
  Resources Use;
  // Fails wherever it runs.
  bool IsFailing = false;
  bool operator==(const SubmitRecord &) const = default;
};

struct CancelRecord {
  RequestId Request;
  bool operator==(const CancelRecord &) const = default;
};

// What an outcome is about.
enum class OutcomeKind {
  // Fate of a request at the end.
  Fate,
  // 99th percentile of the wait from acceptance to start.
  WaitP99,
  // The worker was, or never was, in quarantine.
  Quarantined,
  NeverQuarantined,
  // Requests that end and have no fate at the end of the trace.
  Unsettled,
  // Largest gap of a team below its share, while the fleet is full.
  ShareGap,
  // Mean of reserved over the smaller of held and demanded, in percent.
  Packing,
  // Fewest tasks of a service that ran at once since all had started.
  ServiceRunning,
  // Longest time for which a task of a service did not run.
  ServiceOutage,
};

inline constexpr NameTable<OutcomeKind, 9> OutcomeKindNames = {{
    {OutcomeKind::Fate, "fate"},
    {OutcomeKind::WaitP99, "wait_p99_ms"},
    {OutcomeKind::Quarantined, "quarantined"},
    {OutcomeKind::NeverQuarantined, "never_quarantined"},
    {OutcomeKind::Unsettled, "unsettled"},
    {OutcomeKind::ShareGap, "share_gap_mean_pp"},
    {OutcomeKind::Packing, "packing_percent"},
    {OutcomeKind::ServiceRunning, "service_running_min"},
    {OutcomeKind::ServiceOutage, "service_outage_max_ms"},
}};
static_assert(isComplete(OutcomeKindNames));

// An outcome that the trace states. Empty fields are not looked at.
struct ExpectRecord {
  OutcomeKind Kind = OutcomeKind::Fate;
  // Name of the policy that it is stated for; empty for all but the baselines.
  std::string Policy;
  // Request, worker, or class ("urgent" for urgent work).
  std::string Subject;
  // Fate: the state.
  std::string Is;
  // Bounds of a number.
  int64_t Min = 0;
  int64_t Max = INT64_MAX;
  bool operator==(const ExpectRecord &) const = default;
};

// The last record; nothing is replayed after it.
struct EndRecord {
  bool operator==(const EndRecord &) const = default;
};

// Enumerator i names alternative i of Event.
enum class EventKind {
  Header,
  Team,
  Entry,
  Worker,
  Lost,
  Slice,
  Submit,
  Cancel,
  Expect,
  End,
};

inline constexpr NameTable<EventKind, 10> EventKindNames = {{
    {EventKind::Header, "trace"},
    {EventKind::Team, "team"},
    {EventKind::Entry, "entry"},
    {EventKind::Worker, "worker"},
    {EventKind::Lost, "lost"},
    {EventKind::Slice, "slice"},
    {EventKind::Submit, "submit"},
    {EventKind::Cancel, "cancel"},
    {EventKind::Expect, "expect"},
    {EventKind::End, "end"},
}};
static_assert(isComplete(EventKindNames));

using Event = std::variant<TraceHeader, TeamRecord, EntryRecord, WorkerRecord,
                           LostRecord, SliceRecord, SubmitRecord, CancelRecord,
                           ExpectRecord, EndRecord>;

// One line of a trace.
struct Record {
  Instant At;
  Event What;
  bool operator==(const Record &) const = default;
};

// Parses a line "AT_MS KIND key=value ...".
Result<Record> parseRecord(absl::string_view line);
std::string formatRecord(const Record &record);

// Parses a whole trace; empty lines and lines that start with '#' are skipped.
// Fails at the first bad line, or if instants go back or the header or the end
// is missing.
Result<std::vector<Record>> parseTrace(absl::string_view text);
std::string formatTrace(const std::vector<Record> &records);

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_TRACE_H_
