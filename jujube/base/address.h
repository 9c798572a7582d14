// Network addresses of the processes of a cluster.
#ifndef JUJUBE_BASE_ADDRESS_H_
#define JUJUBE_BASE_ADDRESS_H_

#include "absl/strings/string_view.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "jujube/base/result.h"

namespace jujube {

// An IPv4 address and a port. `Ip` is in dotted decimal notation.
struct Address {
  std::string Ip;
  uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;

  // Parses text of the form "127.0.0.1:9000". Host names are not resolved.
  static Result<Address> parse(absl::string_view text);
  std::string str() const;

  template <typename H> friend H AbslHashValue(H state, const Address &a) {
    return H::combine(std::move(state), a.Ip, a.Port);
  }
};

// Parses a comma-separated list of addresses. Returns an empty list for empty
// text.
Result<std::vector<Address>> parseAddresses(absl::string_view text);

} // namespace jujube

#endif // JUJUBE_BASE_ADDRESS_H_
