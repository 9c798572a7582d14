// Measures the HTTP front end alone: memory per connection that waits in a long
// poll, and processor time per request on a kept-alive connection. Clients are
// plain sockets of this process, so that memory is the server's; processor time
// includes the clients' part.
#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/blocking_counter.h"
#include "absl/synchronization/notification.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"
#include "jujube/http/server.h"
#include "jujube/load/process_watch.h"
#include "jujube/runtime/file_descriptor.h"
#include "jujube/runtime/task.h"

namespace jujube {
namespace {

constexpr std::array<std::size_t, 4> Connections = {50, 150, 300, 600};
constexpr int Requests = 20000;
constexpr double MicrosPerSecond = 1e6;

// A server whose long polls wait until the test lets them go.
class BenchServer {
public:
  Status start() {
    http::ServerOptions options;
    options.Listen = Address{"127.0.0.1", 0};
    options.OnListening = [this](uint16_t port) { Port.set_value(port); };
    Result<runtime::ChildSpec> spec = http::serverTask(
        std::move(options),
        [this](const api::Command &command) { return execute(command); },
        [] { return true; });
    if (!isOk(spec))
      return errorOf(spec);
    auto task =
        runtime::Task::start("http", Clock::monotonic(), valueOf(spec).Body,
                             [](const runtime::TaskExit &) {});
    if (!isOk(task))
      return errorOf(task);
    Running = valueOf(std::move(task));
    Bound = Port.get_future().get();
    return Ok{};
  }

  uint16_t port() const { return Bound; }
  // Expects `n` long polls; returns when all of them wait.
  void expect(std::size_t n) {
    Arrivals = std::make_unique<absl::BlockingCounter>(static_cast<int>(n));
    Release = std::make_unique<absl::Notification>();
  }
  void awaitArrivals() { Arrivals->Wait(); }
  void release() { Release->Notify(); }

private:
  Result<api::Reply> execute(const api::Command &command) {
    if (const auto *submit = std::get_if<api::Submit>(&command))
      return fate::FateView{submit->Request, TeamId("t"), submit->Entry,
                            fate::FateState::Queued};
    Arrivals->DecrementCount();
    Release->WaitForNotification();
    return api::FleetStatus{};
  }

  std::promise<uint16_t> Port;
  uint16_t Bound = 0;
  std::unique_ptr<absl::BlockingCounter> Arrivals;
  std::unique_ptr<absl::Notification> Release;
  std::unique_ptr<runtime::Task> Running;
};

runtime::FileDescriptor connectTo(uint16_t port) {
  runtime::FileDescriptor client(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(port);
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(client.get(), reinterpret_cast<sockaddr *>(&name),
              sizeof(name)) != 0)
    std::perror("connect");
  return client;
}

void sendAll(const runtime::FileDescriptor &client, const std::string &text) {
  if (send(client.get(), text.data(), text.size(), MSG_NOSIGNAL) < 0)
    std::perror("send");
}

// One answer arrives in one piece on loopback: it is sent by one call.
void receiveOne(const runtime::FileDescriptor &client) {
  std::array<char, 4096> answer{};
  if (recv(client.get(), answer.data(), answer.size(), 0) <= 0)
    std::perror("recv");
}

int64_t residentKb() {
  const auto use = load::readUse(getpid());
  return use ? use->ResidentKb : 0;
}

double processorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval &t) {
    return static_cast<double>(t.tv_sec) +
           static_cast<double>(t.tv_usec) / MicrosPerSecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void measureMemory(BenchServer &server, std::size_t n) {
  const int64_t before = residentKb();
  server.expect(n);
  std::vector<runtime::FileDescriptor> clients;
  for (std::size_t i = 0; i < n; ++i) {
    clients.push_back(connectTo(server.port()));
    sendAll(clients.back(), "GET /v1/status HTTP/1.1\r\nHost: bench\r\n\r\n");
  }
  server.awaitArrivals();
  const int64_t after = residentKb();
  server.release();
  for (const runtime::FileDescriptor &client : clients)
    receiveOne(client);
  (void)std::printf("long polls %4zu: %6ld KB more, %5.1f KB each\n", n,
                    static_cast<long>(after - before),
                    static_cast<double>(after - before) /
                        static_cast<double>(n));
}

void measureRequests(const BenchServer &server) {
  const runtime::FileDescriptor client = connectTo(server.port());
  const std::string body = http::toJson(
      http::SubmitBody{RequestId("zone.request"), EntryId("entry"), "payload"});
  const std::string request = absl::StrCat(
      "POST /v1/requests HTTP/1.1\r\nHost: bench\r\nContent-Length: ",
      body.size(), "\r\nAuthorization: Bearer key.secret\r\n\r\n", body);
  const double before = processorSeconds();
  for (int i = 0; i < Requests; ++i) {
    sendAll(client, request);
    receiveOne(client);
  }
  const double used = processorSeconds() - before;
  (void)std::printf("submits %d: %.1f us of processor time each\n", Requests,
                    used * MicrosPerSecond / Requests);
}

int run() {
  BenchServer server;
  if (const Status status = server.start(); !isOk(status)) {
    (void)std::fprintf(stderr, "%s\n", errorOf(status).text().c_str());
    return 1;
  }
  measureRequests(server);
  for (const std::size_t n : Connections)
    measureMemory(server, n);
  return 0;
}

} // namespace
} // namespace jujube

int main() { return jujube::run(); }
