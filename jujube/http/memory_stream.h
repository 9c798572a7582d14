// A stream over memory, with which the HTTP library parses an assembled request
// and writes its response.
#ifndef JUJUBE_HTTP_MEMORY_STREAM_H_
#define JUJUBE_HTTP_MEMORY_STREAM_H_

#include <algorithm>
#include <cstring>
#include <string>
#include <string_view>

#include "httplib.h"

namespace jujube::http {

// `input` and `output` outlive the stream.
class MemoryStream : public httplib::Stream {
public:
  MemoryStream(std::string_view input, std::string &output)
      : Input(input), Output(output) {}

  bool is_readable() const override { return !Input.empty(); }
  bool is_writable() const override { return true; }
  ssize_t read(char *ptr, size_t size) override {
    const std::size_t n = std::min(size, Input.size());
    std::memcpy(ptr, Input.data(), n);
    Input.remove_prefix(n);
    return static_cast<ssize_t>(n);
  }
  ssize_t write(const char *ptr, size_t size) override {
    Output.append(ptr, size);
    return static_cast<ssize_t>(size);
  }
  // Handlers do not ask for the peer.
  void get_remote_ip_and_port(std::string &ip, int &port) const override {
    ip.clear();
    port = 0;
  }
  void get_local_ip_and_port(std::string &ip, int &port) const override {
    ip.clear();
    port = 0;
  }
  socket_t socket() const override { return INVALID_SOCKET; }

private:
  std::string_view Input;
  std::string &Output;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_MEMORY_STREAM_H_
