// jujubectl against entry hosts of the test, without sockets: calls pass
// through the translation that the server uses.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <map>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jujube/base/digest.h"
#include "jujube/catalogue/catalogue.h"
#include "jujube/ctl/app.h"
#include "jujube/ctl/catalogue_plan.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"
#include "jujube/http/translate.h"

namespace jujube::ctl {
namespace {

using http::HttpCall;
using http::TransportFailure;
using http::TransportOutcome;

catalogue::Team events() { return {TeamId("events"), 2, {8000, 0, 0}}; }

// Entry hosts that share one catalogue, and the terminal.
struct World {
  catalogue::Catalogue Store = storeOf({{events(), Revision{1}}});
  // The edits that the catalogue took.
  std::vector<catalogue::Edit> Applied;
  std::vector<api::Command> Commands;
  // Outcomes of the next calls that replace the real ones after execution.
  std::vector<std::optional<TransportFailure>> Faults;
  std::string In;
  std::string Out;
  std::string Err;
  int Randoms = 0;

  static catalogue::Catalogue
  storeOf(std::vector<catalogue::Versioned<catalogue::Team>> teams) {
    const Revision latest = teams.back().Changed;
    auto store = catalogue::Catalogue::fromContents({latest, std::move(teams)});
    BOOST_REQUIRE(isOk(store));
    return valueOf(std::move(store));
  }

  Result<api::Reply> edit(const api::EditCatalogue &command) {
    const Revision before = Store.latest();
    const Result<Revision> at = command.IsDryRun ? Store.check(command.Edit)
                                                 : Store.apply(command.Edit);
    if (!isOk(at))
      return errorOf(at);
    if (Store.latest() != before)
      Applied.push_back(command.Edit);
    return api::EditReceipt{valueOf(at), true};
  }

  // Request "pf.gone" is not known; "pf.done" has ended.
  static Result<api::Reply> cancel(const api::Cancel &command) {
    const std::string &id = command.Request.str();
    if (id == "pf.gone")
      return Error{ErrorKind::NotFound, "nothing there", "look elsewhere"};
    return fate::FateView{command.Request, TeamId("events"), EntryId("e"),
                          id == "pf.done" ? fate::FateState::Finished
                                          : fate::FateState::Cancelled};
  }

  Result<api::Reply> execute(const api::Command &command) {
    Commands.push_back(command);
    if (const auto *wanted = std::get_if<api::EditCatalogue>(&command))
      return edit(*wanted);
    if (std::holds_alternative<api::GetCatalogue>(command))
      return Store.contents();
    if (const auto *get = std::get_if<api::GetHistory>(&command))
      return Store.history(get->MaxLines);
    if (const auto *wanted = std::get_if<api::Cancel>(&command))
      return cancel(*wanted);
    if (const auto *submit = std::get_if<api::Submit>(&command))
      return fate::FateView{submit->Request, TeamId("events"), submit->Entry,
                            fate::FateState::Queued};
    if (const auto *get = std::get_if<api::GetFate>(&command))
      return fate::FateView{get->Request, TeamId("events"), EntryId("invoices"),
                            fate::FateState::Failed};
    if (std::holds_alternative<api::GetStatus>(command))
      return api::FleetStatus{HostId("e1"), ZoneId("pf")};
    return Error{ErrorKind::NotFound, "nothing there", "look elsewhere"};
  }

  TransportOutcome send(const HttpCall &call) {
    const std::vector<std::string> parts = absl::StrSplit(call.Target, '?');
    http::HttpRequest request{std::string(nameIn(http::MethodNames, call.Verb)),
                              parts[0]};
    if (parts.size() > 1) {
      const std::vector<std::string> field = absl::StrSplit(parts[1], '=');
      request.Query[field[0]] = field[1];
    }
    if (!call.Token.empty())
      request.Authorization = "Bearer " + call.Token;
    request.Body = call.Body;
    const auto match = http::matchRoute(request.Method, request.Path);
    BOOST_REQUIRE(isOk(match));
    auto command = http::toCommand(valueOf(match), request, {});
    BOOST_REQUIRE(isOk(command));
    const auto reply = execute(valueOf(std::move(command)));
    const http::HttpAnswer answer =
        isOk(reply) ? http::toAnswer(valueOf(match).Target, valueOf(reply))
                    : http::toAnswer(errorOf(reply));
    return http::HttpReply{answer.Status, answer.Body};
  }

