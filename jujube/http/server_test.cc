// Tests the server over loopback with an execute hook of the test.
#include "jujube/http/server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <map>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "httplib.h"
#include "jujube/http/bodies.h"
#include "jujube/http/client.h"
#include "jujube/http/json.h"
#include "jujube/runtime/task.h"

namespace jujube::http {
namespace {

constexpr absl::string_view Submission =
    R"({"request":"pf.a1","entry":"invoices","payload":"march","tasks":2})";

// A server on a free port, stopped at the end of the test.
class TestServer {
public:
  explicit TestServer(api::ExecuteHook execute, ServerOptions options = {}) {
    options.Listen = Address{"127.0.0.1", 0};
    options.OnListening = [this](uint16_t port) { Port.set_value(port); };
    auto spec = serverTask(std::move(options), std::move(execute),
                           [this] { return IsHealthy.load(); });
    BOOST_REQUIRE(isOk(spec));
    auto task =
        runtime::Task::start("http", Clock::monotonic(), valueOf(spec).Body,
                             [this](const runtime::TaskExit &exit) {
                               BOOST_TEST(isOk(exit.Outcome));
                               HasEnded.Notify();
                             });
    BOOST_REQUIRE(isOk(task));
    Running = valueOf(std::move(task));
    BoundPort = Port.get_future().get();
  }

  httplib::Client client() const {
    httplib::Client client("127.0.0.1", BoundPort);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(20);
    return client;
  }
  uint16_t port() const { return BoundPort; }
  void stop() { Running->requestStop(); }
  bool hasEnded() const { return HasEnded.HasBeenNotified(); }
  void waitForEnd() { HasEnded.WaitForNotification(); }
  std::atomic<bool> IsHealthy = true;

private:
  std::promise<uint16_t> Port;
  absl::Notification HasEnded;
  uint16_t BoundPort = 0;
  std::unique_ptr<runtime::Task> Running;
};

api::ExecuteHook neverCalled() {
  return [](const api::Command &) -> Result<api::Reply> {
    BOOST_ERROR("the command should not have been executed");
    return api::Reply(Ok{});
  };
}

ErrorKind kindOf(const httplib::Result &answer) {
  BOOST_REQUIRE(answer);
  const auto body = fromJson<ErrorBody>(answer->body);
  BOOST_REQUIRE(isOk(body));
  BOOST_TEST(!valueOf(body).Problem.Remedy.empty());
  return valueOf(body).Problem.Kind;
}

std::string bodyOf(std::size_t bytes) {
  return absl::StrCat(R"({"request":"pf.a","entry":"e","payload":")",
                      std::string(bytes, 'x'), R"("})");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerTest)

BOOST_AUTO_TEST_CASE(TranslatesACommandAndItsReply) {
  TestServer server([](const api::Command &command) -> Result<api::Reply> {
    const auto &submit = std::get<api::Submit>(command);
    BOOST_TEST(submit.PresentedKey == "k1.secret");
    BOOST_TEST(submit.Payload == "march");
    BOOST_TEST((submit.Tasks == 2U));
    return fate::FateView{submit.Request, TeamId("events"), submit.Entry,
                          fate::FateState::Queued};
  });
  httplib::Client client = server.client();
  client.set_bearer_token_auth("k1.secret");
  const auto answer =
      client.Post("/v1/requests", std::string(Submission), "application/json");
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->status == 200);
  const auto view = fromJson<fate::FateView>(answer->body);
  BOOST_REQUIRE(isOk(view));
  BOOST_TEST((valueOf(view).State == fate::FateState::Queued));
  BOOST_TEST(valueOf(view).Request.str() == "pf.a1");
}

