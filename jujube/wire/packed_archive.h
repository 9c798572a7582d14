// cereal archives of a compact format, for network messages and zone journals:
// variable-length integers, and strings of identifier length that are written
// once per message and referenced by later occurrences.
//
// A packed message begins with the byte PackedFormat. Integers of more than one
// byte are LEB128 varints; signed integers are zigzag-encoded first. A string
// is a varint and possibly bytes: either twice the length of the string,
// followed by its bytes, or twice the position of an equal earlier string plus
// one. Positions count the strings of MinSharedString to MaxSharedString bytes
// whose bytes were written.
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

// The first byte of a packed message. A list in the unpacked format of earlier
// versions whose length begins with this byte is rejected as well: its second
// byte would be 0, and nothing may follow the length 0 of a packed list.
inline constexpr char PackedFormat = '\xF1';

// Range of lengths, in bytes, of the strings that are shared within a message.
inline constexpr std::size_t MinSharedString = 3;
inline constexpr std::size_t MaxSharedString = MaxIdLength;
// Limit of the total bytes that references expand to in a message. Bounds the
// memory that decoding a small message can take.
inline constexpr std::size_t MaxReferencedBytes = std::size_t{16} << 20;

constexpr bool isSharedLength(std::size_t n) {
  return n >= MinSharedString && n <= MaxSharedString;
}

// Appends the encoding to a string, which must outlive the writer.
class PackedWriter
    : public cereal::OutputArchive<PackedWriter,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit PackedWriter(std::string &out) : OutputArchive(this), Out(out) {}

  void write(const void *data, std::size_t n) {
    Out.append(static_cast<const char *>(data), n);
  }
  void writeVarint(uint64_t n);
  void writeString(const std::string &text);

private:
  std::string &Out;
  std::unordered_map<std::string, uint64_t> Positions;
  uint64_t NextPosition = 0;
  std::size_t ReferencedBytes = 0;
};

// Reads the output of PackedWriter. Throws cereal::Exception for malformed
// input; a size that exceeds the remaining input is rejected before allocating
// memory for it.
class PackedReader
    : public cereal::InputArchive<PackedReader,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit PackedReader(absl::string_view in)
      : InputArchive(this), Remaining(in) {}

  void read(void *data, std::size_t n);
  uint64_t readVarint();
  std::string readString();
  void checkSize(uint64_t n) const;
  bool isAtEnd() const { return Remaining.empty(); }

private:
  std::string readReference(uint64_t position);

  absl::string_view Remaining;
  std::vector<std::string> Strings;
  std::size_t ReferencedBytes = 0;
};

// Integers of one byte are written as they are.
template <typename T>
inline constexpr bool IsPackedNumber = std::is_integral_v<T> && sizeof(T) > 1;

// The functions that cereal calls for its built-in types.
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> save(PackedWriter &ar,
                                               const T &value) {
  if constexpr (!IsPackedNumber<T>) {
    ar.write(&value, sizeof value);
  } else if constexpr (std::is_signed_v<T>) {
    const auto n = static_cast<int64_t>(value);
    ar.writeVarint((static_cast<uint64_t>(n) << 1) ^
                   static_cast<uint64_t>(n >> 63));
  } else {
    ar.writeVarint(value);
  }
}
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> load(PackedReader &ar, T &value) {
  if constexpr (!IsPackedNumber<T>) {
    ar.read(&value, sizeof value);
  } else {
    const uint64_t n = ar.readVarint();
    uint64_t bits = n;
    if constexpr (std::is_signed_v<T>)
      bits = (n >> 1) ^ (~(n & 1) + 1);
    value = static_cast<T>(bits);
    if (static_cast<uint64_t>(value) != bits)
      throw cereal::Exception("a number is out of range for its type");
  }
}
// Rejects bytes other than 0 and 1.
inline void load(PackedReader &ar, bool &value) {
  uint8_t byte = 0;
  ar.read(&byte, sizeof byte);
  if (byte > 1)
    throw cereal::Exception("a bool is neither 0 nor 1");
  value = byte == 1;
}
inline void save(PackedWriter &ar, const std::string &text) {
  ar.writeString(text);
}
inline void load(PackedReader &ar, std::string &text) {
  text = ar.readString();
}
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
  ar.writeVarint(tag.size);
}
template <typename T> void load(PackedReader &ar, cereal::SizeTag<T> &tag) {
  const uint64_t n = ar.readVarint();
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

// Encodes a value, with the format byte. The cereal functions for its type must
// be visible at the point of instantiation.
template <typename T> std::string encodePacked(const T &value) {
  std::string out(1, PackedFormat);
  PackedWriter writer(out);
  writer(value);
  return out;
}

// Decodes a value that spans the whole input. Returns CorruptData for another
// format byte, trailing bytes, truncated input and unknown variant
// alternatives.
template <typename T> Result<T> decodePacked(absl::string_view in) {
  constexpr absl::string_view Remedy = "run the same version on all hosts";
  if (in.empty() || in.front() != PackedFormat)
    return Error{ErrorKind::CorruptData, "message has no known format byte",
                 std::string(Remedy)};
  try {
    T value;
    PackedReader reader(in.substr(1));
    reader(value);
    if (reader.isAtEnd())
      return value;
  } catch (const std::exception &e) {
    return Error{ErrorKind::CorruptData,
                 absl::StrCat("message can't be decoded: ", e.what()),
                 std::string(Remedy)};
  }
  return Error{ErrorKind::CorruptData,
               "message can't be decoded: trailing bytes", std::string(Remedy)};
}

} // namespace jujube::wire

CEREAL_REGISTER_ARCHIVE(jujube::wire::PackedWriter)
CEREAL_REGISTER_ARCHIVE(jujube::wire::PackedReader)
CEREAL_SETUP_ARCHIVE_TRAITS(jujube::wire::PackedReader,
                            jujube::wire::PackedWriter)

#endif // JUJUBE_WIRE_PACKED_ARCHIVE_H_
