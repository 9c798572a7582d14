#include "testing/standin_payload.h"

#include <map>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace jujube::testing {

RunInstructions parseRunInstructions(absl::string_view payload) {
  RunInstructions instructions;
  std::map<std::string, std::string> fields;
  for (absl::string_view part :
       absl::StrSplit(payload, ';', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> field =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    fields.insert(field);
  }
  int64_t n = 0;
  if (absl::SimpleAtoi(fields["run_ms"], &n))
    instructions.RunTime = Duration::millis(n);
  instructions.IsEndless = fields["run_ms"] == "forever";
  if (absl::SimpleAtoi(fields["cpu"], &n))
    instructions.MilliCpu = n;
  if (fields.contains("answer"))
    instructions.Answer = fields["answer"];
  instructions.Fails = fields["fail"] == "1";
  instructions.IsOnce = fields["once"] == "1";
  instructions.Team = fields["team"];
  return instructions;
}

} // namespace jujube::testing
