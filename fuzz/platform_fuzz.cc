// Fuzzes the decoders of the platform's messages. The first byte of the input
// selects the decoder.
#include <cstddef>
#include <cstdint>
#include <string>

#include "platform/control_calls.h"
#include "platform/job_calls.h"
#include "platform/worker_calls.h"

namespace {

using namespace jujube; // NOLINT(google-build-using-namespace)

void decodeOrder(const std::string &body, const dispatch::Order &order) {
  const control::WorkerProtocolCodec protocol = platform::workerProtocol();
  for (const int status : {200, 409, 421})
    (void)protocol.Decode(order, http::OutboundResponse{status, body});
}

void decodeCall(const char *method, const std::string &path,
                const std::string &body) {
  const http::RawRequest exchange{
      method, path, body, [](const std::string &) { return std::string("x"); }};
  (void)platform::decodeClientCall(exchange);
  (void)platform::decodeControlCall(exchange);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  if (size == 0)
    return 0;
  const std::string body(reinterpret_cast<const char *>(data) + 1, size - 1);
  switch (data[0]) {
  case 'j':
    decodeCall("POST", "/p/5c0e7a21d94b36f8", body);
    break;
  case 'c':
    decodeCall("PUT", "/config", body);
    break;
  case 'b':
    decodeCall("PUT", "/instances/i-1", body);
    break;
  case 'o':
    decodeOrder(body, {WorkerId("w"), {}, dispatch::StartOrder{}});
    decodeOrder(body, {WorkerId("w"), {}, dispatch::LeaseOrder{}});
    break;
  case 'a':
    (void)platform::approvalProtocol({}).Decode(
        http::OutboundResponse{200, body});
    break;
  case 't':
    (void)platform::decodeTask(body);
    break;
  default:
    decodeCall("GET", body, "");
  }
  return 0;
}
