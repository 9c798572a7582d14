// Frames on a byte stream: a length in four bytes, then the payload.
#ifndef JUJUBE_WIRE_FRAMING_H_
#define JUJUBE_WIRE_FRAMING_H_

#include <cstddef>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "jujube/base/result.h"

namespace jujube::wire {

// Largest payload of a frame in bytes.
inline constexpr std::size_t MaxFrameBytes = 4 << 20;

// Returns the payload with its length in front.
// Precondition: payload.size() <= MaxFrameBytes.
std::string frame(absl::string_view payload);

// Cuts a byte stream into frames.
class FrameReader {
public:
  void append(absl::string_view bytes) {
    Buffer.append(bytes.data(), bytes.size());
  }

  // Returns the next whole payload, nothing if more bytes are needed, or
  // CorruptData for a length over MaxFrameBytes.
  Result<std::optional<std::string>> next();

private:
  std::string Buffer;
  // Bytes of Buffer that were returned already.
  std::size_t Consumed = 0;
};

} // namespace jujube::wire

#endif // JUJUBE_WIRE_FRAMING_H_
