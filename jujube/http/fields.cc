#include "jujube/http/fields.h"

#include <algorithm>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "jujube/http/json.h"

namespace jujube::http::internal {
namespace {

constexpr absl::string_view Base64Suffix = "_base64";

// Returns the number of continuation bytes after the first byte of a UTF-8
// sequence; -1 if no sequence starts with `first`.
int continuationLength(unsigned char first) {
  if (first < 0x80)
    return 0;
  if (first >= 0xC2 && first < 0xE0)
    return 1;
  if (first >= 0xE0 && first < 0xF0)
    return 2;
  if (first >= 0xF0 && first < 0xF5)
    return 3;
  return -1;
}

// Rejects overlong encodings, surrogates and code points above U+10FFFF, which
// the second byte of a sequence reveals.
bool isValidSecondByte(unsigned char first, unsigned char second) {
  const unsigned char low = first == 0xE0 ? 0xA0 : first == 0xF0 ? 0x90 : 0x80;
  const unsigned char high = first == 0xED ? 0x9F : first == 0xF4 ? 0x8F : 0xBF;
  return second >= low && second <= high;
}

bool isContinuation(char c) {
  return (static_cast<unsigned char>(c) & 0xC0) == 0x80;
}

} // namespace

std::string FieldPath::str() const {
  if (!Parent)
    return "the body";
  if (Name.empty())
    return absl::StrCat(Parent->str(), "[", Index, "]");
  return Parent->Parent ? absl::StrCat(Parent->str(), ".", Name)
                        : std::string(Name);
}

Error malformed(const FieldPath &path, absl::string_view problem,
                absl::string_view remedy) {
  return Error{ErrorKind::MalformedBody, absl::StrCat(path.str(), " ", problem),
               std::string(remedy)};
}

// Describes the position of the syntax error. Precondition: the parser rejected
// `text`.
std::string describeSyntaxError(absl::string_view text) {
  std::size_t at = 0;
  try {
    const Json parsed = Json::parse(text.begin(), text.end());
  } catch (const Json::parse_error &error) {
    // The parser counts from 1 and counts the end of the text as a character.
    at = std::min(error.byte > 0 ? error.byte - 1 : 0, text.size());
  }
  const absl::string_view before = text.substr(0, at);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  // At the start of the text rfind() returns npos, and npos + 1 is 0.
  const std::size_t column = before.size() - (before.rfind('\n') + 1) + 1;
  return absl::StrCat("is not JSON at line ", line, ", column ", column);
}

Result<Json> parseText(absl::string_view text) {
  bool isTooDeep = false;
  const auto checkDepth = [&isTooDeep](int depth, Json::parse_event_t, Json &) {
    isTooDeep |= depth > MaxJsonDepth;
    return !isTooDeep;
  };
  Json json = Json::parse(text.begin(), text.end(), checkDepth, false);
  if (isTooDeep)
    return malformed({}, "is nested too deeply",
                     absl::StrCat("nest at most ", MaxJsonDepth, " levels"));
  if (json.is_discarded())
    return malformed({}, describeSyntaxError(text),
                     "send one JSON object in UTF-8");
  return json;
}

std::string encodeBase64(absl::string_view bytes) {
  return absl::Base64Escape(bytes);
}

std::optional<std::string> decodeBase64(absl::string_view text) {
  std::string bytes;
  return absl::Base64Unescape(text, &bytes)
             ? std::optional<std::string>(std::move(bytes))
             : std::nullopt;
}

bool isUtf8(absl::string_view bytes) {
  std::size_t i = 0;
  while (i < bytes.size()) {
    const auto first = static_cast<unsigned char>(bytes[i]);
    const int n = continuationLength(first);
    if (n < 0 || bytes.size() - i <= static_cast<std::size_t>(n))
      return false;
    const absl::string_view rest = bytes.substr(i + 1, n);
    if (n > 0 && !isValidSecondByte(first, static_cast<unsigned char>(rest[0])))
      return false;
    if (!std::all_of(rest.begin(), rest.end(), isContinuation))
      return false;
    i += 1 + n;
  }
  return true;
}

Status readInteger(const Json &json, const FieldPath &path, int64_t min,
                   int64_t max, int64_t &out) {
  const std::string remedy =
      absl::StrCat("give a whole number from ", min, " to ", max);
  if (!json.is_number_integer())
    return malformed(path, "is not a whole number", remedy);
  if (json.is_number_unsigned() &&
      json.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX))
    return malformed(path, "is too large", remedy);
  const auto n = json.get<int64_t>();
  if (n < min || n > max)
    return malformed(path, absl::StrCat("is ", n), remedy);
  out = n;
  return Ok{};
}