  AppHooks hooks() {
    AppHooks hooks;
    hooks.Connect = [this](const std::string &) {
      return [this](const Address &, const HttpCall &call) -> TransportOutcome {
        std::optional<TransportFailure> fault;
        if (!Faults.empty()) {
          fault = Faults.front();
          Faults.erase(Faults.begin());
        }
        if (fault == TransportFailure::NotConnected)
          return *fault;
        TransportOutcome outcome = send(call);
        return fault ? TransportOutcome(*fault) : outcome;
      };
    };
    hooks.Print = [this](const std::string &text) { Out += text; };
    hooks.PrintError = [this](const std::string &text) { Err += text; };
    hooks.Progress = [](const std::string &) {};
    hooks.ReadInput = [this] { return In; };
    hooks.Random = [this](std::size_t n) {
      return std::string(2 * n - 1, 'a') + std::to_string(++Randoms % 10);
    };
    hooks.Sleep = [](Duration) {};
    hooks.Environment = [](const std::string &) { return std::nullopt; };
    return hooks;
  }

  ExitCode run(const std::vector<std::string> &args) {
    return runApp(args, hooks());
  }
};

// A catalogue file that is removed at the end of the test.
class TestFile {
public:
  explicit TestFile(absl::string_view text)
      : Path(std::filesystem::temp_directory_path() /
             absl::StrCat("jujube_ctl_test_", getpid(), ".json")) {
    std::ofstream(Path) << text;
  }
  ~TestFile() { std::filesystem::remove(Path); }
  std::string path() const { return Path; }

private:
  std::filesystem::path Path;
};

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
  // The entry's edit never arrives.
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
  // Another operator undoes a part; the repeated run doesn't do it again.
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

BOOST_AUTO_TEST_CASE(AWaveOfCancelsGoesOnAfterRefusals) {
  World world;
  world.In = "pf.done\n\npf.gone\nno spaces\n";
  for (int i = 0; i < 2000; ++i)
    absl::StrAppend(&world.In, "pf.r", i, "\n");
  BOOST_TEST((world.run({"cancel", "--ids-file", "-"}) == ExitCode::Refused));
  BOOST_REQUIRE(world.Commands.size() == 2002U);
  // The last first, so that nothing starts in the place of what is stopped.
  BOOST_TEST(std::get<api::Cancel>(world.Commands.front()).Request.str() ==
             "pf.r1999");
  BOOST_TEST(absl::StrContains(
      world.Out, "2003 requests: 1 finished, 2000 cancelled, 2 refused\n"));
  BOOST_TEST(absl::StrContains(world.Err, "pf.gone: not_found: nothing there"));
  BOOST_TEST(absl::StrContains(world.Err, "no spaces: invalid_argument"));
}

BOOST_AUTO_TEST_CASE(ACutWaveOfCancelsTellsHowFarItCame) {
  World world;
  world.In = "pf.a\npf.b\npf.c\n";
  world.Faults = {std::nullopt};
  world.Faults.resize(100, TransportFailure::NoAnswer);
  BOOST_TEST(
      (world.run({"cancel", "--ids-file", "-"}) == ExitCode::Unreachable));
  BOOST_TEST(absl::StrContains(world.Err, "1 of 3 requests were answered"));
  BOOST_TEST(absl::StrContains(world.Err, "repeat the command"));
  BOOST_TEST((world.run({"cancel"}) == ExitCode::Usage));
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
  // Repeating it must not show a secret that is not the key's.
  for (int i = 0; i < 2; ++i)
    (void)world.run({"key", "issue", "events", "k2", "--id", "monday"});
  BOOST_TEST(world.Applied.size() == 2U);
  BOOST_TEST(absl::StrContains(world.Err, "k2"));
}

BOOST_AUTO_TEST_CASE(ASubmitThatMayHaveArrivedIsToBeResentWithItsId) {
  World world;
  world.Faults.assign(100, TransportFailure::NoAnswer);
  BOOST_TEST((world.run({"submit", "invoices", "--zone", "pf"}) ==
              ExitCode::Unreachable));
  BOOST_TEST(absl::StrContains(world.Err, "resend it with --id pf.aaa"));
}

BOOST_AUTO_TEST_CASE(ALiveCallIsNotRepeatedWhenItsAnswerIsLost) {
  World world;
  world.Faults = {TransportFailure::NoAnswer};
  BOOST_TEST((world.run({"call", "yard-desk", "--zone", "pf"}) ==
              ExitCode::Unreachable));
  BOOST_TEST(world.Commands.size() == 1U);
  BOOST_TEST(absl::StrContains(world.Err, "deadline_exceeded"));
}

BOOST_AUTO_TEST_CASE(WorkThatFailedIsSeenInTheExitCode) {
  World world;
  BOOST_TEST((world.run({"submit", "invoices"}) == ExitCode::Done));
  BOOST_TEST(absl::StartsWith(world.Out, "pf.aaaaaaaaaaaaaaa1 queued"));
  BOOST_TEST((world.run({"submit", "invoices", "--wait", "1000", "--zone",
                         "pf"}) == ExitCode::Refused));
  BOOST_TEST(absl::StrContains(world.Out, "failed"));
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
