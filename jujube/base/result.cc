#include "jujube/base/result.h"

#include "absl/strings/str_cat.h"

namespace jujube {

std::string Error::text() const {
  return absl::StrCat(nameIn(ErrorKindNames, Kind), ": ", Message,
                      Remedy.empty() ? "" : "; ", Remedy);
}

} // namespace jujube
