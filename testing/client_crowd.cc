#include "testing/client_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::testing {
namespace {

// Sent at a time, so that all clients of a crowd make progress together.
constexpr std::size_t PieceBytes = std::size_t{16} << 10;
constexpr std::size_t SmallPieceBytes = 1000;
// Bytes of a body far over every limit.
constexpr std::size_t HugeBytes = std::size_t{16} << 20;
constexpr std::size_t HeadBytes = 16'000;
constexpr std::size_t PathBytes = 7'000;
constexpr std::size_t RequestsAhead = 2'000;
// How long the server may take nothing from any client before a crowd is
// complete.
constexpr int StallMillis = 700;

std::string repeated(std::string_view part, std::size_t bytes) {
  std::string text;
  while (text.size() + part.size() <= bytes)
    text += part;
  return text;
}

std::string chunk(std::size_t bytes) {
  return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, ' '),
                      "\r\n");
}

} // namespace

std::string_view ClientCrowd::Client::next() const {
  const auto after = [](std::string_view text, std::size_t n) {
    return text.substr(n);
  };
  if (Sent < Head.size())
    return after(Head, Sent);
  const std::size_t inParts = Sent - Head.size();
  if (inParts < Part.size() * Parts)
    return after(Part, inParts % Part.size());
  return after(Tail, inParts - Part.size() * Parts);
}

ClientCrowd::ClientCrowd(CrowdOptions options) : Options(std::move(options)) {}

ClientCrowd::Client ClientCrowd::makeClient() const {
  Client client;
  const std::string line = absl::StrCat(Options.Method, " ", Options.Path,
                                        " HTTP/1.1\r\nHost: a.example\r\n");
  const auto withLength = [&](std::size_t n) {
    return absl::StrCat(line, "Content-Length: ", n, "\r\n\r\n");
  };
  const std::string chunked =
      absl::StrCat(line, "Transfer-Encoding: chunked\r\n\r\n");
  const std::size_t body = Options.BodyBytes;
  switch (Options.Kind) {
  case CrowdKind::HeldBody:
  case CrowdKind::HeldBodyInPieces:
    client.Head = withLength(body);
    client.Part = std::string(body - 1, ' ');
    client.Parts = 1;
    break;
  case CrowdKind::HeldChunks:
    client.Head = chunked;
    client.Part = chunk(1000);
    client.Parts = body / 1000;
    break;
  case CrowdKind::HugeBody:
    client.Head = withLength(HugeBytes);
    client.Part = std::string(PieceBytes, ' ');
    client.Parts = HugeBytes / PieceBytes;
    break;
  case CrowdKind::HugeChunks:
    client.Head = chunked;
    client.Part = chunk(PieceBytes);
    client.Parts = HugeBytes / PieceBytes;
    break;
  case CrowdKind::ShortFields: {
    const std::string start = R"({"spec":"","phases":[{})";
    client.Head = withLength(body);
    client.Part = start + repeated(",{}", body - start.size() - 2);
    client.Part += std::string(body - client.Part.size() - 2, ' ');
    client.Parts = 1;
    client.Tail = "]}";
    break;
  }
  case CrowdKind::ShortHeaders:
    client.Head = line;
    client.Part = repeated("a:b\r\n", HeadBytes);
    client.Parts = 1;
    break;
  case CrowdKind::LongPath:
    client.Head = absl::StrCat(Options.Method, " ", Options.Path,
                               std::string(PathBytes, 'a'),
                               " HTTP/1.1\r\nHost: a.example\r\n"
                               "Content-Length: 0\r\n\r\n");
    break;
  case CrowdKind::SentAhead:
    client.Part = absl::StrCat("GET ", Options.Path,
                               " HTTP/1.1\r\nHost: a.example\r\n\r\n");
    client.Parts = RequestsAhead;
    break;
  case CrowdKind::HalfLine:
    client.Head = absl::StrCat(Options.Method, " ", Options.Path);
    break;
  case CrowdKind::Silent:
    break;
  }
  client.Socket =
      runtime::FileDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  // A client that does not read is noticed by the server only once the buffers
  // between them are full.
  const int buffer = 4096;
  (void)setsockopt(client.Socket.get(), SOL_SOCKET, SO_RCVBUF, &buffer,
                   sizeof(buffer));
  return client;
}

bool ClientCrowd::sendSome(Client &client) const {
  const std::size_t most = Options.Kind == CrowdKind::HeldBodyInPieces
                               ? SmallPieceBytes
                               : PieceBytes;
  const std::string_view rest = client.next().substr(0, most);
  if (rest.empty() || !client.Socket.isOpen())
    return false;
  const ssize_t n = send(client.Socket.get(), rest.data(), rest.size(),
                         MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n > 0) {
    client.Sent += static_cast<std::size_t>(n);
    return true;
  }
  if (errno != EAGAIN && errno != EINTR)
    client.Socket = runtime::FileDescriptor();
  return false;
}

void ClientCrowd::run() {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(Options.Target.Port);
  inet_pton(AF_INET, Options.Target.Ip.c_str(), &name.sin_addr);
  for (std::size_t i = 0; i < Options.Clients; ++i) {
    Client client = makeClient();
    if (connect(client.Socket.get(), reinterpret_cast<sockaddr *>(&name),
                sizeof(name)) == 0)
      Clients.push_back(std::move(client));
  }
  int stalled = 0;
  const auto isOpen = [](const Client &client) {
    return client.Socket.isOpen() && client.Sent < client.size();
  };
  while (stalled < StallMillis && std::ranges::any_of(Clients, isOpen)) {
    const auto sent = std::ranges::count_if(
        Clients, [this](Client &client) { return sendSome(client); });
    constexpr int PauseMillis = 10;
    stalled = sent > 0 ? 0 : stalled + PauseMillis;
    if (sent == 0)
      (void)poll(nullptr, 0, PauseMillis);
  }
}

} // namespace jujube::testing
