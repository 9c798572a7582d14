// Fuzzes the binary decoders of the messages between the system's processes and
// of their stored records.
#include <cstddef>
#include <cstdint>

#include "jujube/wire/messages.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  const absl::string_view bytes(reinterpret_cast<const char *>(data), size);
  (void)jujube::wire::decodeEnvelope(bytes);
  (void)jujube::wire::decodeFleetCommand(bytes);
  (void)jujube::wire::decodeFleetState(bytes);
  (void)jujube::wire::decodeZoneEvents(bytes);
  (void)jujube::wire::decodeControlEvents(bytes);
  (void)jujube::wire::decodeJobSnapshot(bytes);
  (void)jujube::wire::decodeFateSnapshot(bytes);
  return 0;
}
