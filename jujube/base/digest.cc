#include "jujube/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace jujube {

std::string randomHex(std::size_t n) {
  std::string bytes(n, '\0');
  const int rc = RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()),
                            static_cast<int>(n));
  CHECK_EQ(rc, 1) << "the system's random source failed";
  return absl::BytesToHexString(bytes);
}

std::string saltedDigest(absl::string_view salt, absl::string_view text) {
  const std::string input = absl::StrCat(salt, ":", text);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  const int rc = EVP_Digest(input.data(), input.size(), digest.data(), &n,
                            EVP_sha256(), nullptr);
  CHECK_EQ(rc, 1) << "SHA-256 is not available";
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char *>(digest.data()), n));
}

bool equalDigests(absl::string_view a, absl::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace jujube
