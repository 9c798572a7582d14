// Length-prefixed frames on a byte stream: the payload's length in four
// little-endian bytes, then the payload.
#ifndef JUJUBE_WIRE_FRAMING_H_
#define JUJUBE_WIRE_FRAMING_H_

#include <cstddef>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"

namespace jujube::wire {

// Largest payload of a frame, without its length prefix.
inline constexpr std::size_t MaxFrameBytes = 4 << 20;

// Returns the payload with its length prefix.
// Precondition: payload.size() <= MaxFrameBytes.
std::string frame(absl::string_view payload);

// Splits a byte stream into the payloads of its frames.
class FrameReader {
public:
  void append(absl::string_view bytes) {
    Buffer.append(bytes.data(), bytes.size());
  }

  // Returns the next complete payload, or an empty optional if more bytes are
  // needed. Returns CorruptData for a length over MaxFrameBytes.
  Result<std::optional<std::string>> next();

private:
  std::string Buffer;
  // Length of the prefix of Buffer whose frames have been returned.
  std::size_t ConsumedBytes = 0;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_FRAMING_H_
