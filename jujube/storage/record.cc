#include "jujube/storage/record.h"

#include <zlib.h>

#include <cstdint>
#include <optional>

namespace jujube::storage {

namespace {

// The first bytes of each record: "JUJ1".
constexpr char Marker[] = {'J', 'U', 'J', '1'};
constexpr absl::string_view MarkerText(Marker, sizeof(Marker));

void appendUint32(uint32_t n, std::string &out) {
  for (int shift = 0; shift < 32; shift += 8)
    out.push_back(static_cast<char>(n >> shift));
}

uint32_t readUint32(absl::string_view text) {
  uint32_t n = 0;
  for (int i = 3; i >= 0; --i)
    n = n << 8 | static_cast<unsigned char>(text[static_cast<std::size_t>(i)]);
  return n;
}

uint32_t checksum(absl::string_view data) {
  return static_cast<uint32_t>(::crc32_z(
      0, reinterpret_cast<const unsigned char *>(data.data()), data.size()));
}

// The payload of the record at the start of `text`; empty if the record is
// incomplete or damaged.
std::optional<absl::string_view> parseRecord(absl::string_view text) {
  if (text.size() < RecordHeaderBytes || text.substr(0, 4) != MarkerText)
    return std::nullopt;
  const std::size_t length = readUint32(text.substr(4));
  const uint32_t expected = readUint32(text.substr(8));
  if (length > MaxRecordBytes || length > text.size() - RecordHeaderBytes)
    return std::nullopt;
  const absl::string_view payload = text.substr(RecordHeaderBytes, length);
  if (checksum(payload) != expected)
    return std::nullopt;
  return payload;
}

bool containsRecord(absl::string_view text) {
  for (std::size_t at = text.find(MarkerText); at != absl::string_view::npos;
       at = text.find(MarkerText, at + 1))
    if (parseRecord(text.substr(at)))
      return true;
  return false;
}

} // namespace

void appendRecord(absl::string_view payload, std::string &out) {
  out.append(Marker, sizeof(Marker));
  appendUint32(static_cast<uint32_t>(payload.size()), out);
  appendUint32(checksum(payload), out);
  out.append(payload.data(), payload.size());
}

ScanResult scanRecords(absl::string_view file,
                       const std::function<void(absl::string_view)> &visit) {
  ScanResult result;
  while (result.IntactBytes < file.size()) {
    const absl::string_view rest = file.substr(result.IntactBytes);
    const std::optional<absl::string_view> payload = parseRecord(rest);
    if (!payload) {
      result.HasRecordAfterDamage = containsRecord(rest);
      return result;
    }
    visit(*payload);
    result.IntactBytes += RecordHeaderBytes + payload->size();
  }
  return result;
}

} // namespace jujube::storage
