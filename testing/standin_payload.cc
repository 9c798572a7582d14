#include "testing/standin_payload.h"

#include <map>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace jujube::testing {

WorkOrder parseWorkOrder(absl::string_view payload) {
  WorkOrder order;
  std::map<std::string, std::string> fields;
  for (absl::string_view part :
       absl::StrSplit(payload, ';', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> field =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    fields.insert(field);
  }
  int64_t n = 0;
  if (absl::SimpleAtoi(fields["run_ms"], &n))
    order.RunTime = Duration::millis(n);
  order.IsEndless = fields["run_ms"] == "forever";
  if (absl::SimpleAtoi(fields["cpu"], &n))
    order.MilliCpu = n;
  if (fields.contains("answer"))
    order.Answer = fields["answer"];
  order.Fails = fields["fail"] == "1";
  order.IsOnce = fields["once"] == "1";
  order.Team = fields["team"];
  return order;
}

} // namespace jujube::testing
