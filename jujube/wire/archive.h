// cereal archives that write to and read from strings: fixed-width
// little-endian binary, with bounded decoding. The fleet log and the control
// group's log use this format; network messages and zone journals use
// packed_archive.h.
#ifndef JUJUBE_WIRE_ARCHIVE_H_
#define JUJUBE_WIRE_ARCHIVE_H_

#include <cereal/cereal.hpp>

#include <cstdint>
#include <cstring>
#include <exception>
#include <string>
#include <type_traits>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "jujube/base/result.h"

namespace jujube::wire {

// Appends the encoding to a string, which must outlive the writer.
class StringWriter
    : public cereal::OutputArchive<StringWriter,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit StringWriter(std::string &out) : OutputArchive(this), Out(out) {}

  void write(const void *data, std::size_t n) {
    Out.append(static_cast<const char *>(data), n);
  }

private:
  std::string &Out;
};

// Reads the output of StringWriter. Throws cereal::Exception for a size that
// exceeds the remaining input, before allocating memory for it.
class BoundedReader
    : public cereal::InputArchive<BoundedReader,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedReader(absl::string_view in)
      : InputArchive(this), Remaining(in) {}

  void read(void *data, std::size_t n) {
    checkSize(n);
    // The data pointer of an empty vector may be null.
    if (n == 0)
      return;
    std::memcpy(data, Remaining.data(), n);
    Remaining.remove_prefix(n);
  }
  void checkSize(uint64_t n) const {
    if (n > Remaining.size())
      throw cereal::Exception("a size exceeds the remaining bytes");
  }
  bool isAtEnd() const { return Remaining.empty(); }

private:
  absl::string_view Remaining;
};

// The functions that cereal calls for its built-in types.
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> save(StringWriter &ar,
                                               const T &value) {
  ar.write(&value, sizeof value);
}
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> load(BoundedReader &ar, T &value) {
  ar.read(&value, sizeof value);
}
// Rejects bytes other than 0 and 1.
inline void load(BoundedReader &ar, bool &value) {
  uint8_t byte = 0;
  ar.read(&byte, sizeof byte);
  if (byte > 1)
    throw cereal::Exception("a bool is neither 0 nor 1");
  value = byte == 1;
}
template <typename T>
void serialize(StringWriter &ar, cereal::NameValuePair<T> &pair) {
  ar(pair.value);
}
template <typename T>
void serialize(BoundedReader &ar, cereal::NameValuePair<T> &pair) {
  ar(pair.value);
}
template <typename T>
void save(StringWriter &ar, const cereal::SizeTag<T> &tag) {
  const auto n = static_cast<uint32_t>(tag.size);
  ar.write(&n, sizeof n);
}
template <typename T> void load(BoundedReader &ar, cereal::SizeTag<T> &tag) {
  uint32_t n = 0;
  ar.read(&n, sizeof n);
  ar.checkSize(n);
  tag.size = n;
}
template <typename T>
void save(StringWriter &ar, const cereal::BinaryData<T> &data) {
  ar.write(data.data, static_cast<std::size_t>(data.size));
}
template <typename T>
void load(BoundedReader &ar, cereal::BinaryData<T> &data) {
  ar.read(data.data, static_cast<std::size_t>(data.size));
}

// Encodes a value. The cereal functions for its type must be visible at the
// point of instantiation.
template <typename T> std::string encode(const T &value) {
  std::string out;
  StringWriter writer(out);
  writer(value);
  return out;
}

// Decodes a value that spans the whole input, possibly followed by values that
// earlier versions did not write; those that are missing stay as they are.
// Returns CorruptData for trailing bytes, truncated input and unknown variant
// alternatives.
template <typename T, typename... Later>
Result<T> decodeExtended(absl::string_view in, Later &...later) {
  try {
    T value;
    BoundedReader reader(in);
    reader(value);
    ((reader.isAtEnd() ? void() : void(reader(later))), ...);
    if (reader.isAtEnd())
      return value;
  } catch (const std::exception &e) {
    return Error{ErrorKind::CorruptData,
                 absl::StrCat("message can't be decoded: ", e.what()),
                 "run the same version on all hosts"};
  }
  return Error{ErrorKind::CorruptData,
               "message can't be decoded: trailing bytes",
               "run the same version on all hosts"};
}

// Decodes a value that spans the whole input.
template <typename T> Result<T> decode(absl::string_view in) {
  return decodeExtended<T>(in);
}

} // namespace jujube::wire

CEREAL_REGISTER_ARCHIVE(jujube::wire::StringWriter)
CEREAL_REGISTER_ARCHIVE(jujube::wire::BoundedReader)
CEREAL_SETUP_ARCHIVE_TRAITS(jujube::wire::BoundedReader,
                            jujube::wire::StringWriter)

#endif // JUJUBE_WIRE_ARCHIVE_H_