Status readUnsigned(const Json &json, const FieldPath &path, uint64_t &out) {
  if (!json.is_number_unsigned())
    return malformed(path, "is not a whole number",
                     "give a whole number of at least 0");
  out = json.get<uint64_t>();
  return Ok{};
}

Status readText(const Json &json, const FieldPath &path, std::string &out) {
  if (!json.is_string())
    return malformed(path, "is not a string", "give a string");
  out = json.get_ref<const std::string &>();
  return Ok{};
}

Status readBool(const Json &json, const FieldPath &path, bool &out) {
  if (!json.is_boolean())
    return malformed(path, "is not a boolean", "give true or false");
  out = json.get<bool>();
  return Ok{};
}

Status readDouble(const Json &json, const FieldPath &path, double &out) {
  if (!json.is_number())
    return malformed(path, "is not a number", "give a number");
  out = json.get<double>();
  return Ok{};
}

Status readDuration(const Json &json, const FieldPath &path, Duration &out) {
  int64_t n = 0;
  Status status = readInteger(json, path, 0, MaxMillis, n);
  if (isOk(status))
    out = Duration::millis(n);
  return status;
}

Status readInstant(const Json &json, const FieldPath &path, Instant &out) {
  if (json.is_null()) {
    out = Instant::never();
    return Ok{};
  }
  int64_t n = 0;
  Status status = readInteger(json, path, 0, MaxMillis, n);
  if (isOk(status))
    out = Instant::fromMillis(n);
  return status;
}

Status readAddress(const Json &json, const FieldPath &path, Address &out) {
  std::string text;
  if (Status status = readText(json, path, text); !isOk(status))
    return status;
  Result<Address> address = Address::parse(text);
  if (!isOk(address))
    return malformed(path, errorOf(address).Message, errorOf(address).Remedy);
  out = valueOf(std::move(address));
  return Ok{};
}

FieldReader::FieldReader(const Json &json, const FieldPath &path)
    : Object(json), Path(path) {
  if (!json.is_object())
    fail(path, "is not an object", "give a JSON object");
}

void FieldReader::bytes(absl::string_view name, std::string &out) {
  const std::string encodedName = absl::StrCat(name, Base64Suffix);
  const Json *encoded = find(encodedName);
  if (!encoded) {
    optional(name, out);
    return;
  }
  const FieldPath path{&Path, encodedName};
  std::string text;
  Outcome = readText(*encoded, path, text);
  if (!isOk(Outcome))
    return;
  if (find(name))
    fail(path, "is given together with the field as text",
         "send only one of the two fields");
  else if (std::optional<std::string> decoded = decodeBase64(text))
    out = *std::move(decoded);
  else
    fail(path, "is not base64", "encode the bytes as base64 with padding");
}

void FieldReader::amount(absl::string_view name, int64_t &out) {
  if (const Json *json = find(name))
    Outcome = readInteger(*json, FieldPath{&Path, name}, 0, MaxAmount, out);
}

void FieldReader::fail(const FieldPath &path, absl::string_view problem,
                       absl::string_view remedy) {
  if (isOk(Outcome))
    Outcome = malformed(path, problem, remedy);
}

const Json *FieldReader::find(absl::string_view name) {
  if (!isOk(Outcome))
    return nullptr;
  KnownNames.emplace_back(name);
  const auto it = Object.find(std::string(name));
  return it == Object.end() ? nullptr : &*it;
}

Status FieldReader::finish() {
  if (!isOk(Outcome))
    return Outcome;
  for (const auto &member : Object.items())
    if (std::ranges::find(KnownNames, member.key()) == KnownNames.end())
      return malformed(
          FieldPath{&Path, member.key()}, "is an unknown field",
          absl::StrCat("use only ", absl::StrJoin(KnownNames, ", ")));
  return Ok{};
}

void FieldWriter::bytes(absl::string_view name, const std::string &value) {
  if (isUtf8(value))
    Object[std::string(name)] = value;
  else
    Object[absl::StrCat(name, Base64Suffix)] = encodeBase64(value);
}

void FieldWriter::amount(absl::string_view name, int64_t value) {
  Object[std::string(name)] = value;
}

} // namespace jujube::http::internal
