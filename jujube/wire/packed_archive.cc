#include "jujube/wire/packed_archive.h"

#include <cstring>

namespace jujube::wire {
namespace {

constexpr unsigned GroupBits = 7;
constexpr uint64_t GroupMask = 0x7F;
constexpr uint8_t ContinuationBit = 0x80;
// Shift of the last group of a 64-bit integer, which holds a single bit.
constexpr unsigned LastShift = 63;

} // namespace

void PackedWriter::writeVarint(uint64_t n) {
  while (n > GroupMask) {
    Out.push_back(static_cast<char>((n & GroupMask) | ContinuationBit));
    n >>= GroupBits;
  }
  Out.push_back(static_cast<char>(n));
}

void PackedWriter::writeString(const std::string &text) {
  const bool isShared = isSharedLength(text.size());
  if (isShared && ReferencedBytes + text.size() <= MaxReferencedBytes) {
    const auto [it, isNew] = Positions.try_emplace(text, NextPosition);
    if (!isNew) {
      ReferencedBytes += text.size();
      writeVarint(it->second << 1 | 1);
      return;
    }
  }
  if (isShared)
    ++NextPosition;
  writeVarint(static_cast<uint64_t>(text.size()) << 1);
  write(text.data(), text.size());
}

void PackedReader::checkSize(uint64_t n) const {
  if (n > Remaining.size())
    throw cereal::Exception("a size exceeds the remaining bytes");
}

void PackedReader::read(void *data, std::size_t n) {
  checkSize(n);
  // The data pointer of an empty vector may be null.
  if (n > 0)
    std::memcpy(data, Remaining.data(), n);
  Remaining.remove_prefix(n);
}

uint64_t PackedReader::readVarint() {
  uint64_t n = 0;
  for (unsigned shift = 0; shift <= LastShift; shift += GroupBits) {
    uint8_t byte = 0;
    read(&byte, sizeof byte);
    const uint64_t group = byte & GroupMask;
    if (shift == LastShift && byte > 1)
      break;
    n |= group << shift;
    if ((byte & ContinuationBit) != 0)
      continue;
    if (byte == 0 && shift > 0)
      break;
    return n;
  }
  throw cereal::Exception("a number is too long or has redundant bytes");
}

std::string PackedReader::readString() {
  const uint64_t head = readVarint();
  if ((head & 1) != 0)
    return readReference(head >> 1);
  const uint64_t n = head >> 1;
  checkSize(n);
  std::string text(Remaining.substr(0, n));
  Remaining.remove_prefix(n);
  if (isSharedLength(n))
    Strings.push_back(text);
  return text;
}

std::string PackedReader::readReference(uint64_t position) {
  if (position >= Strings.size())
    throw cereal::Exception(
        "a string refers to a position that has not been written");
  const std::string &text = Strings[position];
  ReferencedBytes += text.size();
  if (ReferencedBytes > MaxReferencedBytes)
    throw cereal::Exception("repeated strings exceed the size limit");
  return text;
}

} // namespace jujube::wire
