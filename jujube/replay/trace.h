// Traces: recorded events for the scheduler of one availability zone, and the
// expected outcomes. docs/TRACES.md describes the text format.
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

// Delays of the recorded platform. Always the first record of a trace.
struct TraceHeader {
  std::string Name;
  // From an offer to the confirmed start.
  Duration OfferDelay = Duration::millis(20);
  // From a stop to the confirmed end, without and with a checkpoint.
  Duration StopDelay = Duration::millis(200);
  Duration CheckpointDelay = Duration::millis(600);
  // Interval between usage measurements of a task, and their age when reported.
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

// A worker's first or repeated announcement.
struct WorkerRecord {
  fate::WorkerAnnouncement Worker;
  // Every task started on this worker fails.
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

// A request and the actual behaviour of its tasks.
struct SubmitRecord {
  RequestId Request;
  EntryId Entry;
  uint32_t Tasks = 1;
  Duration StartWithin;
  // Actual run time of a task; varies by up to RunSpread percent between tasks.
  Duration Run;
  uint32_t RunSpread = 0;
  Resources Use;
  // The tasks fail on every worker.
  bool IsFailing = false;
  bool operator==(const SubmitRecord &) const = default;
};

struct CancelRecord {
  RequestId Request;
  bool operator==(const CancelRecord &) const = default;
};

// The property that an expected outcome constrains.
enum class OutcomeKind {
  // Fate of a request at the end.
  Fate,
  // 99th percentile of the wait from acceptance to start.
  WaitP99,
  // The worker was quarantined, or never was.
  Quarantined,
  NeverQuarantined,
  // Number of requests of finite work without a fate at the end of the trace.
  Unsettled,
  // Mean gap of teams with waiting work below their shares, in percentage
  // points, while the fleet is full.
  ShareGap,
  // Mean of reserved resources relative to the smaller of capacity and demand,
  // in percent.
  Packing,
  // Minimum number of running tasks of a service since all tasks first ran at
  // once.
  ServiceRunning,
  // Longest time for which any task of a service did not run after its first
  // start.
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

// An expected outcome. Empty fields are ignored.
struct ExpectRecord {
  OutcomeKind Kind = OutcomeKind::Fate;
  // Policy to which the expectation applies; if empty, all but the baselines.
  std::string Policy;
  // Request, worker, or class ("urgent" for urgent work).
  std::string Subject;
  // Fate: the expected state.
  std::string Is;
  // Inclusive bounds of a numeric outcome.
  int64_t Min = 0;
  int64_t Max = INT64_MAX;
  bool operator==(const ExpectRecord &) const = default;
};

// The last record; the replay ends here.
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
// Fails at the first bad line, or if timestamps decrease or the header or the
// end record is missing.
Result<std::vector<Record>> parseTrace(absl::string_view text);
std::string formatTrace(const std::vector<Record> &records);

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_TRACE_H_
