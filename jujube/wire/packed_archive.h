// cereal archives for what goes over the network: integers of variable length,
// and short texts that are written once per message.
//
// A packed message begins with its format byte. Integers are LEB128, signed
// ones zigzag first. A text is preceded by a number: twice its length, or twice
// the position of an equal earlier text plus one. Positions count the texts of
// MinSharedText to MaxSharedText bytes that were written out.
#ifndef JUJUBE_WIRE_PACKED_ARCHIVE_H_
#define JUJUBE_WIRE_PACKED_ARCHIVE_H_

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "jujube/base/ids.h"
#include "jujube/base/result.h"

namespace jujube::wire {

// The first byte of a packed message. An unpacked one of earlier versions that
// begins with this byte is refused, since a second byte of 0 can't be followed
// by anything in a packed list.
inline constexpr char PackedFormat = '\xF1';

// Texts of these lengths in bytes are shared.
inline constexpr std::size_t MinSharedText = 3;
inline constexpr std::size_t MaxSharedText = MaxIdLength;
// Most bytes of a message that stand for earlier ones: bounds what a small
// message can unpack to.
inline constexpr std::size_t MaxSharedBytes = std::size_t{16} << 20;

constexpr bool isSharedLength(std::size_t n) {
  return n >= MinSharedText && n <= MaxSharedText;
}

// Appends to a string.
class PackedWriter
    : public cereal::OutputArchive<PackedWriter,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit PackedWriter(std::string &out) : OutputArchive(this), Out(out) {}

  void write(const void *data, std::size_t n) {
    Out.append(static_cast<const char *>(data), n);
  }
  void writeNumber(uint64_t n);
  void writeText(const std::string &text);

private:
  std::string &Out;
  std::unordered_map<std::string, uint64_t> Positions;
  uint64_t LastPosition = 0;
  std::size_t SharedBytes = 0;
};

// Reads what PackedWriter wrote. Throws cereal::Exception for bad input, before
// anything is allocated for a size that exceeds the bytes left.
class PackedReader
    : public cereal::InputArchive<PackedReader,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit PackedReader(absl::string_view in) : InputArchive(this), Left(in) {}

  void read(void *data, std::size_t n);
  uint64_t readNumber();
  std::string readText();
  void checkSize(uint64_t n) const;
  bool isAtEnd() const { return Left.empty(); }

private:
  std::string readShared(uint64_t position);

  absl::string_view Left;
  std::vector<std::string> Texts;
  std::size_t SharedBytes = 0;
};

// The free functions that cereal calls for the types that it knows.
template <typename T>
inline constexpr bool IsPackedNumber = std::is_integral_v<T> && sizeof(T) > 1;

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> save(PackedWriter &ar,
                                               const T &value) {
  if constexpr (!IsPackedNumber<T>) {
    ar.write(&value, sizeof value);
  } else if constexpr (std::is_signed_v<T>) {
    const auto n = static_cast<int64_t>(value);
    ar.writeNumber((static_cast<uint64_t>(n) << 1) ^
                   static_cast<uint64_t>(n >> 63));
  } else {
    ar.writeNumber(value);
  }
}
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> load(PackedReader &ar, T &value) {
  if constexpr (!IsPackedNumber<T>) {
    ar.read(&value, sizeof value);
  } else {
    const uint64_t n = ar.readNumber();
    uint64_t bits = n;
    if constexpr (std::is_signed_v<T>)
      bits = (n >> 1) ^ (~(n & 1) + 1);
    value = static_cast<T>(bits);
    if (static_cast<uint64_t>(value) != bits)
      throw cereal::Exception("a number exceeds its type");
  }
}
// A byte other than 0 and 1 is not a bool.
inline void load(PackedReader &ar, bool &value) {
  uint8_t byte = 0;
  ar.read(&byte, sizeof byte);
  if (byte > 1)
    throw cereal::Exception("a bool is neither 0 nor 1");
  value = byte == 1;
}
inline void save(PackedWriter &ar, const std::string &text) {
  ar.writeText(text);
}
inline void load(PackedReader &ar, std::string &text) { text = ar.readText(); }
template <typename T>
void serialize(PackedWriter &ar, cereal::NameValuePair<T> &pair) {
  ar(pair.value);
}
template <typename T>
void serialize(PackedReader &ar, cereal::NameValuePair<T> &pair) {
  ar(pair.value);
}
template <typename T>
void save(PackedWriter &ar, const cereal::SizeTag<T> &tag) {
  ar.writeNumber(tag.size);
}
template <typename T> void load(PackedReader &ar, cereal::SizeTag<T> &tag) {
  const uint64_t n = ar.readNumber();
  ar.checkSize(n);
  tag.size = static_cast<std::remove_reference_t<T>>(n);
}
template <typename T>
void save(PackedWriter &ar, const cereal::BinaryData<T> &data) {
  ar.write(data.data, static_cast<std::size_t>(data.size));
}
template <typename T> void load(PackedReader &ar, cereal::BinaryData<T> &data) {
  ar.read(data.data, static_cast<std::size_t>(data.size));
}

// Encodes a value whose serialize functions are visible.
template <typename T> std::string encodePacked(const T &value) {
  std::string out(1, PackedFormat);
  PackedWriter writer(out);
  writer(value);
  return out;
}

// CorruptData for a message of another format, and for bytes left over, bytes
// missing and unknown variants.
template <typename T> Result<T> decodePacked(absl::string_view in) {
  constexpr absl::string_view Remedy = "run the same version on all hosts";
  if (in.empty() || in.front() != PackedFormat)
    return Error{ErrorKind::CorruptData, "a message of another format",
                 std::string(Remedy)};
  try {
    T value;
    PackedReader reader(in.substr(1));
    reader(value);
    if (reader.isAtEnd())
      return value;
  } catch (const std::exception &e) {
    return Error{ErrorKind::CorruptData,
                 absl::StrCat("undecodable message: ", e.what()),
                 std::string(Remedy)};
  }
  return Error{ErrorKind::CorruptData,
               "undecodable message: bytes are left over", std::string(Remedy)};
}

} // namespace jujube::wire

CEREAL_REGISTER_ARCHIVE(jujube::wire::PackedWriter)
CEREAL_REGISTER_ARCHIVE(jujube::wire::PackedReader)
CEREAL_SETUP_ARCHIVE_TRAITS(jujube::wire::PackedReader,
                            jujube::wire::PackedWriter)

#endif // JUJUBE_WIRE_PACKED_ARCHIVE_H_
