#include "jujube/storage/record.h"

#include <zlib.h>

#include <cstdint>
#include <optional>

namespace jujube::storage {

namespace {

// Marks the start of a record: "JUJ1".
constexpr char Marker[] = {'J', 'U', 'J', '1'};
constexpr absl::string_view MarkerText(Marker, sizeof(Marker));

void putNumber(uint32_t n, std::string &out) {
  for (int shift = 0; shift < 32; shift += 8)
    out.push_back(static_cast<char>(n >> shift));
}

uint32_t getNumber(absl::string_view text) {
  uint32_t n = 0;
  for (int i = 3; i >= 0; --i)
    n = n << 8 | static_cast<unsigned char>(text[static_cast<std::size_t>(i)]);
  return n;
}

uint32_t checksum(absl::string_view data) {
  return static_cast<uint32_t>(::crc32_z(
      0, reinterpret_cast<const unsigned char *>(data.data()), data.size()));
}

// The payload of the record at the start of `text`, if it is whole and intact.
std::optional<absl::string_view> recordAt(absl::string_view text) {
  if (text.size() < RecordHeaderBytes || text.substr(0, 4) != MarkerText)
    return std::nullopt;
  const std::size_t length = getNumber(text.substr(4));
  const uint32_t expected = getNumber(text.substr(8));
  if (length > MaxRecordBytes || length > text.size() - RecordHeaderBytes)
    return std::nullopt;
  const absl::string_view payload = text.substr(RecordHeaderBytes, length);
  if (checksum(payload) != expected)
    return std::nullopt;
  return payload;
}

bool hasRecord(absl::string_view text) {
  for (std::size_t at = text.find(MarkerText); at != absl::string_view::npos;
       at = text.find(MarkerText, at + 1))
    if (recordAt(text.substr(at)))
      return true;
  return false;
}

} // namespace

void appendRecord(absl::string_view payload, std::string &out) {
  out.append(Marker, sizeof(Marker));
  putNumber(static_cast<uint32_t>(payload.size()), out);
  putNumber(checksum(payload), out);
  out.append(payload.data(), payload.size());
}

ScanResult scanRecords(absl::string_view file,
                       const std::function<void(absl::string_view)> &visit) {
  ScanResult result;
  while (result.IntactBytes < file.size()) {
    const absl::string_view rest = file.substr(result.IntactBytes);
    const std::optional<absl::string_view> payload = recordAt(rest);
    if (!payload) {
      result.IsDamagedInside = hasRecord(rest);
      return result;
    }
    visit(*payload);
    result.IntactBytes += RecordHeaderBytes + payload->size();
  }
  return result;
}

} // namespace jujube::storage
