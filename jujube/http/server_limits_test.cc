// Tests what a server does at its limits and while it stops, over loopback.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "jujube/http/exchange_server.h"
#include "jujube/runtime/file_descriptor.h"
#include "jujube/runtime/task.h"

namespace jujube::http {
namespace {

// Larger than the buffers of a connection.
constexpr std::size_t LargeBytes = 8'000'000;
// Longer than the server waits for slow clients while it stops.
constexpr std::chrono::seconds StopPatience(14);

void pause(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// A server on a free port, stopped at the end of the test.
class Door {
public:
  Door(ServerOptions options, RawRequestHook answer) {
    std::promise<uint16_t> bound;
    options.Listen = {"127.0.0.1", 0};
    options.OnListening = [&bound](uint16_t port) { bound.set_value(port); };
    auto spec = exchangeServerTask("door", std::move(options),
                                   std::move(answer), [] { return true; });
    Running = valueOf(runtime::Task::start("door", Clock::monotonic(),
                                           valueOf(std::move(spec)).Body,
                                           [](const runtime::TaskExit &) {}));
    Port = bound.get_future().get();
  }
  ~Door() {
    Running->requestStop();
    Running->join();
  }

  void stop() { Running->requestStop(); }
  uint16_t port() const { return Port; }

private:
  std::unique_ptr<runtime::Task> Running;
  uint16_t Port = 0;
};

// A connection that sends and reads bytes; a read waits for 5 s at most.
class Peer {
public:
  explicit Peer(const Door &door)
      : Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(door.port());
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(Socket.get(), reinterpret_cast<sockaddr *>(&name),
                          sizeof(name)) == 0);
    const timeval most{5, 0};
    (void)setsockopt(Socket.get(), SOL_SOCKET, SO_RCVTIMEO, &most,
                     sizeof(most));
  }

  bool say(const std::string &text) const {
    return ::send(Socket.get(), text.data(), text.size(), MSG_NOSIGNAL) >= 0;
  }
  // Reads until the server closes the connection.
  std::string hear() const {
    std::string all;
    char buffer[4096];
    for (ssize_t n = 1; n > 0; all.append(buffer, n > 0 ? n : 0))
      n = recv(Socket.get(), buffer, sizeof(buffer), 0);
    return all;
  }
  void readSome(std::size_t bytes) const {
    std::vector<char> buffer(bytes);
    (void)recv(Socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  }
  void end() const { (void)shutdown(Socket.get(), SHUT_RDWR); }

private:
  runtime::FileDescriptor Socket;
};

std::string get(const std::string &path) {
  return absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: h\r\n\r\n");
}

// A request with a body of which `sent` bytes are sent.
std::string put(std::size_t length, std::size_t sent) {
  return absl::StrCat("PUT /b HTTP/1.1\r\nConnection: close\r\n"
                      "Content-Length: ",
                      length, "\r\n\r\n", std::string(sent, ' '));
}

RawResponse empty(const RawRequest &) { return {200, "{}"}; }

// A hook that holds requests for "/slow" until they are released.
struct Gate {
  absl::Notification Begun;
  absl::Notification MayEnd;
  std::atomic<int> Served = 0;

