#include "jujube/wire/framing.h"

#include <cstdint>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace jujube::wire {
namespace {

constexpr std::size_t HeaderBytes = sizeof(uint32_t);

} // namespace

std::string frame(absl::string_view payload) {
  const auto n = static_cast<uint32_t>(payload.size());
  std::string out(HeaderBytes, '\0');
  std::memcpy(out.data(), &n, HeaderBytes);
  return absl::StrCat(out, payload);
}

Result<std::optional<std::string>> FrameReader::next() {
  const std::size_t left = Buffer.size() - ConsumedBytes;
  if (left < HeaderBytes)
    return std::optional<std::string>();
  uint32_t n = 0;
  std::memcpy(&n, Buffer.data() + ConsumedBytes, HeaderBytes);
  if (n > MaxFrameBytes)
    return Error{
        ErrorKind::CorruptData,
        absl::StrCat("frame length of ", n, " bytes exceeds the limit"),
        "run the same version on all hosts"};
  if (left < HeaderBytes + n)
    return std::optional<std::string>();
  std::optional<std::string> payload =
      Buffer.substr(ConsumedBytes + HeaderBytes, n);
  ConsumedBytes += HeaderBytes + n;
  if (ConsumedBytes == Buffer.size() || ConsumedBytes > MaxFrameBytes) {
    Buffer.erase(0, ConsumedBytes);
    ConsumedBytes = 0;
  }
  return payload;
}

} // namespace jujube::wire
