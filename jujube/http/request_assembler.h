// Collects the bytes of one HTTP/1.1 request until it is complete, so that a
// request occupies a thread only once all of it has arrived. Knows framing
// only: the HTTP library parses the assembled request.
#ifndef JUJUBE_HTTP_REQUEST_ASSEMBLER_H_
#define JUJUBE_HTTP_REQUEST_ASSEMBLER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "jujube/base/name_table.h"
#include "jujube/base/result.h"

namespace jujube::http {

enum class AssemblyState {
  // No byte of a request has arrived.
  Empty,
  Head,
  Body,
  Complete,
  // The request exceeds a limit or is not well-formed; see refusal().
  Refused,
};

inline constexpr NameTable<AssemblyState, 5> AssemblyStateNames = {{
    {AssemblyState::Empty, "empty"},
    {AssemblyState::Head, "head"},
    {AssemblyState::Body, "body"},
    {AssemblyState::Complete, "complete"},
    {AssemblyState::Refused, "refused"},
}};
static_assert(isComplete(AssemblyStateNames));

// A request whose body is framed by its length. Head fields that only concern
// the transfer, and those that the interface does not offer, are left out.
struct AssembledRequest {
  // The request line and the fields, with the empty line at the end.
  std::string Head;
  std::string Body;

  std::size_t size() const { return Head.size() + Body.size(); }
};

// Not thread-safe. Reusable after take().
class RequestAssembler {
public:
  struct Limits {
    std::size_t MaxHead = std::size_t{32} << 10;
    std::size_t MaxBody = std::size_t{1} << 20;
  };

  explicit RequestAssembler(Limits limits) : Most(limits) {}

  // Takes bytes up to the end of the request; returns how many. Takes none
  // while the state is Complete or Refused.
  std::size_t feed(std::string_view input);

  AssemblyState state() const { return State; }
  // Precondition: the state is Refused.
  const Error &refusal() const { return *Problem; }
  // True once for each request whose sender waits for an interim response
  // before it sends the body.
  bool takeExpectation();
  // Returns the request and starts anew. Precondition: the state is Complete.
  AssembledRequest take();
  // True if the body is encoded, so that it may be larger than it was sent.
  bool isEncoded() const { return IsEncoded; }
  std::size_t size() const { return Head.size() + Body.size(); }
  // The start of the request. Precondition: the state is Complete.
  std::string_view head() const { return Head; }
  // The memory that the request occupies.
  std::size_t heldBytes() const { return Head.capacity() + Body.capacity(); }

private:
  enum class Framing { None, Length, Chunked };
  // The part of a chunked body that is read next.
  enum class ChunkPart { Size, Data, DataEnd, Trailer };

  std::size_t feedHead(std::string_view input);
  std::size_t feedBody(std::string_view input);
  std::size_t feedChunk(std::string_view input);
  // Takes bytes of a line of the chunked framing; calls endLine() at its end.
  std::size_t feedLine(std::string_view input);
  void endLine();
  void beginChunk();
  // Reads the complete head; decides the framing of the body.
  void endHead();
  // Notes a field that concerns the transfer; returns false if it is to be left
  // out of the assembled head.
  bool noteField(std::string_view name, std::string_view value);
  void noteLength(std::string_view value);
  void refuse(ErrorKind kind, std::string message, std::string remedy);

  Limits Most;
  AssemblyState State = AssemblyState::Empty;
  std::optional<Error> Problem;
  std::string Head;
  std::string Body;
  Framing BodyFraming = Framing::None;
  bool HasExpectation = false;
  bool IsEncoded = false;
  // Bytes of the body, or of the chunk, that are still to come.
  std::size_t Left = 0;
  ChunkPart Part = ChunkPart::Size;
  std::string Line;
  std::size_t TrailerBytes = 0;
};

} // namespace jujube::http

#endif // JUJUBE_HTTP_REQUEST_ASSEMBLER_H_
