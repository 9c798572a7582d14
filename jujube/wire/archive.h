// cereal archives over strings: portable binary, with bounded decoding.
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

// Appends little-endian binary to a string.
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

// Reads what StringWriter wrote. A size that exceeds the bytes left is refused
// before anything is allocated for it.
class BoundedReader
    : public cereal::InputArchive<BoundedReader,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedReader(absl::string_view in) : InputArchive(this), Left(in) {}

  void read(void *data, std::size_t n) {
    checkSize(n);
    // An empty vector has no data.
    if (n == 0)
      return;
    std::memcpy(data, Left.data(), n);
    Left.remove_prefix(n);
  }
  void checkSize(uint64_t n) const {
    if (n > Left.size())
      throw cereal::Exception("a size exceeds the bytes that are left");
  }
  bool isAtEnd() const { return Left.empty(); }

private:
  absl::string_view Left;
};

// The free functions that cereal calls for the types that it knows.
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> save(StringWriter &ar,
                                               const T &value) {
  ar.write(&value, sizeof value);
}
template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> load(BoundedReader &ar, T &value) {
  ar.read(&value, sizeof value);
}
// A byte other than 0 and 1 is not a bool.
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

// Encodes a value whose serialize functions are visible.
template <typename T> std::string encode(const T &value) {
  std::string out;
  StringWriter writer(out);
  writer(value);
  return out;
}

// Decodes a whole value; bytes left over, bytes missing and unknown variants
// are CorruptData.
template <typename T> Result<T> decode(absl::string_view in) {
  try {
    T value;
    BoundedReader reader(in);
    reader(value);
    if (reader.isAtEnd())
      return value;
  } catch (const std::exception &e) {
    return Error{ErrorKind::CorruptData,
                 absl::StrCat("undecodable message: ", e.what()),
                 "run the same version on all hosts"};
  }
  return Error{ErrorKind::CorruptData,
               "undecodable message: bytes are left over",
               "run the same version on all hosts"};
}

} // namespace jujube::wire

CEREAL_REGISTER_ARCHIVE(jujube::wire::StringWriter)
CEREAL_REGISTER_ARCHIVE(jujube::wire::BoundedReader)
CEREAL_SETUP_ARCHIVE_TRAITS(jujube::wire::BoundedReader,
                            jujube::wire::StringWriter)

#endif // JUJUBE_WIRE_ARCHIVE_H_
