#include "jujube/base/address.h"

#include <arpa/inet.h>

#include <limits>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace jujube {

Result<Address> Address::parse(absl::string_view text) {
  const std::size_t colon = text.rfind(':');
  const Error bad{ErrorKind::InvalidArgument,
                  absl::StrCat("'", text, "' is not an address"),
                  "write it as IP:PORT, for example 127.0.0.1:9000"};
  if (colon == absl::string_view::npos)
    return bad;
  Address address{std::string(text.substr(0, colon)), 0};
  in_addr parsed{};
  int port = 0;
  // inet_pton() ignores everything after the first NUL byte.
  if (address.Ip.find('\0') != std::string::npos ||
      inet_pton(AF_INET, address.Ip.c_str(), &parsed) != 1 ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 ||
      port > std::numeric_limits<uint16_t>::max())
    return bad;
  address.Port = static_cast<uint16_t>(port);
  return address;
}

std::string Address::str() const { return absl::StrCat(Ip, ":", Port); }

Result<std::vector<Address>> parseAddresses(absl::string_view text) {
  std::vector<Address> all;
  for (absl::string_view part :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    Result<Address> address = Address::parse(part);
    if (!isOk(address))
      return errorOf(address);
    all.push_back(valueOf(std::move(address)));
  }
  return all;
}

} // namespace jujube
