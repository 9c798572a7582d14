// Tests that encoded values decode to equal values and that invalid input
// returns a typed error.
#include "jujube/http/json.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "jujube/http/bodies.h"

namespace jujube::http {
namespace {

constexpr absl::string_view ValidEdit =
    R"({"id":"e1","base":4,"author":"ada","what":{"kind":"put_entry","value":{)"
    R"("id":"invoices","owner":"events","class":"batch",)"
    R"("ask":{"milli_cpu":500,"memory_mb":256}}}})";

const Error &decodeError(const Result<catalogue::Edit> &edit) {
  BOOST_REQUIRE(!isOk(edit));
  return errorOf(edit);
}

// Arbitrary bytes, often not UTF-8.
std::string anyBytes() { return *rc::gen::arbitrary<std::string>(); }

template <typename Id> Id anyId() {
  const std::string text = *rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abcXYZ019._-"))));
  return Id(text.substr(0, MaxIdLength));
}

Resources anyAmounts() {
  return {*rc::gen::inRange<int64_t>(0, INT64_C(1'000'000'000'000)),
          *rc::gen::inRange<int64_t>(0, 1 << 20),
          *rc::gen::inRange<int64_t>(0, 64)};
}

template <typename Enum, std::size_t N>
Enum anyEnumerator(const NameTable<Enum, N> &table) {
  return table[*rc::gen::inRange<std::size_t>(0, N)].Value;
}

Instant anyInstant() {
  return *rc::gen::arbitrary<bool>()
             ? Instant::never()
             : Instant::fromMillis(
                   *rc::gen::inRange<int64_t>(0, INT64_C(1) << 40));
}

fate::TaskView anyTaskView() {
  return {*rc::gen::arbitrary<uint32_t>(),
          anyEnumerator(fate::FateStateNames),
          *rc::gen::arbitrary<uint32_t>(),
          *rc::gen::arbitrary<bool>() ? WorkerId() : anyId<WorkerId>(),
          anyBytes(),
          anyBytes()};
}

fate::Directive anyDirective() {
  return {
      anyEnumerator(fate::DirectiveKindNames),
      {anyId<RequestId>(), *rc::gen::arbitrary<uint32_t>()},
      {Term{*rc::gen::arbitrary<uint64_t>()}, *rc::gen::arbitrary<uint64_t>()},
      EntryId(),
      anyAmounts(),
      anyBytes()};
}

catalogue::Entry anyEntry() {
  return {anyId<EntryId>(),
          anyId<TeamId>(),
          anyEnumerator(catalogue::WorkClassNames),
          anyEnumerator(catalogue::UrgencyNames),
          *rc::gen::arbitrary<uint32_t>(),
          anyAmounts(),
          Duration::millis(*rc::gen::inRange<int64_t>(0, 1 << 30)),
          *rc::gen::arbitrary<uint32_t>(),
          *rc::gen::arbitrary<uint32_t>(),
          *rc::gen::arbitrary<bool>(),
          *rc::gen::arbitrary<bool>(),
          *rc::gen::arbitrary<bool>(),
          *rc::gen::arbitrary<bool>()};
}

catalogue::Change anyChange() {
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return catalogue::PutTeam{{anyId<TeamId>(), 3, anyAmounts()}};
  case 1:
    return catalogue::DeleteTeam{anyId<TeamId>()};
  case 2:
    return catalogue::PutEntry{anyEntry()};
  case 3:
    return catalogue::DeleteEntry{anyId<EntryId>()};
  case 4:
    return catalogue::IssueKey{{anyId<KeyId>(), anyId<TeamId>(), "a0", "b1"}};
  default:
    return catalogue::WithdrawKey{anyId<KeyId>()};
  }
}

template <typename T> bool roundTrips(const T &value) {
  const Result<T> copy = fromJson<T>(toJson(value));
  return isOk(copy) && valueOf(copy) == value;
}

// Returns true if decoding `text` gives a value or MalformedBody with a message
// and a remedy.
template <typename T> bool hasTypedOutcome(absl::string_view text) {
  const Result<T> value = fromJson<T>(text);
  return isOk(value) ||
         (errorOf(value).Kind == ErrorKind::MalformedBody &&
          !errorOf(value).Message.empty() && !errorOf(value).Remedy.empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(JsonTest)

RC_BOOST_PROP(EditsRoundTrip, ()) {
  RC_ASSERT(roundTrips(catalogue::Edit{
      anyId<EditId>(), Revision{*rc::gen::arbitrary<uint64_t>()}, anyChange(),
      "ada"}));
}

RC_BOOST_PROP(FatesAndDirectivesRoundTrip, ()) {
  fate::FateView view{anyId<RequestId>(), anyId<TeamId>(), anyId<EntryId>(),
                      anyEnumerator(fate::FateStateNames)};
  view.Tasks = {anyTaskView(), anyTaskView()};
  view.AcceptedAt = Instant::fromMillis(*rc::gen::inRange(0, 1 << 30));
  view.StartedAt = anyInstant();
  view.EndedAt = anyInstant();
  RC_ASSERT(roundTrips(view));
  RC_ASSERT(roundTrips(fate::SyncReply{Term{7},
                                       Duration::millis(2500),
                                       {anyDirective(), anyDirective()},
                                       anyEnumerator(fate::SyncScopeNames)}));
}

// Replaces parts of a valid body with arbitrary bytes.
RC_BOOST_PROP(MutatedBodiesAreTypedErrors, ()) {
  std::string text(ValidEdit);
  const int mutations = *rc::gen::inRange(1, 6);
  for (int i = 0; i < mutations; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto n = *rc::gen::inRange<std::size_t>(0, 12);
    text.replace(at, n, anyBytes().substr(0, 6));
  }
  RC_ASSERT(hasTypedOutcome<catalogue::Edit>(text));
  RC_ASSERT(hasTypedOutcome<fate::WorkerSync>(text));
  RC_ASSERT(hasTypedOutcome<SubmitBody>(text));
  RC_ASSERT(hasTypedOutcome<metrics::Snapshot>(text));
}

BOOST_AUTO_TEST_CASE(AbsentFieldsKeepTheirDefaults) {
  const auto edit = fromJson<catalogue::Edit>(ValidEdit);
  BOOST_REQUIRE(isOk(edit));
  const auto &entry = std::get<catalogue::PutEntry>(valueOf(edit).What).Value;
  BOOST_TEST(entry.MaxAttempts == 3U);
  BOOST_TEST(entry.Tasks == 1U);
  BOOST_TEST(entry.IsIdempotent);
  BOOST_TEST(entry.Demand.MilliCpu == 500);
}

// Each case makes the valid edit invalid and lists the field and the remedy
// that the error must contain.
BOOST_AUTO_TEST_CASE(ErrorsNameTheFieldAndTheRemedy) {
  struct Case {
    absl::string_view Old;
    absl::string_view New;
    absl::string_view Field;
    absl::string_view Remedy;
  };
  const std::vector<Case> cases = {
      {R"("class":"batch")", R"("class":"bulk")", "what.value.class",
       "service, batch, gang"},
      {R"("milli_cpu":500)", R"("milli_cpu":-1)", "what.value.ask.milli_cpu",
       "from 0"},
      {R"("milli_cpu":500)", R"("milli_cpu":1e99)", "what.value.ask.milli_cpu",
       "whole number"},
      {R"("milli_cpu":500)", R"("milli_cpu":99999999999999)",
       "what.value.ask.milli_cpu", "to 1000000000000"},
      {R"("owner":"events",)", "", "what.value.owner", "add it"},
      {R"("owner":"events")", R"("owner":"no spaces")", "what.value.owner",
       "letters, digits"},
      {R"("author":"ada")", R"("autor":"ada")", "autor", "use only id, base"},
      {R"("base":4)", R"("base":-4)", "base", "at least 0"},
      {R"("kind":"put_entry")", R"("kind":"drop")", "what.kind", "put_team"},
      {R"("id":"e1",)", R"("id":7,)", "id", "string"},
      {R"({"id":"e1")", R"([{"id":"e1")", "the body", "JSON"},
  };
  for (const Case &c : cases) {
    const auto edit = fromJson<catalogue::Edit>(
        absl::StrReplaceAll(ValidEdit, {{c.Old, c.New}}));
    const Error &error = decodeError(edit);
    BOOST_TEST((error.Kind == ErrorKind::MalformedBody));
    BOOST_TEST(absl::StartsWith(error.Message, absl::StrCat(c.Field, " ")),
               error.text());
    BOOST_TEST(absl::StrContains(error.Remedy, c.Remedy), error.text());
  }
}

BOOST_AUTO_TEST_CASE(SyntaxErrorsReportTheirPosition) {
  const auto messageOf = [](absl::string_view text) {
    return decodeError(fromJson<catalogue::Edit>(text)).Message;
  };
  BOOST_TEST(messageOf("{\n  \"id\": oops}") ==
             "the body is not JSON at line 2, column 9");
  BOOST_TEST(messageOf("") == "the body is not JSON at line 1, column 1");
  BOOST_TEST(messageOf("{\"id\":") ==
             "the body is not JSON at line 1, column 7");
}

BOOST_AUTO_TEST_CASE(DeepNestingIsRefused) {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  BOOST_TEST(absl::StrContains(
      decodeError(fromJson<catalogue::Edit>(deep)).Message, "too deeply"));
}

BOOST_AUTO_TEST_CASE(NonUtf8BytesAreEncodedAsBase64) {
  const api::LiveAnswer answer{RequestId("z.a"), RunnerId("r1"),
                               std::string("\xff\0x", 3)};
  BOOST_TEST(absl::StrContains(toJson(answer), R"("body_base64":"/wB4")"));
  BOOST_TEST(roundTrips(answer));
  const auto both = fromJson<api::LiveAnswer>(
      R"({"request":"z.a","body":"x","body_base64":"eA=="})");
  BOOST_TEST(!isOk(both));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::http
