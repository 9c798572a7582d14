#include "jujube/logging/parsed_line.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"
#include "absl/time/time.h"

namespace jujube::logging {
namespace {

using Pair = std::pair<std::string, std::string>;

// Removes a key=value pair from the front of `rest`. Returns nullopt at the end
// of the text or if it does not start with a pair.
std::optional<Pair> parsePair(absl::string_view &rest) {
  rest = absl::StripLeadingAsciiWhitespace(rest);
  const std::size_t equals = rest.find('=');
  if (equals == absl::string_view::npos || equals == 0 ||
      rest.substr(0, equals).find(' ') != absl::string_view::npos)
    return std::nullopt;
  Pair pair{std::string(rest.substr(0, equals)), {}};
  rest.remove_prefix(equals + 1);
  if (!absl::ConsumePrefix(&rest, "\"")) {
    const std::size_t end = std::min(rest.find(' '), rest.size());
    pair.second = std::string(rest.substr(0, end));
    rest.remove_prefix(end);
    return pair;
  }
  std::size_t end = 0;
  while (end < rest.size() && rest[end] != '"')
    end += rest[end] == '\\' ? 2 : 1;
  if (end >= rest.size() || !absl::CUnescape(rest.substr(0, end), &pair.second))
    return std::nullopt;
  rest.remove_prefix(end + 1);
  return pair;
}

std::optional<Instant> parseTime(const std::string &text) {
  absl::Time time;
  std::string error;
  if (!absl::ParseTime(absl::RFC3339_full, text, &time, &error))
    return std::nullopt;
  return Instant::fromMillis(absl::ToUnixMillis(time));
}

} // namespace

std::string ParsedLine::value(absl::string_view key) const {
  const auto it = std::ranges::find(Pairs, key, &Pair::first);
  return it == Pairs.end() ? std::string() : it->second;
}

std::optional<int64_t> ParsedLine::number(absl::string_view key) const {
  int64_t n = 0;
  return absl::SimpleAtoi(value(key), &n) ? std::optional(n) : std::nullopt;
}

std::optional<ParsedLine> parseLine(absl::string_view text) {
  const std::size_t begin = text.find("ts=");
  if (begin == absl::string_view::npos)
    return std::nullopt;
  absl::string_view rest =
      absl::StripTrailingAsciiWhitespace(text.substr(begin));
  ParsedLine line;
  while (auto pair = parsePair(rest))
    line.Pairs.push_back(std::move(*pair));
  const auto at = parseTime(line.value("ts"));
  const auto sequence = line.number("seq");
  const auto event = valueIn(EventNames, line.value("event"));
  if (!at || !sequence || !event)
    return std::nullopt;
  line.At = *at;
  line.Host = line.value("host");
  line.Sequence = static_cast<uint64_t>(*sequence);
  line.What = *event;
  const auto eventPair = std::ranges::find(line.Pairs, "event", &Pair::first);
  line.Pairs.erase(line.Pairs.begin(), eventPair + 1);
  return line;
}

} // namespace jujube::logging
