// Random secrets and salted digests, through OpenSSL.
#ifndef JUJUBE_BASE_DIGEST_H_
#define JUJUBE_BASE_DIGEST_H_

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"

namespace jujube {

// Returns `n` bytes from the system's random source as lowercase hex.
std::string randomHex(std::size_t n);

// Returns the SHA-256 digest of salt and text as lowercase hex.
std::string saltedDigest(absl::string_view salt, absl::string_view text);

// Returns the HMAC-SHA-256 of `text` under `key` as lowercase hex.
std::string keyedDigest(absl::string_view key, absl::string_view text);

// Compares in a time that does not depend on where the texts differ.
bool equalDigests(absl::string_view a, absl::string_view b);

} // namespace jujube

#endif // JUJUBE_BASE_DIGEST_H_
