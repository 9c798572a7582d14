// Structured log lines: key=value pairs under an event's name.
//
//   Line(Event::StartSent).with("job", job).with("attempt", 2);
//
// Lines go to the sink of the process, which must not block; without one they
// go to glog.
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

// A finished line, without the columns that the sink adds.
struct Record {
  Event What = Event::Message;
  Level Severity = Level::Info;
  // " key=value" for each pair; values that are not plain are quoted.
  std::string Pairs;
};

// Takes the lines of all threads; called on the thread that writes the line.
using Sink = std::function<void(Record)>;

// Replaces the sink of the process; an empty one restores the default.
void setSink(Sink sink);

// `value` as it stands in a line: quoted, with escapes, unless it is plain.
std::string quoted(absl::string_view value);

// One line; handed to the sink when it goes out of scope.
class Line {
public:
  explicit Line(Event what, Level severity = Level::Info)
      : Content{what, severity, {}} {}
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
  // In milliseconds; the key says so by ending in _ms.
  Line &with(absl::string_view key, Duration value) {
    return with(key, value.millis());
  }
  // Ids.
  Line &with(absl::string_view key, const auto &value) requires requires {
    value.str();
  }
  { return with(key, absl::string_view(value.str())); }
  // The number of a NumberId.
  Line &with(absl::string_view key, const auto &value) requires requires {
    value.Value;
  }
  { return with(key, value.Value); }

private:
  Record Content;
};

} // namespace jujube::logging

#endif // JUJUBE_LOGGING_LINE_H_