BOOST_AUTO_TEST_CASE(BadInputIsATypedErrorAndNothingIsExecuted) {
  TestServer server(neverCalled());
  httplib::Client client = server.client();
  client.set_keep_alive(true);
  const auto post = [&client](const std::string &path,
                              const std::string &body) {
    return kindOf(client.Post(path, body, "application/json"));
  };
  BOOST_TEST((post("/v1/requests", "{") == ErrorKind::MalformedBody));
  BOOST_TEST((post("/v1/requests", "") == ErrorKind::MalformedBody));
  BOOST_TEST((post("/v1/requests", bodyOf(65537)) == ErrorKind::BodyTooLarge));
  BOOST_TEST((post("/v1/requests", std::string((1 << 20) + 1, ' ')) ==
              ErrorKind::BodyTooLarge));
  BOOST_TEST(
      (post("/v1/requests/a%20b/cancel", "") == ErrorKind::InvalidArgument));
  BOOST_TEST((post("/v1/nothing", "{}") == ErrorKind::NotFound));
  BOOST_TEST((post("/v1/status", "{}") == ErrorKind::NotFound));
  BOOST_TEST((post("/v1/entries/e/call",
                   R"({"request":"a.b","payload":"","timeout_ms":0})") ==
              ErrorKind::InvalidArgument));
  BOOST_TEST((post("/v1/catalogue/edits?dry_run=2", "{}") ==
              ErrorKind::InvalidArgument));
  BOOST_TEST((kindOf(client.Get("/v1/requests/a.b?wait_ms=1e9")) ==
              ErrorKind::InvalidArgument));
  BOOST_TEST((kindOf(client.Get("/" + std::string(4000, 'a'))) ==
              ErrorKind::NotFound));
  BOOST_TEST((kindOf(client.Put("/v1/requests", "{}", "application/json")) ==
              ErrorKind::NotFound));
  client.set_default_headers({{"Authorization", "Basic YTpi"}});
  BOOST_TEST(
      (kindOf(client.Get("/v1/catalogue")) == ErrorKind::Unauthenticated));
}

// Bodies without a declared length and bodies that grow when decompressed must
// not exceed the limit.
BOOST_AUTO_TEST_CASE(ChunkedAndCompressedBodiesAreBounded) {
  TestServer server(neverCalled());
  httplib::Client client = server.client();
  const std::string chunk(1 << 16, ' ');
  const auto chunked = client.Post(
      "/v1/requests",
      [&chunk, sent = 0](std::size_t, httplib::DataSink &sink) mutable {
        if (++sent > 17)
          sink.done();
        else
          sink.write(chunk.data(), chunk.size());
        return true;
      },
      "application/json");
  BOOST_TEST((kindOf(chunked) == ErrorKind::BodyTooLarge));
  client.set_compress(true);
  BOOST_TEST(
      (kindOf(client.Post("/v1/requests", std::string(8 << 20, ' '),
                          "application/json")) == ErrorKind::BodyTooLarge));
}

// A long Range header makes the HTTP library's regular expressions recurse
// deeply.
BOOST_AUTO_TEST_CASE(LongHeadersDoNotOverflowTheStack) {
  TestServer server([](const api::Command &) -> Result<api::Reply> {
    return api::FleetStatus{};
  });
  httplib::Client client = server.client();
  std::string ranges = "bytes=0-1";
  while (ranges.size() < 8000)
    ranges += ",2-3";
  (void)client.Get("/v1/status", {{"Range", ranges}});
  const auto answer = client.Get("/v1/status");
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->status == 200);
}

BOOST_AUTO_TEST_CASE(ErrorsOfCommandsHaveTheirStatus) {
  TestServer server([](const api::Command &command) -> Result<api::Reply> {
    if (std::holds_alternative<api::GetCatalogue>(command))
      return Error{ErrorKind::StaleData, "too old", "retry"};
    throw std::runtime_error("a fault of the hook");
  });
  httplib::Client client = server.client();
  const auto stale = client.Get("/v1/catalogue");
  BOOST_TEST((kindOf(stale) == ErrorKind::StaleData));
  BOOST_TEST(stale->status == 503);
  BOOST_TEST(stale->get_header_value("Retry-After") == "1");
  const auto fault = client.Get("/v1/status");
  BOOST_TEST((kindOf(fault) == ErrorKind::Internal));
  BOOST_TEST(fault->status == 500);
}

BOOST_AUTO_TEST_CASE(StopFinishesRequestsInProgress) {
  absl::Notification hasStarted;
  absl::Notification mayEnd;
  TestServer server([&](const api::Command &) -> Result<api::Reply> {
    hasStarted.Notify();
    mayEnd.WaitForNotification();
    return api::FleetStatus{};
  });
  httplib::Client idle = server.client();
  idle.set_keep_alive(true);
  BOOST_REQUIRE(idle.Get("/healthz"));
  auto pending = std::async(std::launch::async, [&server] {
    return server.client().Get("/v1/status");
  });
  hasStarted.WaitForNotification();
  server.stop();
  // The listening socket is closed at once; the request continues.
  while (server.client().Get("/healthz"))
    std::this_thread::yield();
  BOOST_TEST(!server.hasEnded());
  mayEnd.Notify();
  const httplib::Result answer = pending.get();
  BOOST_REQUIRE(answer);
  BOOST_TEST(answer->status == 200);
  server.waitForEnd();
}