  RawRequestHook hook() {
    return [this](const RawRequest &request) {
      ++Served;
      if (request.Path == "/slow") {
        Begun.Notify();
        MayEnd.WaitForNotification();
      }
      return RawResponse{200, "{}"};
    };
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLimitsTest)

// Guards against answers that are dropped to make room for waiting requests.
BOOST_AUTO_TEST_CASE(AnswerOfARequestThatHasRunArrivesWhileOthersWait) {
  Gate gate;
  ServerOptions options;
  options.MaxBufferedBytes = std::size_t{1} << 20;
  options.MaxWorkBytes = std::size_t{64} << 10;
  const Door door(options, gate.hook());
  const Peer slow(door);
  slow.say("GET /slow HTTP/1.1\r\nConnection: close\r\n\r\n");
  gate.Begun.WaitForNotification();
  std::vector<std::unique_ptr<Peer>> others;
  for (int i = 0; i < 150; ++i) {
    others.push_back(std::make_unique<Peer>(door));
    others.back()->say(put(12'000, 12'000));
  }
  pause(300);
  gate.MayEnd.Notify();
  BOOST_TEST(absl::StartsWith(slow.hear(), "HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(SmallIncompleteRequestOutlivesLargeOnes) {
  ServerOptions options;
  options.MaxBufferedBytes = std::size_t{1} << 20;
  const Door door(options, empty);
  const Peer small(door);
  small.say(put(5, 3));
  pause(50);
  std::vector<std::unique_ptr<Peer>> others;
  for (int i = 0; i < 20; ++i) {
    others.push_back(std::make_unique<Peer>(door));
    others.back()->say(put(100'000, 99'999));
  }
  pause(300);
  small.say("  ");
  BOOST_TEST(absl::StartsWith(small.hear(), "HTTP/1.1 200"));
}

// The body of a waiting request is bounded, and its sender is told.
BOOST_AUTO_TEST_CASE(RequestThatWaitsTooLongIsRefusedAsNotRun) {
  Gate gate;
  ServerOptions options;
  options.MaxWorkBytes = 1;
  options.ReadyTimeout = Duration::millis(100);
  const Door door(options, gate.hook());
  const Peer slow(door);
  slow.say(get("/slow"));
  gate.Begun.WaitForNotification();
  const Peer other(door);
  other.say(put(3, 3));
  const std::string answer = other.hear();
  BOOST_TEST(absl::StartsWith(answer, "HTTP/1.1 503"));
  BOOST_TEST(absl::StrContains(answer, "Retry-After: "));
  BOOST_TEST(gate.Served == 1);
  gate.MayEnd.Notify();
}

BOOST_AUTO_TEST_CASE(FieldsHiddenBehindALineFeedAreRefused) {
  const Door door({}, empty);
  std::string range = "bytes=1-1";
  while (range.size() < 8000)
    range += ",1-1";
  const Peer peer(door);
  peer.say(absl::StrCat("GET / HTTP/1.1\r\nA: b\nRange: ", range, "\r\n\r\n"));
  BOOST_TEST(absl::StartsWith(peer.hear(), "HTTP/1.1 400"));
}

BOOST_AUTO_TEST_CASE(UnreadAnswersStopTheClientThatSendsAhead) {
  std::atomic<int> served = 0;
  const std::string large(LargeBytes, 'x');
  const Door door({}, [&](const RawRequest &) {
    ++served;
    return RawResponse{200, large};
  });
  const Peer peer(door);
  for (int i = 0; i < 10; ++i)
    peer.say(get("/config"));
  pause(500);
  BOOST_TEST(served == 1);
}

// The responses of requests in progress count, too.
BOOST_AUTO_TEST_CASE(LargeResponsesAreMadeOneAfterAnother) {
  std::atomic<int> running = 0;
  std::atomic<int> most = 0;
  ServerOptions options;
  options.MaxWorkBytes = std::size_t{16} << 20;
  options.ResponseBytes = [](std::string_view) { return std::size_t{3} << 20; };
  const Door door(options, [&](const RawRequest &) {
    const int now = ++running;
    int before = most;
    while (before < now && !most.compare_exchange_weak(before, now))
      continue;
    pause(20);
    --running;
    return RawResponse{200, "{}"};
  });
  std::vector<std::unique_ptr<Peer>> peers;
  for (int i = 0; i < 10; ++i) {
    peers.push_back(std::make_unique<Peer>(door));
    peers.back()->say("GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
  }
  for (const auto &peer : peers)
    BOOST_TEST(absl::StartsWith(peer->hear(), "HTTP/1.1 200"));
  BOOST_TEST(most == 1);
}

BOOST_AUTO_TEST_CASE(RequestThatWasSentAheadIsServedWhileTheServerStops) {
  Gate gate;
  Door door({}, gate.hook());
  const Peer peer(door);
  peer.say(get("/slow") + get("/b"));
  gate.Begun.WaitForNotification();
  door.stop();
  pause(100);
  gate.MayEnd.Notify();
  (void)peer.hear();
  BOOST_TEST(gate.Served == 2);
}

BOOST_AUTO_TEST_CASE(ClientThatSendsAheadDoesNotKeepAServerFromStopping) {
  auto door = std::make_unique<Door>(ServerOptions{}, empty);
  const Peer peer(*door);
  std::thread sender([&] {
    std::string many;
    for (int i = 0; i < 200; ++i)
      many += get("/b");
    while (peer.say(many))
      continue;
  });
  std::thread reader([&] { (void)peer.hear(); });
  pause(300);
  auto ended = std::async(std::launch::async, [&] { door.reset(); });
  BOOST_TEST((ended.wait_for(StopPatience) == std::future_status::ready));
  peer.end();
  sender.join();
  reader.join();
}

BOOST_AUTO_TEST_CASE(ReaderThatTakesLittleDoesNotKeepAServerFromStopping) {
  const std::string large(LargeBytes, 'x');
  auto door = std::make_unique<Door>(ServerOptions{}, [&](const RawRequest &) {
    return RawResponse{200, large};
  });
  const Peer peer(*door);
  peer.say(get("/config"));
  pause(300);
  std::atomic<bool> isOver = false;
  std::thread reader([&] {
    while (!isOver) {
      peer.readSome(20'000);
      pause(500);
    }
  });
  auto ended = std::async(std::launch::async, [&] { door.reset(); });
  BOOST_TEST((ended.wait_for(StopPatience) == std::future_status::ready));
  isOver = true;
  peer.end();
  reader.join();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::http
