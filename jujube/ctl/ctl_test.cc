// Tests of the catalogue, team and key commands of jujubectl and of its exit
// codes.
#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jujube/base/digest.h"
#include "jujube/ctl/catalogue_plan.h"
#include "jujube/ctl/test_world.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"

namespace jujube::ctl {
namespace {

constexpr absl::string_view File =
    R"({"teams":[{"id":"events","share":3,"ceiling":{"milli_cpu":8000}}],)"
    R"("entries":[{"id":"invoices","owner":"events","class":"batch",)"
    R"("ask":{"milli_cpu":500,"memory_mb":64}}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(CtlTest)

BOOST_AUTO_TEST_CASE(ApplyShowsTheDifferenceAndMakesTheEditsInOrder) {
  World world;
  world.Store = World::storeOf({{events(), Revision{7}}});
  const TestFile file(File);
  BOOST_TEST((world.run({"catalogue", "apply", "--dry-run", file.path()}) ==
              ExitCode::Done));
  BOOST_TEST(world.Applied.empty());
  BOOST_TEST(
      absl::StrContains(world.Out, "~ team events\n    share: 2 -> 3\n"));
  BOOST_TEST(absl::StrContains(world.Out, "+ entry invoices\n"));
  BOOST_TEST(
      (world.run({"catalogue", "apply", file.path()}) == ExitCode::Done));
  BOOST_REQUIRE(world.Applied.size() == 2U);
  BOOST_TEST(world.Applied[0].Base.Value == 7U);
  BOOST_TEST(std::holds_alternative<catalogue::PutTeam>(world.Applied[0].What));
  BOOST_TEST(world.Applied[1].Base.Value == 0U);
  BOOST_TEST(
      std::holds_alternative<catalogue::PutEntry>(world.Applied[1].What));
}

BOOST_AUTO_TEST_CASE(DeletionsFollowAndSpareTeamsWithKeys) {
  catalogue::Contents current;
  current.Teams = {{events(), Revision{1}},
                   {{TeamId("farms"), 1, {}}, Revision{2}}};
  current.Entries = {{{EntryId("old"), TeamId("events")}, Revision{3}}};
  current.Keys = {{{KeyId("k"), TeamId("farms")}, Revision{4}}};
  const auto plan = planEdits(current, {}, true);
  BOOST_REQUIRE(plan.size() == 2U);
  BOOST_TEST(plan[0].Title == "- entry old");
  BOOST_TEST(plan[0].Base.Value == 3U);
  BOOST_TEST(plan[1].Title == "- team events");
  BOOST_TEST(planEdits(current, {}, false).empty());
}

BOOST_AUTO_TEST_CASE(ALostAnswerIsFollowedByAResendWithTheSameId) {
  World world;
  world.Faults = {std::nullopt, TransportFailure::NoAnswer,
                  TransportFailure::NotConnected};
  BOOST_TEST(
      (world.run({"team", "put", "events", "--share", "4"}) == ExitCode::Done));
  BOOST_TEST(world.Applied.size() == 1U);
  BOOST_TEST(world.Commands.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ARepeatedInvocationChangesNothingTwice) {
  World world;
  for (int i = 0; i < 2; ++i)
    BOOST_TEST((world.run({"team", "put", "events", "--share", "5", "--id",
                           "monday"}) == ExitCode::Done));
  BOOST_TEST(world.Applied.size() == 1U);
  BOOST_TEST(
      absl::StrContains(world.Out, "revision 2, made by an earlier run"));
  for (int i = 0; i < 2; ++i)
    BOOST_TEST((world.run({"team", "delete", "events", "--id", "monday"}) ==
                ExitCode::Done));
  BOOST_TEST(world.Applied.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ARepeatedApplyMakesTheEditsThatWereLeft) {
  World world;
  const TestFile file(File);
  // The edit of the entry is not delivered.
  world.Faults = {std::nullopt, std::nullopt};
  world.Faults.resize(102, TransportFailure::NotConnected);
  const std::vector<std::string> args = {"catalogue", "apply", file.path(),
                                         "--id", "monday"};
  BOOST_TEST((world.run(args) == ExitCode::Unreachable));
  BOOST_TEST(world.Applied.size() == 1U);
  BOOST_TEST(absl::StrContains(world.Err, "1 of 2 edits were made"));
  world.Faults.clear();
  BOOST_TEST((world.run(args) == ExitCode::Done));
  BOOST_TEST(world.Applied.size() == 2U);
  BOOST_TEST(
      std::holds_alternative<catalogue::PutEntry>(world.Applied.back().What));
  // Another operator reverts one edit; repeating the invocation must not apply
  // it again.
  BOOST_TEST(
      (world.run({"team", "put", "events", "--share", "9"}) == ExitCode::Done));
  BOOST_TEST((world.run(args) == ExitCode::Done));
  BOOST_TEST(world.Applied.size() == 3U);
}

BOOST_AUTO_TEST_CASE(AFileWithABadEditChangesNothing) {
  World world;
  const TestFile file(
      R"({"teams":[{"id":"farms","ceiling":{"milli_cpu":1}}],)"
      R"("entries":[{"id":"plans","owner":"nobody","class":"gang",)"
      R"("ask":{"milli_cpu":500}}]})");
  for (const char *flag : {"--dry-run", "--json"}) {
    world.Err.clear();
    BOOST_TEST((world.run({"catalogue", "apply", file.path(), flag}) ==
                ExitCode::Refused));
    BOOST_TEST(absl::StrContains(world.Err, "+ entry plans: "), world.Err);
    BOOST_TEST(absl::StrContains(world.Err, "no edit was made"), world.Err);
  }
  BOOST_TEST(world.Applied.empty());
}

BOOST_AUTO_TEST_CASE(AKeyThatIsNotYetInForceIsSaidSoBesideIt) {
  World world;
  world.IsInForce = false;
  BOOST_TEST((world.run({"key", "issue", "events", "k1"}) == ExitCode::Done));
  BOOST_TEST(absl::StartsWith(world.Out, "k1."));
  BOOST_TEST(world.Err == "key k1: revision 2, accepted but not yet in force "
                          "everywhere\n");
}

BOOST_AUTO_TEST_CASE(ADryRunShowsNoKeyThatWasNotIssued) {
  World world;
  BOOST_TEST((world.run({"key", "issue", "events", "k1", "--dry-run"}) ==
              ExitCode::Done));
  BOOST_TEST(world.Applied.empty());
  BOOST_TEST(world.Out == "would be done: issue key k1 to team events\n");
}

BOOST_AUTO_TEST_CASE(JsonIsPrintedForResultsAndErrors) {
  World world;
  BOOST_TEST((world.run({"key", "issue", "events", "k1", "--json"}) ==
              ExitCode::Done));
  const auto issued = http::fromJson<http::IssuedKey>(world.Out);
  BOOST_REQUIRE(isOk(issued));
  BOOST_TEST(absl::StartsWith(valueOf(issued).Presented, "k1."));
  BOOST_TEST(
      (world.run({"key", "issue", "nobody", "--json"}) == ExitCode::Refused));
  const auto error = http::fromJson<http::ErrorBody>(world.Err);
  BOOST_REQUIRE(isOk(error));
  BOOST_TEST(!valueOf(error).Problem.Remedy.empty());
}

BOOST_AUTO_TEST_CASE(TheHistoryIsAsLongAsAskedFor) {
  World world;
  for (const char *share : {"4", "5", "6"})
    (void)world.run({"team", "put", "events", "--share", share});
  world.Out.clear();
  BOOST_TEST((world.run({"catalogue", "history", "2"}) == ExitCode::Done));
  BOOST_TEST(absl::StrContains(world.Out, "\n4 "), world.Out);
  BOOST_TEST(!absl::StrContains(world.Out, "\n2 "), world.Out);
  for (const char *lines : {"0", "x", "10001"})
    BOOST_TEST(
        (world.run({"catalogue", "history", lines}) == ExitCode::Refused));
  BOOST_TEST(absl::StrContains(world.Err, "LINES is 'x'; give a whole number"));
}

BOOST_AUTO_TEST_CASE(ListsShowWhatTheCatalogueHolds) {
  World world;
  BOOST_TEST((world.run({"key", "issue", "events", "k1"}) == ExitCode::Done));
  world.Out.clear();
  BOOST_TEST((world.run({"key", "list", "events"}) == ExitCode::Done));
  BOOST_TEST(absl::StrContains(world.Out, "k1   events  2"), world.Out);
  BOOST_TEST((world.run({"team", "list"}) == ExitCode::Done));
  BOOST_TEST(absl::StrContains(world.Out, "events  2      8 cores"), world.Out);
  world.Out.clear();
  BOOST_TEST((world.run({"catalogue", "list", "--json"}) == ExitCode::Done));
  BOOST_TEST(isOk(http::fromJson<catalogue::Contents>(world.Out)));
  world.Out.clear();
  BOOST_TEST((world.run({"catalogue", "get"}) == ExitCode::Done));
  BOOST_TEST(isOk(http::fromJson<http::DesiredCatalogue>(world.Out)));
}

BOOST_AUTO_TEST_CASE(AKeyIsShownOnceAndOnlyItsDigestIsSent) {
  World world;
  BOOST_TEST((world.run({"key", "issue", "events"}) == ExitCode::Done));
  const std::vector<std::string> shown =
      absl::StrSplit(absl::StripSuffix(world.Out, "\n"), '.');
  BOOST_REQUIRE(shown.size() == 2U);
  BOOST_REQUIRE(world.Applied.size() == 1U);
  const auto &key = std::get<catalogue::IssueKey>(world.Applied[0].What).Value;
  BOOST_TEST(key.Id.str() == shown[0]);
  BOOST_TEST(key.Digest == saltedDigest(key.Salt, shown[1]));
  BOOST_TEST(!absl::StrContains(world.Out, key.Digest));
  // A repeated invocation must not print a secret that does not belong to the
  // key.
  for (int i = 0; i < 2; ++i)
    (void)world.run({"key", "issue", "events", "k2", "--id", "monday"});
  BOOST_TEST(world.Applied.size() == 2U);
  BOOST_TEST(absl::StrContains(world.Err, "k2"));
}

BOOST_AUTO_TEST_CASE(ExitCodesTellUsageFromRefusalFromUnreachable) {
  World world;
  BOOST_TEST((world.run({}) == ExitCode::Usage));
  BOOST_TEST((world.run({"catalogue", "burn"}) == ExitCode::Usage));
  BOOST_TEST((world.run({"submit"}) == ExitCode::Usage));
  BOOST_TEST((world.run({"status", "--server", "here"}) == ExitCode::Usage));
  BOOST_TEST((world.run({"cancel", "pf.gone"}) == ExitCode::Refused));
  BOOST_TEST(absl::StrContains(world.Err, "not_found: nothing there; look"));
  const TestFile token("0123456789abcdef");
  std::filesystem::permissions(token.path(), std::filesystem::perms(0644));
  BOOST_TEST((world.run({"catalogue", "list", "--operator-token-file",
                         token.path()}) == ExitCode::Usage));
  BOOST_TEST(absl::StrContains(world.Err, "run: chmod 600 " + token.path()));
  world.Faults.assign(100, TransportFailure::NotConnected);
  BOOST_TEST((world.run({"status"}) == ExitCode::Unreachable));
  BOOST_TEST(absl::StrContains(world.Err, "no connection to 127.0.0.1:7400"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::ctl
