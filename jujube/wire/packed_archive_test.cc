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

template <typename T> void checkPacked(const T &value, std::size_t bytes) {
  const std::string text = encodePacked(value);
  // One byte more for the format.
  BOOST_TEST(text.size() == bytes + 1);
  const Result<T> back = decodePacked<T>(text);
  BOOST_REQUIRE(isOk(back));
  BOOST_TEST((valueOf(back) == value));
}

template <typename T> bool isPacked(absl::string_view body) {
  return isOk(decodePacked<T>(absl::StrCat(
      absl::string_view(&PackedFormat, sizeof PackedFormat), body)));
}

absl::string_view bytes(const char *text, std::size_t n) { return {text, n}; }

// Events of one request with `tasks` tasks on two workers.
std::vector<fate::Event> eventsOf(uint32_t tasks) {
  std::vector<fate::Event> events;
  for (uint32_t n = 0; n < tasks; ++n)
    events.emplace_back(
        fate::TaskOffered{{RequestId("san-fernando.invoices"), n},
                          {Term{3}, 1},
                          WorkerId(n % 2 == 0 ? "worker-a" : "worker-b"),
                          Incarnation{1'700'000'000'000},
                          {1000, 512, 0},
                          Instant::atMillis(1'700'000'000'000)});
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

RC_BOOST_PROP(NumbersSurvive, (int64_t a, uint64_t b, int32_t c)) {
  RC_ASSERT(valueOf(decodePacked<int64_t>(encodePacked(a))) == a);
  RC_ASSERT(valueOf(decodePacked<uint64_t>(encodePacked(b))) == b);
  RC_ASSERT(valueOf(decodePacked<int32_t>(encodePacked(c))) == c);
}

RC_BOOST_PROP(TextsSurvive, (const std::vector<std::string> &texts)) {
  std::vector<std::string> all = texts;
  all.insert(all.end(), texts.begin(), texts.end());
  RC_ASSERT(valueOf(decodePacked<std::vector<std::string>>(
                encodePacked(all))) == all);
}

RC_BOOST_PROP(AnyBytesAreDecodedOrRefused, (std::string body)) {
  body.insert(0, 1, PackedFormat);
  (void)decodeEnvelope(body);
  (void)decodeZoneEvents(body);
  (void)decodeBookState(body);
}

BOOST_AUTO_TEST_CASE(BadNumbersAreRefused) {
  BOOST_TEST(isPacked<uint32_t>("\x05"));
  BOOST_TEST(!isPacked<uint32_t>("\x80"));
  // More than one way to write a number, and one that exceeds its type.
  BOOST_TEST(!isPacked<uint32_t>(bytes("\x80\x00", 2)));
  BOOST_TEST(!isPacked<uint32_t>("\xff\xff\xff\xff\x7f"));
  BOOST_TEST(!isPacked<uint64_t>("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02"));
  BOOST_TEST(
      !isPacked<uint64_t>("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"));
  BOOST_TEST(!isPacked<bool>("\x02"));
}

BOOST_AUTO_TEST_CASE(BadTextsAndSizesAreRefused) {
  // A text whose position has not been written, and one that is cut off.
  BOOST_TEST(!isPacked<std::string>("\x01"));
  BOOST_TEST(!isPacked<std::string>("\x08"
                                    "abc"));
  BOOST_TEST(!isPacked<std::vector<fate::FateView>>("\xff\xff\xff\x7f"));
  BOOST_TEST(!isOk(decodePacked<std::string>("")));
}

// A small message must not unpack to one without bound.
BOOST_AUTO_TEST_CASE(RepeatedTextsAreBounded) {
  const std::string text(MaxSharedText, 'x');
  const std::size_t most = MaxSharedBytes / MaxSharedText;
  const std::vector<std::string> all(most + 3, text);
  const std::string packed = encodePacked(all);
  BOOST_TEST((valueOf(decodePacked<std::vector<std::string>>(packed)) == all));
  // The same with one more reference than the encoder makes.
  std::string body(1, PackedFormat);
  PackedWriter writer(body);
  writer.writeNumber(most + 2);
  writer.writeText(text);
  for (std::size_t n = 0; n <= most; ++n)
    writer.writeNumber(1);
  BOOST_TEST(!isOk(decodePacked<std::vector<std::string>>(body)));
}

BOOST_AUTO_TEST_CASE(BatchNamesItsRequestAndWorkersOnce) {
  const std::size_t one = encodeZoneEvents(eventsOf(1)).size();
  const std::size_t ten = encodeZoneEvents(eventsOf(10)).size();
  const auto back = decodeZoneEvents(encodeZoneEvents(eventsOf(10)));
  BOOST_REQUIRE(isOk(back));
  BOOST_TEST((valueOf(back) == eventsOf(10)));
  BOOST_TEST(ten < one + std::size_t{9} * 30);
}

BOOST_AUTO_TEST_CASE(EnvelopeKeepsWhatItsReceiverNeeds) {
  const auto passed = [](uint64_t correlation, bool isReply) {
    return valueOf(decodeEnvelope(
        encodeEnvelope({HostId("h"), Address{"127.0.0.1", 1}, correlation,
                        isReply, Message{ReadHistory{7}}})));
  };
  const Envelope oneWay = passed(0, false);
  BOOST_TEST(oneWay.From.str() == "h");
  BOOST_TEST(oneWay.Correlation == 0U);
  const Envelope request = passed(5, false);
  BOOST_TEST(request.ReplyTo.Port == 1);
  BOOST_TEST(request.Correlation == 5U);
  BOOST_TEST(!request.IsReply);
  const Envelope reply = passed(5, true);
  BOOST_TEST(reply.Correlation == 5U);
  BOOST_TEST(reply.IsReply);
  BOOST_TEST(std::get<ReadHistory>(reply.What).MaxLines == 7U);
}

// The corpus of the fuzzer begins with records of this format.
BOOST_AUTO_TEST_CASE(CorpusIsOfThisFormat) {
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

// Records of the format before this one, also of lists whose length begins with
// the format byte, are typed errors.
BOOST_AUTO_TEST_CASE(RecordsOfTheOlderFormatAreRefused) {
  for (const uint32_t n : {0U, 1U, 2U, 0xF1U, 0xF1U + 256U}) {
    const auto old = decodeZoneEvents(encode(eventsOf(n)));
    BOOST_REQUIRE(!isOk(old));
    BOOST_TEST((errorOf(old).Kind == ErrorKind::CorruptData));
  }
  BOOST_TEST(!isOk(decodeBookState(encode(fate::BookState{}))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::wire
