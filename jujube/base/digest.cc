#include "jujube/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
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
  CHECK_EQ(rc, 1) << "OpenSSL's random generator failed";
  return absl::BytesToHexString(bytes);
}

namespace {

using DigestBuffer = std::array<unsigned char, EVP_MAX_MD_SIZE>;

std::string toHex(const DigestBuffer &digest, unsigned int n) {
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char *>(digest.data()), n));
}

} // namespace

std::string saltedDigest(absl::string_view salt, absl::string_view text) {
  const std::string input = absl::StrCat(salt, ":", text);
  DigestBuffer digest{};
  unsigned int n = 0;
  const int rc = EVP_Digest(input.data(), input.size(), digest.data(), &n,
                            EVP_sha256(), nullptr);
  CHECK_EQ(rc, 1) << "SHA-256 is not available";
  return toHex(digest, n);
}

std::string keyedDigest(absl::string_view key, absl::string_view text) {
  DigestBuffer digest{};
  unsigned int n = 0;
  const auto *data = reinterpret_cast<const unsigned char *>(text.data());
  const bool isDone =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data,
           text.size(), digest.data(), &n) != nullptr;
  CHECK(isDone) << "HMAC-SHA-256 is not available";
  return toHex(digest, n);
}

bool equalDigests(absl::string_view a, absl::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace jujube
