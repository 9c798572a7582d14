#include "jujube/wire/packed_archive.h"

#include <cstring>

namespace jujube::wire {
namespace {

constexpr unsigned GroupBits = 7;
constexpr uint64_t GroupMask = 0x7F;
constexpr uint8_t MoreFollows = 0x80;
// Bits of the last group of a number of 64 bits.
constexpr unsigned LastShift = 63;

} // namespace

void PackedWriter::writeNumber(uint64_t n) {
  while (n > GroupMask) {
    Out.push_back(static_cast<char>((n & GroupMask) | MoreFollows));
    n >>= GroupBits;
  }
  Out.push_back(static_cast<char>(n));
}

void PackedWriter::writeText(const std::string &text) {
  const bool isShared = isSharedLength(text.size());
  if (isShared && SharedBytes + text.size() <= MaxSharedBytes) {
    const auto [it, isNew] = Positions.try_emplace(text, LastPosition);
    if (!isNew) {
      SharedBytes += text.size();
      writeNumber(it->second << 1 | 1);
      return;
    }
  }
  if (isShared)
    ++LastPosition;
  writeNumber(static_cast<uint64_t>(text.size()) << 1);
  write(text.data(), text.size());
}

void PackedReader::checkSize(uint64_t n) const {
  if (n > Left.size())
    throw cereal::Exception("a size exceeds the bytes that are left");
}

void PackedReader::read(void *data, std::size_t n) {
  checkSize(n);
  // An empty list has no memory to copy to.
  if (n > 0)
    std::memcpy(data, Left.data(), n);
  Left.remove_prefix(n);
}

uint64_t PackedReader::readNumber() {
  uint64_t n = 0;
  for (unsigned shift = 0; shift <= LastShift; shift += GroupBits) {
    uint8_t byte = 0;
    read(&byte, sizeof byte);
    const uint64_t group = byte & GroupMask;
    if (shift == LastShift && byte > 1)
      break;
    n |= group << shift;
    if ((byte & MoreFollows) != 0)
      continue;
    if (byte == 0 && shift > 0)
      break;
    return n;
  }
  throw cereal::Exception("a number is too long");
}

std::string PackedReader::readText() {
  const uint64_t head = readNumber();
  if ((head & 1) != 0)
    return readShared(head >> 1);
  const uint64_t n = head >> 1;
  checkSize(n);
  std::string text(Left.substr(0, n));
  Left.remove_prefix(n);
  if (isSharedLength(n))
    Texts.push_back(text);
  return text;
}

std::string PackedReader::readShared(uint64_t position) {
  if (position >= Texts.size())
    throw cereal::Exception("a text refers to one that did not come before");
  const std::string &text = Texts[position];
  SharedBytes += text.size();
  if (SharedBytes > MaxSharedBytes)
    throw cereal::Exception("too many repeated texts");
  return text;
}

} // namespace jujube::wire
