#include "jujube/http/request_assembler.h"

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

namespace jujube::http {
namespace {

constexpr RequestAssembler::Limits Small{256, 100};

// Feeds the text in pieces of `piece` bytes; returns the bytes that were taken.
std::size_t feedAll(RequestAssembler &assembler, const std::string &text,
                    std::size_t piece) {
  std::size_t taken = 0;
  while (taken < text.size()) {
    const std::size_t n =
        assembler.feed(std::string_view(text).substr(taken, piece));
    taken += n;
    if (n == 0)
      break;
  }
  return taken;
}

ErrorKind refusalOf(const std::string &text) {
  RequestAssembler assembler(Small);
  (void)feedAll(assembler, text, 7);
  BOOST_REQUIRE_MESSAGE(assembler.state() == AssemblyState::Refused, text);
  return assembler.refusal().Kind;
}

BOOST_AUTO_TEST_SUITE(RequestAssemblerTest)

BOOST_AUTO_TEST_CASE(RequestsOfAnyFramingAreTheSameInAnyPieces) {
  const std::string rest = "GET /next";
  for (const std::string &request :
       {std::string("PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
                    "hello"),
        std::string("PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                    "\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: v\r\n\r\n")})
    for (const std::size_t piece : {1U, 2U, 3U, 17U, 1000U}) {
      RequestAssembler assembler(Small);
      BOOST_TEST(feedAll(assembler, request + rest, piece) == request.size());
      BOOST_REQUIRE((assembler.state() == AssemblyState::Complete));
      const AssembledRequest got = assembler.take();
      BOOST_TEST(got.Head == "PUT /a HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 5\r\n\r\n");
      BOOST_TEST(got.Body == "hello");
      BOOST_TEST((assembler.state() == AssemblyState::Empty));
    }
}

BOOST_AUTO_TEST_CASE(RequestWithoutABodyEndsWithItsHead) {
  RequestAssembler assembler(Small);
  const std::string request = "\r\nGET /a HTTP/1.1\r\nRange: bytes=0-1\r\n\r\n";
  BOOST_TEST(assembler.feed(request + "G") == request.size());
  BOOST_TEST(assembler.take().Head == "GET /a HTTP/1.1\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(LimitsHoldBeforeTheBytesAreKept) {
  BOOST_TEST((refusalOf("PUT / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") ==
              ErrorKind::BodyTooLarge));
  std::string chunks = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 11; ++i)
    absl::StrAppend(&chunks, "a\r\n0123456789\r\n");
  BOOST_TEST((refusalOf(chunks) == ErrorKind::BodyTooLarge));
  BOOST_TEST((refusalOf("GET / HTTP/1.1\r\nA: " + std::string(300, 'a')) ==
              ErrorKind::InvalidArgument));
  RequestAssembler assembler(Small);
  (void)feedAll(assembler, std::string(100'000, 'a'), 5000);
  BOOST_TEST(assembler.heldBytes() < 1000U);
}

BOOST_AUTO_TEST_CASE(UnclearFramingIsRefused) {
  const std::string line = "PUT / HTTP/1.1\r\n";
  for (const char *fields :
       {"Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n",
        "Content-Length: -1\r\n\r\n",
        "Content-Length: 99999999999999999999\r\n\r\n",
        "Content-Length:\r\n\r\n", "A: b\r\n c\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nx\r\n",
        "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
        "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n 1\r\na\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"})
    BOOST_TEST((refusalOf(line + fields) == ErrorKind::InvalidArgument),
               fields);
}

// Guards against fields that the library reads and the assembler doesn't: a
// long range makes the library's regular expressions overflow the stack.
BOOST_AUTO_TEST_CASE(FieldsThatTheLibraryReadsOtherwiseAreRefused) {
  for (const std::string &fields :
       {std::string("A: b\nRange: bytes=1-1\r\n\r\n"),
        std::string("A: b\rRange: bytes=1-1\r\n\r\n"),
        std::string("A: b\0c\r\n\r\n", 10), std::string("Range : x\r\n\r\n"),
        std::string(" Range: x\r\n\r\n"), std::string(": x\r\n\r\n"),
        std::string("no field\r\n\r\n")})
    BOOST_TEST((refusalOf("GET / HTTP/1.1\r\n" + fields) ==
                ErrorKind::InvalidArgument),
               fields);
  BOOST_TEST((refusalOf("GET / HTTP/1.1\nRange: x\r\n\r\n") ==
              ErrorKind::InvalidArgument));
}

BOOST_AUTO_TEST_CASE(ExpectationIsToldOnce) {
  RequestAssembler assembler(Small);
  (void)assembler.feed("PUT / HTTP/1.1\r\nExpect: 100-continue\r\n"
                       "Content-Length: 2\r\n\r\n");
  BOOST_TEST(assembler.takeExpectation());
  BOOST_TEST(!assembler.takeExpectation());
  (void)assembler.feed("ab");
  BOOST_TEST((assembler.state() == AssemblyState::Complete));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::http
