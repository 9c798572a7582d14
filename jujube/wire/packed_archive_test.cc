#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <fstream>
#include <iterator>
#include <limits>

#include "jujube/wire/messages.h"
#include "jujube/wire/packed_archive.h"
#include "jujube/wire/state_encoding.h"

namespace jujube::wire {
namespace {

// Checks that `value` round-trips and that it is encoded in `bytes` bytes.
template <typename T> void checkPacked(const T &value, std::size_t bytes) {
  const std::string text = encodePacked(value);
  // Plus the format byte.
  BOOST_TEST(text.size() == bytes + 1);
  const Result<T> back = decodePacked<T>(text);
  BOOST_REQUIRE(isOk(back));
  BOOST_TEST((valueOf(back) == value));
}

// Returns whether `body` decodes as a T, after the format byte.
template <typename T> bool isDecodable(absl::string_view body) {
  return isOk(decodePacked<T>(absl::StrCat(
      absl::string_view(&PackedFormat, sizeof PackedFormat), body)));
}

absl::string_view bytes(const char *text, std::size_t n) { return {text, n}; }

// Returns the offers of a request with `tasks` tasks to two workers.
std::vector<fate::Event> offersOf(uint32_t tasks) {
  std::vector<fate::Event> events;
  for (uint32_t n = 0; n < tasks; ++n)
    events.emplace_back(
        fate::TaskOffered{{RequestId("san-fernando.invoices"), n},
                          {Term{3}, 1},
                          WorkerId(n % 2 == 0 ? "worker-a" : "worker-b"),
                          Incarnation{1'700'000'000'000},
                          {1000, 512, 0},
                          Instant::fromMillis(1'700'000'000'000)});
  return events;
}

BOOST_AUTO_TEST_SUITE(PackedArchiveSuite)

BOOST_AUTO_TEST_CASE(NumbersTakeAsFewBytesAsTheyNeed) {
  checkPacked(uint64_t{127}, 1);
  checkPacked(uint64_t{128}, 2);
  checkPacked(std::numeric_limits<uint64_t>::max(), 10);
  checkPacked(int64_t{-64}, 1);
  checkPacked(int64_t{64}, 2);
  checkPacked(std::numeric_limits<int64_t>::min(), 10);
  checkPacked(std::numeric_limits<int32_t>::max(), 5);
  checkPacked(uint8_t{200}, 1);
  checkPacked(0.25, 8);
}

RC_BOOST_PROP(NumbersRoundTrip, (int64_t a, uint64_t b, int32_t c)) {
  RC_ASSERT(valueOf(decodePacked<int64_t>(encodePacked(a))) == a);
  RC_ASSERT(valueOf(decodePacked<uint64_t>(encodePacked(b))) == b);
  RC_ASSERT(valueOf(decodePacked<int32_t>(encodePacked(c))) == c);
}

RC_BOOST_PROP(StringsRoundTrip, (const std::vector<std::string> &texts)) {
  std::vector<std::string> all = texts;
  all.insert(all.end(), texts.begin(), texts.end());
  RC_ASSERT(valueOf(decodePacked<std::vector<std::string>>(
                encodePacked(all))) == all);
}

RC_BOOST_PROP(AnyBytesAreDecodedOrRefused, (std::string body)) {
  body.insert(0, 1, PackedFormat);
  (void)decodeEnvelope(body);
  (void)decodeZoneEvents(body);
  (void)decodeFateSnapshot(body);
}

BOOST_AUTO_TEST_CASE(BadNumbersAreRefused) {
  BOOST_TEST(isDecodable<uint32_t>("\x05"));
  BOOST_TEST(!isDecodable<uint32_t>("\x80"));
  // A redundant last byte, then integers that exceed their type.
  BOOST_TEST(!isDecodable<uint32_t>(bytes("\x80\x00", 2)));
  BOOST_TEST(!isDecodable<uint32_t>("\xff\xff\xff\xff\x7f"));
  BOOST_TEST(
      !isDecodable<uint64_t>("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02"));
  BOOST_TEST(
      !isDecodable<uint64_t>("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"));
  BOOST_TEST(!isDecodable<bool>("\x02"));
}

BOOST_AUTO_TEST_CASE(BadTextsAndSizesAreRefused) {
  // A reference to a position that has not been written, then a truncated
  // string.
  BOOST_TEST(!isDecodable<std::string>("\x01"));
  BOOST_TEST(!isDecodable<std::string>("\x08"
                                       "abc"));
  BOOST_TEST(!isDecodable<std::vector<fate::FateView>>("\xff\xff\xff\x7f"));
  BOOST_TEST(!isOk(decodePacked<std::string>("")));
}

// Without a limit, a small message of references could expand to any size.
BOOST_AUTO_TEST_CASE(RepeatedTextsAreBounded) {
  const std::string text(MaxSharedString, 'x');
  const std::size_t most = MaxReferencedBytes / MaxSharedString;
  const std::vector<std::string> all(most + 3, text);
  const std::string packed = encodePacked(all);
  BOOST_TEST((valueOf(decodePacked<std::vector<std::string>>(packed)) == all));
  // The same list with one more reference than the encoder writes.
  std::string body(1, PackedFormat);
  PackedWriter writer(body);
  writer.writeVarint(most + 2);
  writer.writeString(text);
  for (std::size_t n = 0; n <= most; ++n)
    writer.writeVarint(1);
  BOOST_TEST(!isOk(decodePacked<std::vector<std::string>>(body)));
}

BOOST_AUTO_TEST_CASE(IdsInABatchAreWrittenOnce) {
  const std::size_t sizeOfOne = encodeZoneEvents(offersOf(1)).size();
  const std::size_t sizeOfTen = encodeZoneEvents(offersOf(10)).size();
  const auto back = decodeZoneEvents(encodeZoneEvents(offersOf(10)));
  BOOST_REQUIRE(isOk(back));
  BOOST_TEST((valueOf(back) == offersOf(10)));
  BOOST_TEST(sizeOfTen < sizeOfOne + std::size_t{9} * 30);
}

BOOST_AUTO_TEST_CASE(EnvelopeKeepsFieldsThatItsReceiverUses) {
  const auto roundTrip = [](uint64_t correlation, bool isReply) {
    return valueOf(decodeEnvelope(
        encodeEnvelope({HostId("h"), Address{"127.0.0.1", 1}, correlation,
                        isReply, Message{ReadHistory{7}}})));
  };
  const Envelope oneWay = roundTrip(0, false);
  BOOST_TEST(oneWay.From.str() == "h");
  BOOST_TEST(oneWay.Correlation == 0U);
  const Envelope request = roundTrip(5, false);
  BOOST_TEST(request.ReplyTo.Port == 1);
  BOOST_TEST(request.Correlation == 5U);
  BOOST_TEST(!request.IsReply);
  const Envelope reply = roundTrip(5, true);
  BOOST_TEST(reply.Correlation == 5U);
  BOOST_TEST(reply.IsReply);
  BOOST_TEST(std::get<ReadHistory>(reply.What).MaxLines == 7U);
}

// The fuzzer's seed corpus must be in the current format: seeds of another one
// would be rejected at the format byte and cover nothing else.
BOOST_AUTO_TEST_CASE(FuzzCorpusIsInTheCurrentFormat) {
  const auto decoded = [](const std::string &name) {
    std::ifstream file("fuzz/corpus/wire/" + name, std::ios::binary);
    return decodeZoneEvents(std::string(std::istreambuf_iterator<char>(file),
                                        std::istreambuf_iterator<char>()));
  };
  const auto events = decoded("packed_events");
  BOOST_REQUIRE(isOk(events));
  BOOST_REQUIRE(valueOf(events).size() == 2U);
  BOOST_TEST((std::get<fate::TaskOffered>(valueOf(events)[0]).Task ==
              std::get<fate::TaskStarted>(valueOf(events)[1]).Task));
  BOOST_TEST(!isOk(decoded("packed_bool_out_of_range")));
  BOOST_TEST(!isOk(decoded("packed_text_out_of_range")));
}

// Records in the unpacked format of earlier versions are rejected with
// CorruptData, including lists whose length begins with the format byte.
BOOST_AUTO_TEST_CASE(RecordsOfTheOlderFormatAreRefused) {
  for (const uint32_t n : {0U, 1U, 2U, 0xF1U, 0xF1U + 256U}) {
    const auto old = decodeZoneEvents(encode(offersOf(n)));
    BOOST_REQUIRE(!isOk(old));
    BOOST_TEST((errorOf(old).Kind == ErrorKind::CorruptData));
  }
  BOOST_TEST(!isOk(decodeFateSnapshot(encode(fate::FateSnapshot{}))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::wire
