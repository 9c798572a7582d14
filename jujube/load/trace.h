// Traces of a day's requests, for driving real daemons. Pure.
//
// One record a line: the time in milliseconds, what to do, and fields
// NAME=VALUE separated by blanks; # starts a comment. docs/LOAD.md describes
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

// One thing to do at one time.
struct Step {
  // Since the start of the run.
  Duration At;
  StepKind Kind = StepKind::Submit;
  // Unique among the submits and calls; of a cancel: what to cancel.
  std::string Name;
  EntryId Entry;
  // Whose key is presented.
  TeamId Team;
  // Empty for the zones in turn.
  ZoneId Zone;
  // 0 for the entry's own number.
  uint32_t Tasks = 0;
  // Run time that the stand-ins are told; zero for their own.
  Duration RunTime;
  // Of a live request: shed after it. Of a submit: not run unless it starts
  // within it; zero for no limit.
  Duration Deadline;
  // The tasks are told to fail.
  bool Fails = false;
  // The tasks are told that a second start is a violation.
  bool IsOnce = false;

  bool operator==(const Step &) const = default;
};

struct TraceLimits {
  std::size_t MaxSteps = 200000;
};

// Parses a trace and writes out its repetitions, ordered by time. An error
// names the line and the remedy.
Result<std::vector<Step>> parseTrace(absl::string_view text,
                                     const TraceLimits &limits);

} // namespace jujube::load

#endif // JUJUBE_LOAD_TRACE_H_
