// Visitors that decode and encode structs as JSON objects.
//
// Each struct has one function `fields(visitor, value)` that lists its members;
// FieldReader and FieldWriter are the visitors. Internal to jujube/http.
#ifndef JUJUBE_HTTP_FIELDS_H_
#define JUJUBE_HTTP_FIELDS_H_

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/name_table.h"
#include "jujube/base/result.h"
#include "nlohmann/json.hpp"

namespace jujube::http::internal {

using Json = nlohmann::json;

// Maximum of a duration or instant, in milliseconds: about 300 years.
inline constexpr int64_t MaxMillis = INT64_C(10'000'000'000'000);
// Maximum amount of a resource.
inline constexpr int64_t MaxAmount = INT64_C(1'000'000'000'000);

// The position of a value in the body, rendered only for error messages.
struct FieldPath {
  const FieldPath *Parent = nullptr;
  absl::string_view Name;
  // Index in an array; used only if Name is empty.
  std::size_t Index = 0;

  // For example "what.value.id", or "the body" for the root.
  std::string str() const;
};

Error malformed(const FieldPath &path, absl::string_view problem,
                absl::string_view remedy);

// Parses `text`. Returns MalformedBody if it is not JSON or nested too deeply.
Result<Json> parseText(absl::string_view text);

std::string encodeBase64(absl::string_view bytes);
std::optional<std::string> decodeBase64(absl::string_view text);
bool isUtf8(absl::string_view bytes);

Status readInteger(const Json &json, const FieldPath &path, int64_t min,
                   int64_t max, int64_t &out);
Status readUnsigned(const Json &json, const FieldPath &path, uint64_t &out);

// Decodes one JSON object. Keeps the first error and skips all later fields.
class FieldReader {
public:
  static constexpr bool IsReader = true;

  FieldReader(const Json &json, const FieldPath &path);

  // Reads a mandatory field.
  template <typename T> void required(absl::string_view name, T &out) {
    if (const Json *json = find(name))
      readInto(*json, name, out);
    else
      fail(FieldPath{&Path, name}, "is missing", "add it");
  }

  // Reads an optional field; an absent field leaves `out` unchanged.
  template <typename T> void optional(absl::string_view name, T &out) {
    if (const Json *json = find(name))
      readInto(*json, name, out);
  }

  // Reads a byte string from the field NAME (text) or NAME_base64.
  void bytes(absl::string_view name, std::string &out);

  // Reads an amount of a resource; an absent field keeps the default of 0.
  void amount(absl::string_view name, int64_t &out);

  // Reads an enumerator by its name in `table`.
  template <typename Enum, std::size_t N>
  void named(absl::string_view name, const NameTable<Enum, N> &table, Enum &out,
             bool isRequired) {
    std::string text;
    isRequired ? required(name, text) : optional(name, text);
    if (!isOk(Outcome) || (text.empty() && !isRequired))
      return;
    if (const std::optional<Enum> value = valueIn(table, text))
      out = *value;
    else
      fail(FieldPath{&Path, name}, "has the value '" + text + "'",
           "give one of " + namesIn(table));
  }

  // Returns the first error, or an error if the object has a field that was not
  // read.
  Status finish();

  void fail(const FieldPath &path, absl::string_view problem,
            absl::string_view remedy);
  const Status &outcome() const { return Outcome; }
  const FieldPath &path() const { return Path; }

private:
  const Json *find(absl::string_view name);
  template <typename T>
  void readInto(const Json &json, absl::string_view name, T &out);

  const Json &Object;
  const FieldPath &Path;
  std::vector<std::string> KnownNames;
  Status Outcome = Ok{};
};

// Encodes one JSON object.
class FieldWriter {
public:
  static constexpr bool IsReader = false;

