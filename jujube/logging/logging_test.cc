#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "jujube/base/ids.h"
#include "jujube/logging/line.h"
#include "jujube/logging/line_queue.h"
#include "jujube/logging/parsed_line.h"

namespace jujube::logging {
namespace {

std::string pairsOf(const std::function<void()> &write) {
  std::string pairs;
  setSink([&pairs](const Record &record) { pairs += record.Pairs; });
  write();
  setSink({});
  return pairs;
}

BOOST_AUTO_TEST_SUITE(LineTest)

BOOST_AUTO_TEST_CASE(PairsAreWrittenInTheirOrder) {
  const std::string pairs = pairsOf([] {
    Line(Event::StartSent)
        .with("job", TeamId("a1"))
        .with("attempt", 2)
        .with("wait_ms", Duration::millis(15))
        .with("term", HostId("h"))
        .with("draining", true);
  });
  BOOST_TEST(pairs == " job=a1 attempt=2 wait_ms=15 term=h draining=true");
}

BOOST_AUTO_TEST_CASE(ValuesThatAreNotPlainAreQuoted) {
  const std::string pairs = pairsOf([] {
    Line(Event::Message)
        .with("text", "it's \"b\"\n")
        .with("empty", "")
        .with("pair", "a=b");
  });
  BOOST_TEST(pairs == R"( text="it's \"b\"\n" empty="" pair="a=b")");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ParsedLineTest)

BOOST_AUTO_TEST_CASE(ValuesAreUnquoted) {
  const auto line = parseLine(
      R"(  -9.8 core1 ts=2026-01-02T03:04:05.678Z host=core1 seq=12 level=info )"
      R"(event=job_refused job=ab error="no \"key\"; x=1" config=7)");
  BOOST_REQUIRE(line.has_value());
  BOOST_TEST(line->At.millis() == 1767323045678);
  BOOST_TEST(line->Host == "core1");
  BOOST_TEST(line->Sequence == 12U);
  BOOST_TEST((line->What == Event::JobRefused));
  BOOST_TEST(line->Pairs.size() == 3U);
  BOOST_TEST(line->value("error") == "no \"key\"; x=1");
  BOOST_TEST(line->number("config").value_or(0) == 7);
  BOOST_TEST(!line->number("error").has_value());
  BOOST_TEST(line->value("absent").empty());
}

BOOST_AUTO_TEST_CASE(MalformedLineIsRejected) {
  for (const char *text :
       {"", "ts=", "ts=now host=a seq=1 event=started",
        "ts=2026-01-02T03:04:05.678Z host=a event=started",
        "ts=2026-01-02T03:04:05.678Z host=a seq=1 event=unheard_of",
        "ts=\"2026", "*** Check failure stack trace: ***"})
    BOOST_TEST(!parseLine(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LineQueueTest)

Instant at(int64_t ms) { return Instant::fromMillis(ms); }

BOOST_AUTO_TEST_CASE(LinesComeInTheOrderInWhichTheyWerePushed) {
  LineQueue queue({});
  queue.push(Weight::Decision, "a", at(0));
  queue.push(Weight::Routine, "b", at(0));
  queue.push(Weight::State, "c", at(0));
  const LineQueue::Batch batch = queue.take(1000);
  const std::vector<std::string> expected = {"a", "b", "c"};
  BOOST_TEST(batch.Lines == expected, boost::test_tools::per_element());
  BOOST_TEST(queue.isEmpty());
}

BOOST_AUTO_TEST_CASE(FullQueueKeepsDecisionsAndCountsTheRest) {
  LineQueue queue({3, 1000, 1000});
  queue.push(Weight::Routine, "r1", at(0));
  queue.push(Weight::State, "s1", at(0));
  queue.push(Weight::Decision, "d1", at(0));
  queue.push(Weight::Decision, "d2", at(0));
  queue.push(Weight::Decision, "d3", at(0));
  queue.push(Weight::Decision, "d4", at(0));
  queue.push(Weight::Routine, "r2", at(0));
  const LineQueue::Batch batch = queue.take(1000);
  const std::vector<std::string> kept = {"d1", "d2", "d3"};
  BOOST_TEST(batch.Lines == kept, boost::test_tools::per_element());
  const DropCounts dropped = {2, 1, 1};
  BOOST_TEST(batch.Dropped == dropped, boost::test_tools::per_element());
  BOOST_TEST(queue.dropped() == dropped, boost::test_tools::per_element());
  const DropCounts none = {0, 0, 0};
  BOOST_TEST(queue.take(1000).Dropped == none,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(BytesAreBoundedToo) {
  LineQueue queue({100, 10, 100});
  queue.push(Weight::State, "12345678", at(0));
  queue.push(Weight::State, "123", at(0));
  BOOST_TEST(queue.dropped()[1] == 1);
  queue.push(Weight::Decision, "123", at(0));
  BOOST_TEST(queue.dropped()[1] == 2);
  BOOST_TEST(queue.take(100).Lines.size() == 1);
}

BOOST_AUTO_TEST_CASE(RoutineLinesOverTheRateAreCounted) {
  LineQueue queue({100, 1000, 2});
  for (int i = 0; i < 5; ++i)
    queue.push(Weight::Routine, "r", at(100 + i));
  queue.push(Weight::Decision, "d", at(110));
  BOOST_TEST(queue.take(1000).Lines.size() == 3);
  BOOST_TEST(queue.dropped()[0] == 3);
  queue.push(Weight::Routine, "r", at(2000));
  BOOST_TEST(queue.take(1000).Lines.size() == 1);
}

BOOST_AUTO_TEST_CASE(BatchHoldsAtLeastOneLine) {
  LineQueue queue({});
  queue.push(Weight::State, std::string(50, 'x'), at(0));
  queue.push(Weight::State, std::string(50, 'y'), at(0));
  BOOST_TEST(queue.take(10).Lines.size() == 1);
  BOOST_TEST(queue.take(100).Lines.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::logging
