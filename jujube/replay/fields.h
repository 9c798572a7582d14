// Reads and writes the key=value fields of trace records. Fields with their
// default value are omitted.
//
// Internal to trace.cc.
#ifndef JUJUBE_REPLAY_FIELDS_H_
#define JUJUBE_REPLAY_FIELDS_H_

#include "absl/strings/string_view.h"
#include <cstdint>
#include <map>
#include <string>
#include <type_traits>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/resources.h"

namespace jujube::replay {

// Version of the trace format. Readers reject all other versions.
inline constexpr uint32_t FormatVersion = 1;

// Reads fields by name from a list of "key=value" words.
class FieldReader {
public:
  explicit FieldReader(const std::vector<absl::string_view> &words) {
    for (absl::string_view word : words) {
      const std::pair<absl::string_view, absl::string_view> parts =
          absl::StrSplit(word, absl::MaxSplits('=', 1));
      Words[std::string(parts.first)] = std::string(parts.second);
    }
  }

  template <typename T> void field(absl::string_view name, T &value) {
    const auto it = Words.find(name);
    if (it == Words.end())
      return;
    if (!read(it->second, value))
      Problem = absl::StrCat("bad value of ", name);
    Words.erase(it);
  }

  void version(uint32_t number) {
    uint32_t value = 0;
    field("version", value);
    if (value != number)
      Problem = absl::StrCat("version is not ", number);
  }

  template <typename Enum, std::size_t N>
  void named(absl::string_view name, Enum &value,
             const NameTable<Enum, N> &table) {
    std::string text;
    field(name, text);
    if (text.empty())
      return;
    const std::optional<Enum> found = valueIn(table, text);
    if (found)
      value = *found;
    else
      Problem = absl::StrCat(name, " is not one of ", namesIn(table));
  }

  void resources(absl::string_view prefix, Resources &value) {
    field(absl::StrCat(prefix, "millicpu"), value.MilliCpu);
    field(absl::StrCat(prefix, "memory_mb"), value.MemoryMb);
    field(absl::StrCat(prefix, "accelerators"), value.Accelerators);
    if (value.isNegative())
      Problem = "negative resources";
  }

  // Describes the last error or an unknown field; empty if there is none. Call
  // after reading all fields.
  std::string problem() const {
    if (Problem.empty() && !Words.empty())
      return absl::StrCat("unknown field ", Words.begin()->first);
    return Problem;
  }

private:
  static bool read(absl::string_view text, std::string &value) {
    value = std::string(text);
    return true;
  }
  static bool read(absl::string_view text, bool &value) {
    value = text == "1";
    return text == "0" || text == "1";
  }
  template <typename T>
  requires std::is_integral_v<T>
  static bool read(absl::string_view text, T &value) {
    return absl::SimpleAtoi(text, &value);
  }
  static bool read(absl::string_view text, Duration &value) {
    int64_t n = 0;
    const bool isNumber = absl::SimpleAtoi(text, &n);
    value = Duration::millis(n);
    return isNumber && n >= 0;
  }
  template <typename Tag>
  static bool read(absl::string_view text, TextId<Tag> &value) {
    Result<TextId<Tag>> parsed = TextId<Tag>::parse(text);
    if (isOk(parsed))
      value = valueOf(parsed);
    return isOk(parsed);
  }

  std::map<std::string, std::string, std::less<>> Words;
  std::string Problem;
};

// Converts fields to text.
class FieldWriter {
public:
  void version(uint32_t number) {
    Fields.push_back({"version", absl::StrCat(number)});
  }
  template <typename T> void field(absl::string_view name, const T &value) {
    Fields.push_back({std::string(name), write(value)});
  }
  template <typename Enum, std::size_t N>
  void named(absl::string_view name, Enum value,
             const NameTable<Enum, N> &table) {
    Fields.push_back({std::string(name), std::string(nameIn(table, value))});
  }
  void resources(absl::string_view prefix, const Resources &value) {
    field(absl::StrCat(prefix, "millicpu"), value.MilliCpu);
    field(absl::StrCat(prefix, "memory_mb"), value.MemoryMb);
    field(absl::StrCat(prefix, "accelerators"), value.Accelerators);
  }

  // Returns " key=value" for the version and for each field that differs from
  // the same field of `defaults`.
  std::string textBeside(const FieldWriter &defaults) const {
    std::string text;
    for (std::size_t i = 0; i < Fields.size(); ++i)
      if (Fields[i].Name == "version" ||
          Fields[i].Text != defaults.Fields[i].Text)
        absl::StrAppend(&text, " ", Fields[i].Name, "=", Fields[i].Text);
    return text;
  }

private:
  struct Field {
    std::string Name;
    std::string Text;
  };

  template <typename T> static std::string write(const T &value) {
    if constexpr (std::is_same_v<T, bool>)
      return value ? "1" : "0";
    else if constexpr (std::is_integral_v<T>)
      return absl::StrCat(value);
    else if constexpr (std::is_same_v<T, Duration>)
      return absl::StrCat(value.millis());
    else if constexpr (std::is_same_v<T, std::string>)
      return value;
    else
      return value.str();
  }

  std::vector<Field> Fields;
};

} // namespace jujube::replay

#endif // JUJUBE_REPLAY_FIELDS_H_
