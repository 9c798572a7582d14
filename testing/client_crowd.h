// Crowds of clients that misuse a server: they hold requests just short of
// their end, send far too much, or do not read the answers.
#ifndef TESTING_CLIENT_CROWD_H_
#define TESTING_CLIENT_CROWD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/name_table.h"
#include "jujube/runtime/file_descriptor.h"

namespace jujube::testing {

// What each client of a crowd sends.
enum class CrowdKind {
  // A body of legal size in one piece, without its last byte.
  HeldBody,
  // The same in small pieces.
  HeldBodyInPieces,
  // The same in chunks, without the last chunk.
  HeldChunks,
  // A body far over the limit, with its length.
  HugeBody,
  // A body far over the limit, in chunks.
  HugeChunks,
  // A whole body of legal size that consists of very short fields.
  ShortFields,
  // A head of legal size that consists of very short fields, without its end.
  ShortHeaders,
  // A path of legal length and a whole request.
  LongPath,
  // Many requests, sent ahead, whose answers are not read.
  SentAhead,
  // Part of a request line.
  HalfLine,
  // Nothing.
  Silent,
};

inline constexpr NameTable<CrowdKind, 11> CrowdKindNames = {{
    {CrowdKind::HeldBody, "held_body"},
    {CrowdKind::HeldBodyInPieces, "held_body_in_pieces"},
    {CrowdKind::HeldChunks, "held_chunks"},
    {CrowdKind::HugeBody, "huge_body"},
    {CrowdKind::HugeChunks, "huge_chunks"},
    {CrowdKind::ShortFields, "short_fields"},
    {CrowdKind::ShortHeaders, "short_headers"},
    {CrowdKind::LongPath, "long_path"},
    {CrowdKind::SentAhead, "sent_ahead"},
    {CrowdKind::HalfLine, "half_line"},
    {CrowdKind::Silent, "silent"},
}};
static_assert(isComplete(CrowdKindNames));

struct CrowdOptions {
  CrowdKind Kind = CrowdKind::HeldBody;
  Address Target;
  std::string Method = "POST";
  std::string Path = "/";
  // Size of a body of legal size.
  std::size_t BodyBytes = 250'000;
  std::size_t Clients = 200;
};

// Open connections. Once run() has returned, everything has been sent that the
// server took; the connections stay open until the crowd is destroyed.
class ClientCrowd {
public:
  explicit ClientCrowd(CrowdOptions options);

  // Connects and sends, a piece for each client in turn, until all have sent
  // their part, were closed by the server, or were not read from for a while.
  void run();

private:
  struct Client {
    runtime::FileDescriptor Socket;
    std::string Head;
    // Parts that are sent after the head, each this many times.
    std::string Part;
    std::size_t Parts = 0;
    std::string Tail;
    // Bytes of Head, Parts and Tail that have been sent.
    std::size_t Sent = 0;

    std::size_t size() const {
      return Head.size() + Part.size() * Parts + Tail.size();
    }
    // The next bytes to send.
    std::string_view next() const;
  };

  Client makeClient() const;
  // Returns false if nothing more can be sent now.
  bool sendSome(Client &client) const;

  CrowdOptions Options;
  std::vector<Client> Clients;
};

} // namespace jujube::testing

#endif // TESTING_CLIENT_CROWD_H_