BOOST_AUTO_TEST_CASE(UnhealthyHostFailsHealthChecksAndEndsKeepAlive) {
  TestServer server(neverCalled());
  httplib::Client client = server.client();
  client.set_keep_alive(true);
  const auto healthy = client.Get("/healthz");
  BOOST_REQUIRE(healthy);
  BOOST_TEST(healthy->status == 200);
  BOOST_TEST(healthy->get_header_value("Connection") != "close");
  server.IsHealthy = false;
  const auto leaving = client.Get("/healthz");
  BOOST_TEST((kindOf(leaving) == ErrorKind::Unavailable));
  BOOST_TEST(leaving->status == 503);
  BOOST_TEST(leaving->get_header_value("Connection") == "close");
}

BOOST_AUTO_TEST_CASE(IdleConnectionsEndWhileTheHostIsNotHealthy) {
  TestServer server(neverCalled());
  const runtime::FileDescriptor socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(connect(socket.get(), reinterpret_cast<sockaddr *>(&address),
                        sizeof address) == 0);
  pollfd idle{socket.get(), POLLIN, 0};
  // Longer than the server's sweep period.
  BOOST_TEST(poll(&idle, 1, 1500) == 0);
  server.IsHealthy = false;
  BOOST_REQUIRE(poll(&idle, 1, 5000) == 1);
  char byte = 0;
  BOOST_TEST(recv(socket.get(), &byte, 1, 0) == 0);
}

// The response tells the fate of a live request: not run with a time to retry,
// failed, or unknown.
BOOST_AUTO_TEST_CASE(ResponseReportsTheFateOfALiveRequest) {
  Error fate{ErrorKind::NotRun, "expected to wait 1500 ms", "retry later",
             Duration::millis(1500)};
  TestServer server(
      [&fate](const api::Command &) -> Result<api::Reply> { return fate; });
  httplib::Client client = server.client();
  const auto call = [&client] {
    return client.Post("/v1/entries/desk/call",
                       R"({"request":"pf.a","timeout_ms":1000})",
                       "application/json");
  };
  const auto notRun = call();
  BOOST_TEST((kindOf(notRun) == ErrorKind::NotRun));
  BOOST_TEST(notRun->status == 503);
  BOOST_TEST(notRun->get_header_value("Retry-After") == "2");
  BOOST_TEST(notRun->body.find(R"("retry_after_ms":1500)") !=
             std::string::npos);
  fate = {ErrorKind::RunFailed, "runner r1 failed", "check the request"};
  const auto failed = call();
  BOOST_TEST((kindOf(failed) == ErrorKind::RunFailed));
  BOOST_TEST(failed->status == 502);
  BOOST_TEST(!failed->has_header("Retry-After"));
  fate = {ErrorKind::OutcomeUnknown, "not known", "ask for the fate of pf.a"};
  const auto unknown = call();
  BOOST_TEST((kindOf(unknown) == ErrorKind::OutcomeUnknown));
  BOOST_TEST(unknown->status == 504);
  BOOST_TEST(!unknown->has_header("Retry-After"));
  BOOST_TEST(unknown->body.find("retry_after_ms") == std::string::npos);
}

// Idle connections beyond both limits do not prevent new connections.
BOOST_AUTO_TEST_CASE(NewConnectionsReplaceIdleConnections) {
  ServerOptions options;
  options.MaxConnections = 3;
  options.MaxRequests = 2;
  TestServer server(neverCalled(), options);
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (int i = 0; i < 6; ++i) {
    auto &client = clients.emplace_back(
        std::make_unique<httplib::Client>("127.0.0.1", server.port()));
    client->set_keep_alive(true);
    const auto answer = client->Get("/healthz");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 200);
  }
}

