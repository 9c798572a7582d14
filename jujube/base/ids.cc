#include "jujube/base/ids.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace jujube {
namespace {

bool isIdCharacter(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
         c == '_' || c == '-';
}

} // namespace

Status checkIdText(absl::string_view idType, absl::string_view text) {
  if (!text.empty() && text.size() <= MaxIdLength &&
      std::all_of(text.begin(), text.end(), isIdCharacter))
    return Ok{};
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("bad ", idType, " id '",
                            absl::CHexEscape(text.substr(0, MaxIdLength)),
                            text.size() > MaxIdLength ? "...'" : "'"),
               absl::StrCat("use 1 to ", MaxIdLength,
                            " letters, digits, dots, dashes or underscores")};
}

Result<ZoneId> homeZone(const RequestId &id) {
  const std::size_t dot = id.str().find('.');
  if (dot == std::string::npos || dot == 0 || dot + 1 == id.str().size())
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("request id '", id.str(),
                              "' does not name an availability zone"),
                 "write it as ZONE.NAME with a zone that GET /v1/status lists"};
  return ZoneId(id.str().substr(0, dot));
}

} // namespace jujube
