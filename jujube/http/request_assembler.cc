#include "jujube/http/request_assembler.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace jujube::http {
namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
// The size of a chunk with its extensions.
constexpr std::size_t MaxChunkLine = 256;

// Fields that the interface does not offer. The library's regular expressions
// recurse once per character of a range.
constexpr std::array<std::string_view, 5> UnusedFields = {
    "range", "if-range", "accept-encoding", "trailer", "te"};

absl::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view trimmed(std::string_view text) {
  const absl::string_view inner = absl::StripAsciiWhitespace(view(text));
  return {inner.data(), inner.size()};
}

bool isField(std::string_view name, std::string_view known) {
  return absl::EqualsIgnoreCase(view(name), view(known));
}

// The library also ends lines at a line feed alone, so that a field could be
// hidden from the checks here. Folded fields and names with blanks are read in
// different ways, too.
bool isWellFormed(std::string_view line, bool isRequestLine) {
  constexpr std::string_view Stray("\r\n\0", 3);
  if (line.find_first_of(Stray) != std::string_view::npos)
    return false;
  if (isRequestLine || line.empty())
    return true;
  const std::size_t colon = line.find(':');
  return colon != std::string_view::npos && colon > 0 &&
         line.substr(0, colon).find_first_of(" \t\v\f") ==
             std::string_view::npos;
}

} // namespace

std::size_t RequestAssembler::feed(std::string_view input) {
  std::size_t taken = 0;
  while (taken < input.size() && State != AssemblyState::Complete &&
         State != AssemblyState::Refused) {
    const std::string_view rest = input.substr(taken);
    taken += State == AssemblyState::Body ? feedBody(rest) : feedHead(rest);
  }
  return taken;
}

std::size_t RequestAssembler::feedHead(std::string_view input) {
  // Empty lines before a request are ignored.
  if (Head.empty() && (input.front() == '\r' || input.front() == '\n'))
    return 1;
  State = AssemblyState::Head;
  const std::size_t before = Head.size();
  const std::size_t n = std::min(input.size(), Most.MaxHead + 1 - before);
  Head.append(input.substr(0, n));
  const std::size_t searched = before < HeadEnd.size() ? 0 : before - 3;
  const std::size_t end = Head.find(HeadEnd, searched);
  if (end == std::string::npos) {
    if (Head.size() > Most.MaxHead)
      refuse(ErrorKind::InvalidArgument, "the head of the request is too large",
             absl::StrCat("send at most ", Most.MaxHead, " bytes"));
    return n;
  }
  Head.resize(end + HeadEnd.size());
  const std::size_t taken = Head.size() - before;
  endHead();
  return taken;
}

void RequestAssembler::endHead() {
  std::string kept;
  kept.reserve(Head.size());
  std::string_view rest(Head);
  bool isFirst = true;
  while (!rest.empty() && State != AssemblyState::Refused) {
    const std::size_t end = rest.find(LineEnd);
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + LineEnd.size());
    const std::size_t colon = line.find(':');
    if (!isWellFormed(line, isFirst))
      refuse(ErrorKind::InvalidArgument, "a field is not well-formed",
             "send NAME: VALUE, and end each line with CR LF");
    else if (isFirst || colon == std::string_view::npos ||
             noteField(trimmed(line.substr(0, colon)),
                       trimmed(line.substr(colon + 1))))
      absl::StrAppend(&kept, view(line), view(LineEnd));
    isFirst = false;
  }
  Head = std::move(kept);
  if (State == AssemblyState::Refused)
    return;
  const bool hasBody = BodyFraming == Framing::Chunked || Left > 0;
  State = hasBody ? AssemblyState::Body : AssemblyState::Complete;
}

bool RequestAssembler::noteField(std::string_view name,
                                 std::string_view value) {
  if (isField(name, "content-length")) {
    noteLength(value);
    return false;
  }
  if (isField(name, "transfer-encoding")) {
    if (!isField(value, "chunked") || BodyFraming != Framing::None)
      refuse(ErrorKind::InvalidArgument, "the framing of the body is unclear",
             "send a Content-Length, or Transfer-Encoding: chunked alone");
    BodyFraming = Framing::Chunked;
    return false;
  }
  if (isField(name, "content-encoding"))
    IsEncoded = !isField(value, "identity");
  if (isField(name, "expect")) {
    HasExpectation = isField(value, "100-continue");
    return false;
  }
  return std::ranges::none_of(UnusedFields, [name](std::string_view unused) {
    return isField(name, unused);
  });
}