  template <typename T> void required(absl::string_view name, const T &value);
  template <typename T> void optional(absl::string_view name, const T &value);
  void bytes(absl::string_view name, const std::string &value);
  void amount(absl::string_view name, int64_t value);
  template <typename Enum, std::size_t N>
  void named(absl::string_view name, const NameTable<Enum, N> &table,
             Enum value, bool /*isRequired*/) {
    Object[std::string(name)] = std::string(nameIn(table, value));
  }
  Json take() { return std::move(Object); }

private:
  Json Object = Json::object();
};

// ---- Decoding of one value ----

template <typename T>
Status readValue(const Json &json, const FieldPath &path, T &out);

template <std::integral T>
Status readNumber(const Json &json, const FieldPath &path, T &out) {
  if constexpr (std::is_same_v<T, uint64_t>) {
    return readUnsigned(json, path, out);
  } else {
    int64_t n = 0;
    Status status = readInteger(json, path, std::numeric_limits<T>::min(),
                                std::numeric_limits<T>::max(), n);
    if (isOk(status))
      out = static_cast<T>(n);
    return status;
  }
}

Status readText(const Json &json, const FieldPath &path, std::string &out);
Status readBool(const Json &json, const FieldPath &path, bool &out);
Status readDouble(const Json &json, const FieldPath &path, double &out);
Status readDuration(const Json &json, const FieldPath &path, Duration &out);
Status readInstant(const Json &json, const FieldPath &path, Instant &out);
Status readAddress(const Json &json, const FieldPath &path, Address &out);

template <typename T> struct IsTextId : std::false_type {};
template <typename Tag> struct IsTextId<TextId<Tag>> : std::true_type {};
template <typename T> struct IsNumberId : std::false_type {};
template <typename Tag> struct IsNumberId<NumberId<Tag>> : std::true_type {};
template <typename T> struct IsVector : std::false_type {};
template <typename T> struct IsVector<std::vector<T>> : std::true_type {};
template <typename T> struct IsOptional : std::false_type {};
template <typename T> struct IsOptional<std::optional<T>> : std::true_type {};

template <typename Id>
Status readId(const Json &json, const FieldPath &path, Id &out) {
  std::string text;
  if (Status status = readText(json, path, text); !isOk(status))
    return status;
  Result<Id> id = Id::parse(text);
  if (!isOk(id))
    return malformed(path, "is a " + errorOf(id).Message, errorOf(id).Remedy);
  out = valueOf(std::move(id));
  return Ok{};
}

template <typename T>
Status readList(const Json &json, const FieldPath &path, std::vector<T> &out) {
  if (!json.is_array())
    return malformed(path, "is not an array", "give an array");
  for (std::size_t i = 0; i < json.size(); ++i) {
    T item{};
    if (Status status = readValue(json[i], FieldPath{&path, {}, i}, item);
        !isOk(status))
      return status;
    out.push_back(std::move(item));
  }
  return Ok{};
}

template <typename T>
Status readValue(const Json &json, const FieldPath &path, T &out) {
  if constexpr (std::is_same_v<T, bool>) {
    return readBool(json, path, out);
  } else if constexpr (std::integral<T>) {
    return readNumber(json, path, out);
  } else if constexpr (std::is_same_v<T, double>) {
    return readDouble(json, path, out);
  } else if constexpr (std::is_same_v<T, std::string>) {
    return readText(json, path, out);
  } else if constexpr (std::is_same_v<T, Duration>) {
    return readDuration(json, path, out);
  } else if constexpr (std::is_same_v<T, Instant>) {
    return readInstant(json, path, out);
  } else if constexpr (std::is_same_v<T, Address>) {
    return readAddress(json, path, out);
  } else if constexpr (IsTextId<T>::value) {
    return readId(json, path, out);
  } else if constexpr (IsNumberId<T>::value) {
    return readUnsigned(json, path, out.Value);
  } else if constexpr (IsOptional<T>::value) {
    return readValue(json, path, out.emplace());
  } else if constexpr (IsVector<T>::value) {
    return readList(json, path, out);
  } else {
    FieldReader reader(json, path);
    fields(reader, out);
    return reader.finish();
  }
}

template <typename T>
void FieldReader::readInto(const Json &json, absl::string_view name, T &out) {
  if (!isOk(Outcome))
    return;
  Outcome = readValue(json, FieldPath{&Path, name}, out);
}

// ---- Encoding of one value ----

template <typename T> Json writeValue(const T &value) {
  if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    return value;
  } else if constexpr (std::is_same_v<T, Duration>) {
    return value.millis();
  } else if constexpr (std::is_same_v<T, Instant>) {
    return value == Instant::never() ? Json(nullptr) : Json(value.millis());
  } else if constexpr (std::is_same_v<T, Address> || IsTextId<T>::value) {
    return value.str();
  } else if constexpr (IsNumberId<T>::value) {
    return value.Value;
  } else if constexpr (IsOptional<T>::value) {
    return writeValue(*value);
  } else if constexpr (IsVector<T>::value) {
    Json list = Json::array();
    for (const auto &item : value)
      list.push_back(writeValue(item));
    return list;
  } else {
    FieldWriter writer;
    // fields() takes a mutable value because readers share it; a writer does
    // not modify the value.
    fields(writer, const_cast<T &>(value));
    return writer.take();
  }
}

template <typename T>
void FieldWriter::required(absl::string_view name, const T &value) {
  Object[std::string(name)] = writeValue(value);
}

// Omits empty ids and empty optionals.
template <typename T>
void FieldWriter::optional(absl::string_view name, const T &value) {
  if constexpr (IsTextId<T>::value) {
    if (value.empty())
      return;
  } else if constexpr (IsOptional<T>::value) {
    if (!value)
      return;
  }
  required(name, value);
}

} // namespace jujube::http::internal

#endif // JUJUBE_HTTP_FIELDS_H_
