// Parses traces of a day's requests, which a load run replays against real
// daemons. Does no I/O.
//
// Each line holds one record: the time in milliseconds, the action, and fields
// NAME=VALUE separated by blanks. # starts a comment. docs/LOAD.md describes
// the fields.
#ifndef JUJUBE_LOAD_TRACE_H_
#define JUJUBE_LOAD_TRACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/result.h"

namespace jujube::load {

enum class StepKind { Submit, Call, Cancel };

inline constexpr NameTable<StepKind, 3> StepKindNames = {{
    {StepKind::Submit, "submit"},
    {StepKind::Call, "call"},
    {StepKind::Cancel, "cancel"},
}};
static_assert(isComplete(StepKindNames));

// An action and the time at which it is executed.
struct Step {
  // Time since the start of the run.
  Duration At;
  StepKind Kind = StepKind::Submit;
  // For submits and calls: a unique name. For cancels: the name of the request
  // to cancel.
  std::string Name;
  EntryId Entry;
  // The team whose key is presented.
  TeamId Team;
  // Empty to distribute requests over the zones round-robin.
  ZoneId Zone;
  // 0 to use the number in the entry.
  uint32_t Tasks = 0;
  // The run time that the payload requests from the stand-ins; zero for their
  // default.
  Duration RunTime;
  // For a live request: the time after which it is shed. For a submit: the time
  // within which it must start, otherwise it is not run; zero for no limit.
  Duration Deadline;
  // The payload makes the tasks fail.
  bool Fails = false;
  // The payload makes the stand-ins count a second start as a violation.
  bool IsOnce = false;

  bool operator==(const Step &) const = default;
};

struct TraceLimits {
  std::size_t MaxSteps = 200000;
};

// Parses a trace and expands its repetitions, ordered by time. An error gives
// the line number and a remedy.
Result<std::vector<Step>> parseTrace(absl::string_view text,
                                     const TraceLimits &limits);

} // namespace jujube::load

#endif // JUJUBE_LOAD_TRACE_H_