void RequestAssembler::noteLength(std::string_view value) {
  uint64_t length = 0;
  const bool isRepeated = BodyFraming == Framing::Length;
  const bool isNumber = !value.empty() &&
                        std::ranges::all_of(value, absl::ascii_isdigit) &&
                        absl::SimpleAtoi(view(value), &length);
  if (!isNumber || BodyFraming == Framing::Chunked ||
      (isRepeated && length != Left)) {
    refuse(ErrorKind::InvalidArgument, "the framing of the body is unclear",
           "send one Content-Length, a number of bytes");
    return;
  }
  BodyFraming = Framing::Length;
  if (length > Most.MaxBody)
    refuse(ErrorKind::BodyTooLarge, "the body is too large",
           absl::StrCat("send at most ", Most.MaxBody, " bytes"));
  else
    Left = length;
}

std::size_t RequestAssembler::feedBody(std::string_view input) {
  if (BodyFraming == Framing::Chunked)
    return feedChunk(input);
  const std::size_t n = std::min(input.size(), Left);
  Body.append(input.substr(0, n));
  Left -= n;
  if (Left == 0)
    State = AssemblyState::Complete;
  return n;
}

std::size_t RequestAssembler::feedChunk(std::string_view input) {
  if (Part != ChunkPart::Data)
    return feedLine(input);
  const std::size_t n = std::min(input.size(), Left);
  Body.append(input.substr(0, n));
  Left -= n;
  if (Left == 0)
    Part = ChunkPart::DataEnd;
  return n;
}

std::size_t RequestAssembler::feedLine(std::string_view input) {
  const std::size_t end = input.find('\n');
  const std::size_t n = end == std::string_view::npos ? input.size() : end + 1;
  if (Line.size() + n > MaxChunkLine) {
    refuse(ErrorKind::InvalidArgument, "a chunk is not well-formed",
           absl::StrCat("send its size in at most ", MaxChunkLine, " bytes"));
    return n;
  }
  Line.append(input.substr(0, n));
  if (end != std::string_view::npos)
    endLine();
  return n;
}

void RequestAssembler::endLine() {
  std::string line = std::exchange(Line, {});
  if (!absl::EndsWith(line, "\r\n")) {
    refuse(ErrorKind::InvalidArgument, "a chunk is not well-formed",
           "end its lines with CR LF");
    return;
  }
  line.resize(line.size() - LineEnd.size());
  if (Part == ChunkPart::Size) {
    Line = line;
    beginChunk();
    Line.clear();
  } else if (Part == ChunkPart::DataEnd) {
    Part = ChunkPart::Size;
    if (!line.empty())
      refuse(ErrorKind::InvalidArgument, "a chunk is longer than its size",
             "end each chunk with an empty line");
  } else if (line.empty()) {
    State = AssemblyState::Complete;
  } else if ((TrailerBytes += line.size()) > Most.MaxHead) {
    refuse(ErrorKind::InvalidArgument, "the trailer is too large",
           "send no trailer");
  }
}

// Line is the size, with extensions.
void RequestAssembler::beginChunk() {
  const std::string digits = Line.substr(0, Line.find(';'));
  constexpr std::size_t MaxDigits = 12;
  const bool isNumber = !digits.empty() && digits.size() <= MaxDigits &&
                        std::ranges::all_of(digits, absl::ascii_isxdigit);
  if (!isNumber) {
    refuse(ErrorKind::InvalidArgument, "the size of a chunk can't be read",
           "send it as a hexadecimal number");
    return;
  }
  constexpr int Hexadecimal = 16;
  const std::size_t size = std::stoull(digits, nullptr, Hexadecimal);
  if (size > Most.MaxBody - Body.size()) {
    refuse(ErrorKind::BodyTooLarge, "the body is too large",
           absl::StrCat("send at most ", Most.MaxBody, " bytes"));
    return;
  }
  Left = size;
  Part = size == 0 ? ChunkPart::Trailer : ChunkPart::Data;
}

void RequestAssembler::refuse(ErrorKind kind, std::string message,
                              std::string remedy) {
  State = AssemblyState::Refused;
  Problem = Error{kind, std::move(message), std::move(remedy)};
  Body = std::string();
}

bool RequestAssembler::takeExpectation() {
  return State == AssemblyState::Body && std::exchange(HasExpectation, false);
}

AssembledRequest RequestAssembler::take() {
  AssembledRequest request{std::move(Head), std::move(Body)};
  if (BodyFraming != Framing::None) {
    // Before the empty line.
    request.Head.resize(request.Head.size() - LineEnd.size());
    absl::StrAppend(&request.Head, "Content-Length: ", request.Body.size(),
                    view(HeadEnd));
  }
  *this = RequestAssembler(Most);
  return request;
}

} // namespace jujube::http
