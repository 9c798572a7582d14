// Fuzzes the HTTP server with arbitrary bytes from one connection. Aborts if a
// submitted payload exceeds its size limit.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>

#include "jujube/http/request_processor.h"

namespace {

using jujube::http::Disposition;
using jujube::http::RequestProcessor;

constexpr std::size_t MaxBody = 4096;
constexpr std::size_t MaxPayload = 512;
constexpr int MaxRequests = 16;

// In-memory connection whose peer has sent `Input` and then closed. Writes are
// discarded.
class MemoryStream : public httplib::Stream {
public:
  MemoryStream(const uint8_t *data, size_t size)
      : Input(reinterpret_cast<const char *>(data), size) {}

  bool is_readable() const override { return Offset < Input.size(); }
  bool is_writable() const override { return true; }
  ssize_t read(char *ptr, size_t size) override {
    const std::size_t n = std::min(size, Input.size() - Offset);
    std::memcpy(ptr, Input.data() + Offset, n);
    Offset += n;
    return static_cast<ssize_t>(n);
  }
  ssize_t write(const char * /*ptr*/, size_t size) override {
    return static_cast<ssize_t>(size);
  }
  void get_remote_ip_and_port(std::string &ip, int &port) const override {
    ip = "127.0.0.1";
    port = 1;
  }
  void get_local_ip_and_port(std::string &ip, int &port) const override {
    ip = "127.0.0.1";
    port = 2;
  }
  socket_t socket() const override { return -1; }

private:
  std::string Input;
  std::size_t Offset = 0;
};

jujube::Result<jujube::api::Reply>
execute(const jujube::api::Command &command) {
  if (const auto *submit = std::get_if<jujube::api::Submit>(&command);
      submit && submit->Payload.size() > MaxPayload)
    std::abort();
  return jujube::Error{jujube::ErrorKind::NotFound, "nothing", "none"};
}

RequestProcessor &processor() {
  static auto *shared = new RequestProcessor(
      {{MaxPayload}, MaxBody, jujube::Duration::seconds(1), execute, [] {
         return true;
       }});
  return *shared;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  MemoryStream stream(data, size);
  int served = 0;
  while (stream.is_readable() && served < MaxRequests &&
         processor().process(stream) == Disposition::Reuse)
    ++served;
  return 0;
}
