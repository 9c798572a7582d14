// Parses structured log lines.
#ifndef JUJUBE_LOGGING_PARSED_LINE_H_
#define JUJUBE_LOGGING_PARSED_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/base/clock.h"
#include "jujube/logging/event.h"

namespace jujube::logging {

// A structured log line.
struct ParsedLine {
  // Wall time of the host that wrote the line.
  Instant At;
  std::string Host;
  // Increases with each line of a process.
  uint64_t Sequence = 0;
  Event What = Event::Message;
  // The pairs after the event name, in order, without quotes and escapes.
  std::vector<std::pair<std::string, std::string>> Pairs;

  // Returns the value of a pair, or an empty string if there is no such pair.
  std::string value(absl::string_view key) const;
  // Returns nullopt if there is no such pair or its value is not an integer.
  std::optional<int64_t> number(absl::string_view key) const;
};

// Returns nullopt if `text` does not contain a structured line. Text before the
// first field, such as the prefix of a log collector, is ignored.
std::optional<ParsedLine> parseLine(absl::string_view text);

} // namespace jujube::logging

#endif // JUJUBE_LOGGING_PARSED_LINE_H_
