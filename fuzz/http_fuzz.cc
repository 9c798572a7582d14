// Fuzzes the HTTP server with arbitrary bytes from one connection: the parser
// with the bytes as they are, and the assembler with the bytes in pieces.
// Aborts if a submitted payload exceeds its size limit, or an assembled request
// its own.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>

#include "jujube/http/request_assembler.h"
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

void assemble(const uint8_t *data, size_t size) {
  const std::string_view input(reinterpret_cast<const char *>(data), size);
  constexpr std::size_t MaxHead = 1024;
  // Pieces of any length, depending on the input.
  const std::size_t piece = size == 0 ? 1 : 1 + data[size - 1] % 64;
  jujube::http::RequestAssembler assembler({MaxHead, MaxBody});
  for (std::size_t at = 0; at < input.size();) {
    const std::size_t n = assembler.feed(input.substr(at, piece));
    at += n;
    if (assembler.state() == jujube::http::AssemblyState::Refused)
      return;
    if (assembler.state() != jujube::http::AssemblyState::Complete)
      continue;
    const jujube::http::AssembledRequest request = assembler.take();
    // The length that is added to the head.
    constexpr std::size_t LengthField = 64;
    if (request.Body.size() > MaxBody ||
        request.Head.size() > MaxHead + LengthField)
      std::abort();
    const std::string whole = request.Head + request.Body;
    MemoryStream stream(reinterpret_cast<const uint8_t *>(whole.data()),
                        whole.size());
    (void)processor().process(stream);
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  assemble(data, size);
  MemoryStream stream(data, size);
  int served = 0;
  while (stream.is_readable() && served < MaxRequests &&
         processor().process(stream) == Disposition::Reuse)
    ++served;
  return 0;
}
