// Parses the instructions that a request's payload gives to a stand-in.
#ifndef TESTING_STANDIN_PAYLOAD_H_
#define TESTING_STANDIN_PAYLOAD_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/clock.h"

namespace jujube::testing {

// Payloads have the form "run_ms=200;answer=x;fail=1;once=1;team=t;cpu=500".
// Unknown keys are ignored.
struct RunInstructions {
  // Absent if the stand-in chooses the run time; never() for
  // "run_ms=forever".
  std::optional<Duration> RunTime;
  bool IsEndless = false;
  std::string Answer = "ok";
  bool Fails = false;
  // The request is not idempotent: a second start is a violation.
  bool IsOnce = false;
  // The team that the resource usage is counted for.
  std::string Team;
  // Reported usage in thousandths of a processor; if absent, the usage equals
  // the grant.
  std::optional<int64_t> MilliCpu;
};

RunInstructions parseRunInstructions(absl::string_view payload);

} // namespace jujube::testing

#endif // TESTING_STANDIN_PAYLOAD_H_
