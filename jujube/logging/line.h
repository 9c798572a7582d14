// Structured log lines: an event name followed by key=value pairs.
//
//   Line(Event::StartSent).with("job", job).with("attempt", 2);
//
// Lines are passed to the sink of the process, which must not block, or to glog
// if no sink is set.
#ifndef JUJUBE_LOGGING_LINE_H_
#define JUJUBE_LOGGING_LINE_H_

#include <concepts>
#include <functional>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "jujube/base/clock.h"
#include "jujube/logging/event.h"

namespace jujube::logging {

// A completed line without the fields that the sink adds, such as the time.
struct Record {
  Event What = Event::Message;
  Level Severity = Level::Info;
  // " key=value" for each pair. Values are formatted by quoted().
  std::string Pairs;
};

// Receives the lines of all threads, on the thread that creates the line.
using Sink = std::function<void(Record)>;

// Replaces the sink of the process. An empty sink restores the default, glog.
void setSink(Sink sink);

// Returns `value` as it appears in a line: in double quotes with C escapes,
// unless it is nonempty printable ASCII without spaces, quotes, "=" and
// backslashes.
std::string quoted(absl::string_view value);

// Builds a line; the destructor passes it to the sink.
class Line {
public:
  explicit Line(Event event, Level severity = Level::Info)
      : Content{event, severity, {}} {}
  ~Line();
  Line(const Line &) = delete;
  Line &operator=(const Line &) = delete;

  Line &with(absl::string_view key, absl::string_view value);
  Line &with(absl::string_view key, const std::string &value) {
    return with(key, absl::string_view(value));
  }
  Line &with(absl::string_view key, const char *value) {
    return with(key, absl::string_view(value));
  }
  Line &with(absl::string_view key, bool value) {
    return with(key, absl::string_view(value ? "true" : "false"));
  }
  Line &with(absl::string_view key, std::integral auto value) {
    absl::StrAppend(&Content.Pairs, " ", key, "=", value);
    return *this;
  }
  // Writes milliseconds. The key must end in "_ms".
  Line &with(absl::string_view key, Duration value) {
    return with(key, value.millis());
  }
  // Writes a TextId, or another type with str().
  Line &with(absl::string_view key, const auto &value) requires requires {
    value.str();
  }
  { return with(key, absl::string_view(value.str())); }
  // Writes the value of a NumberId.
  Line &with(absl::string_view key, const auto &value) requires requires {
    value.Value;
  }
  { return with(key, value.Value); }

private:
  Record Content;
};

} // namespace jujube::logging

#endif // JUJUBE_LOGGING_LINE_H_
