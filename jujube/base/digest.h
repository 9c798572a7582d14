// Random secrets, salted digests and keyed digests, implemented with OpenSSL.
#ifndef JUJUBE_BASE_DIGEST_H_
#define JUJUBE_BASE_DIGEST_H_

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"

namespace jujube {

// Returns `n` bytes from OpenSSL's random generator as lowercase hex. Ends the
// process if the generator fails.
std::string randomHex(std::size_t n);

// Returns the SHA-256 digest of "salt:text" as lowercase hex.
std::string saltedDigest(absl::string_view salt, absl::string_view text);

// Returns the HMAC-SHA-256 of `text` under `key` as lowercase hex.
std::string keyedDigest(absl::string_view key, absl::string_view text);

// Compares two digests of equal length in constant time, to resist timing
// attacks.
bool equalDigests(absl::string_view a, absl::string_view b);

} // namespace jujube

#endif // JUJUBE_BASE_DIGEST_H_
