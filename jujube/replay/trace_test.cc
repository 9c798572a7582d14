#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "absl/strings/str_join.h"
#include "jujube/replay/generator.h"
#include "jujube/replay/replayer.h"
#include "jujube/replay/trace.h"

namespace jujube::replay {
namespace {

constexpr uint64_t CommittedSeed = 20261204;

std::string readFile(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string messageFor(absl::string_view line) {
  const Result<Record> record = parseRecord(line);
  return isOk(record) ? "" : errorOf(record).Message;
}

BOOST_AUTO_TEST_SUITE(TraceSuite)

BOOST_AUTO_TEST_CASE(BadRecordsAreRefusedWithTheReason) {
  const auto names = [](absl::string_view line, absl::string_view why) {
    return messageFor(line).find(std::string(why)) != std::string::npos;
  };
  BOOST_TEST(names("x worker id=w1", "instant"));
  BOOST_TEST(names("5 wurker id=w1", "kind"));
  BOOST_TEST(names("5 worker id=w1 color=red", "unknown field color"));
  BOOST_TEST(names("5 worker id=w/1", "bad value of id"));
  BOOST_TEST(names("5 submit id=z.r entry=e tasks=many", "bad value of tasks"));
  BOOST_TEST(names("5 worker id=w millicpu=-4", "negative resources"));
  BOOST_TEST(names("0 trace version=2", "version is not 1"));
  BOOST_TEST(!isOk(parseTrace("")));
  BOOST_TEST(!isOk(parseTrace("0 trace version=1\n5 lost id=w\n4 end\n")));
  BOOST_TEST(!isOk(parseTrace("0 trace version=1\n5 lost id=w\n")));
  BOOST_TEST(isOk(parseTrace("# note\n0 trace version=1\n\n5 end\n")));
}

RC_BOOST_PROP(AnyTextIsReadOrRefused, (const std::string &text)) {
  const auto words = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("7", "submit", "worker", "entry", "expect",
                                    "id=a", "tasks=3", "tasks=-1", "what=fate",
                                    "class=gang", "run_ms=99999999999999999999",
                                    "=", text));
  const Result<Record> record = parseRecord(absl::StrJoin(words, " "));
  if (isOk(record))
    RC_ASSERT(valueOf(parseRecord(formatRecord(valueOf(record)))) ==
              valueOf(record));
}

BOOST_AUTO_TEST_CASE(UnknownEntryIsRefused) {
  const auto records =
      parseTrace("0 trace version=1\n1 submit id=z.r entry=none\n2 end\n");
  BOOST_REQUIRE(isOk(records));
  ReplayOptions options;
  options.Hooks = placement::hooksFor(placement::PolicyName::Waiting);
  const auto result = replay(valueOf(records), options);
  BOOST_REQUIRE(!isOk(result));
  BOOST_CHECK(errorOf(result).Kind == ErrorKind::NotFound);
}

// The committed traces match the generator's output, survive a round trip
// through the parser, and replay with all expected outcomes and no violation.
void checkTrace(Deployment deployment, placement::PolicyName policy) {
  const std::string name(nameIn(DeploymentNames, deployment));
  const std::string text = readFile("traces/" + name + ".trace");
  const auto records = parseTrace(text);
  BOOST_REQUIRE(isOk(records));
  BOOST_TEST((valueOf(records) == generateTrace(deployment, CommittedSeed)));
  BOOST_TEST((formatTrace(valueOf(records)) == text));
  ReplayOptions options;
  options.Planner.Policy = policy;
  options.Hooks = placement::hooksFor(policy);
  const auto result = replay(valueOf(records), options);
  BOOST_REQUIRE(isOk(result));
  BOOST_TEST(valueOf(result).Findings.empty());
  const auto checks = checkOutcomes(valueOf(records), policy, valueOf(result));
  BOOST_TEST(checks.size() > 10U);
  for (const OutcomeCheck &check : checks)
    BOOST_TEST(check.IsMet, formatRecord({Instant(), check.Expected})
                                << "; observed: " << check.Seen);
}

BOOST_AUTO_TEST_CASE(BreezeguardOutcomesAreMet) {
  checkTrace(Deployment::Breezeguard, placement::PolicyName::Waiting);
}

BOOST_AUTO_TEST_CASE(MkwawaOutcomesAreMet) {
  checkTrace(Deployment::Mkwawa, placement::PolicyName::Packing);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::replay
