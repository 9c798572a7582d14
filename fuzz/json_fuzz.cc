// Fuzzes the JSON decoders of the types that arrive over HTTP. A decoded value
// must survive a round trip through the encoder, and a decoding error must
// state a remedy.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace {

using jujube::errorOf;
using jujube::isOk;
using jujube::valueOf;

template <typename T> void check(absl::string_view text) {
  const jujube::Result<T> value = jujube::http::fromJson<T>(text);
  if (!isOk(value)) {
    if (errorOf(value).Remedy.empty())
      std::abort();
    return;
  }
  const jujube::Result<T> again =
      jujube::http::fromJson<T>(jujube::http::toJson(valueOf(value)));
  if (!isOk(again) || !(valueOf(again) == valueOf(value)))
    std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  const absl::string_view text(reinterpret_cast<const char *>(data), size);
  check<jujube::http::SubmitBody>(text);
  check<jujube::http::CallBody>(text);
  check<jujube::http::ErrorBody>(text);
  check<jujube::http::DesiredCatalogue>(text);
  check<jujube::catalogue::Edit>(text);
  check<jujube::catalogue::Contents>(text);
  check<jujube::fate::WorkerSync>(text);
  check<jujube::fate::SyncReply>(text);
  check<jujube::fate::FateView>(text);
  check<jujube::routing::RunnerAnnouncement>(text);
  check<jujube::api::FleetStatus>(text);
  check<jujube::api::LiveAnswer>(text);
  return 0;
}