// Idle connections must not use processor time.
BOOST_AUTO_TEST_CASE(IdleConnectionsDoNotSpin) {
  TestServer server(neverCalled());
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (int i = 0; i < 50; ++i) {
    auto &client = clients.emplace_back(
        std::make_unique<httplib::Client>("127.0.0.1", server.port()));
    client->set_keep_alive(true);
    BOOST_REQUIRE(client->Get("/healthz"));
  }
  const auto switches = [] {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_nvcsw;
  };
  // Threads return their connections to the task shortly after the response.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const auto before = switches();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  // Threads that poll would each wake about twenty times in this period.
  BOOST_TEST(switches() - before < 20);
}

// A self-signed certificate for 127.0.0.1, removed at the end of the test.
class TestCertificate {
public:
  TestCertificate() {
    std::string name =
        (std::filesystem::temp_directory_path() / "jujube_tls_XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    Folder = name;
    BOOST_REQUIRE(
        std::system(absl::StrCat("openssl req -x509 -newkey rsa:2048 -nodes "
                                 "-days 2 -subj /CN=127.0.0.1 -addext "
                                 "subjectAltName=IP:127.0.0.1 -keyout ",
                                 key(), " -out ", chain(), " 2>/dev/null")
                        .c_str()) == 0);
  }
  ~TestCertificate() { std::filesystem::remove_all(Folder); }
  std::string chain() const { return Folder / "cert.pem"; }
  std::string key() const { return Folder / "key.pem"; }

private:
  std::filesystem::path Folder;
};

Result<api::Reply> emptyStatus(const api::Command & /*command*/) {
  return api::FleetStatus{};
}

BOOST_AUTO_TEST_CASE(ServesTls) {
  const TestCertificate files;
  const std::string certificate = files.chain();
  const std::string key = files.key();
  ServerOptions options;
  options.Tls = TlsFiles{certificate, key};
  TestServer server(emptyStatus, options);
  httplib::SSLClient verifying("127.0.0.1", server.port());
  verifying.set_ca_cert_path(certificate.c_str());
  verifying.enable_server_certificate_verification(true);
  verifying.set_keep_alive(true);
  for (int i = 0; i < 3; ++i) {
    const auto answer = verifying.Get("/v1/status");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->status == 200);
  }
  httplib::SSLClient withoutAuthority("127.0.0.1", server.port());
  withoutAuthority.enable_server_certificate_verification(true);
  BOOST_TEST(!withoutAuthority.Get("/v1/status"));
  ServerOptions broken;
  broken.Listen = Address{"127.0.0.1", 0};
  broken.Tls = TlsFiles{certificate, certificate};
  for (const auto &[mode, remedy] : std::map<int, std::string>{
           {0644, "run: chmod 600 " + certificate},
           {0600, "a private key that matches the certificate"}}) {
    std::filesystem::permissions(certificate, std::filesystem::perms(mode));
    const auto refused = serverTask(broken, neverCalled(), [] { return true; });
    BOOST_REQUIRE(!isOk(refused));
    BOOST_TEST(absl::StrContains(errorOf(refused).Message, certificate));
    BOOST_TEST(absl::StrContains(errorOf(refused).Remedy, remedy));
  }
}

BOOST_AUTO_TEST_CASE(ClientTrustsOnlyItsAuthority) {
  const TestCertificate files;
  const TestCertificate others;
  ServerOptions options;
  options.Tls = TlsFiles{files.chain(), files.key()};
  TestServer server(emptyStatus, options);
  const Address address{"127.0.0.1", server.port()};
  const HttpCall call{Method::Get, "/v1/status"};
  const TransportHook verifying = makeTransport(files.chain());
  for (int i = 0; i < 2; ++i) {
    const TransportOutcome outcome = verifying(address, call);
    BOOST_REQUIRE(std::holds_alternative<HttpResult>(outcome));
    BOOST_TEST(std::get<HttpResult>(outcome).Status == 200);
  }
  for (const std::string &authority :
       {others.chain(), files.chain() + ".missing"}) {
    const TransportOutcome outcome = makeTransport(authority)(address, call);
    BOOST_REQUIRE(std::holds_alternative<TransportFailure>(outcome));
    BOOST_TEST(
        (std::get<TransportFailure>(outcome) == TransportFailure::NotTrusted));
  }
  BOOST_TEST(std::holds_alternative<TransportFailure>(
      makeTransport("")(address, call)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::http
