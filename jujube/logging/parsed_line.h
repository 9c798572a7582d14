// Reads structured lines back from logs.
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

struct ParsedLine {
  // Wall time of the host that wrote it.
  Instant At;
  std::string Host;
  // Rises with each line of one process.
  uint64_t Sequence = 0;
  Event What = Event::Message;
  // The pairs after the event's name, in their order, without quotes.
  std::vector<std::pair<std::string, std::string>> Pairs;

  // The value of a pair; empty if there is none.
  std::string value(absl::string_view key) const;
  // Nothing if there is no such pair or it is no whole number.
  std::optional<int64_t> number(absl::string_view key) const;
};

// Nothing if `text` holds no structured line. What stands before its first
// column, for example the prefix of a collector, is ignored.
std::optional<ParsedLine> parseLine(absl::string_view text);

} // namespace jujube::logging

#endif // JUJUBE_LOGGING_PARSED_LINE_H_
