// Tests of the request commands of jujubectl.
#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "jujube/ctl/test_world.h"

namespace jujube::ctl {

BOOST_AUTO_TEST_SUITE(WorkTest)

BOOST_AUTO_TEST_CASE(AKeyIsReadFromAFileThatOnlyItsOwnerMayRead) {
  World world;
  const TestFile key("k1.0123456789abcdef\n");
  const std::vector<std::string> args = {"submit", "invoices",   "--zone",
                                         "pf",     "--key-file", key.path()};
  std::filesystem::permissions(key.path(), std::filesystem::perms(0644));
  BOOST_TEST((world.run(args) == ExitCode::Usage));
  std::filesystem::permissions(key.path(), std::filesystem::perms(0600));
  BOOST_TEST((world.run(args) == ExitCode::Done));
  BOOST_REQUIRE(world.Commands.size() == 1U);
  BOOST_TEST(std::get<api::Submit>(world.Commands[0]).PresentedKey ==
             "k1.0123456789abcdef");
  BOOST_TEST((world.run({"submit", "invoices", "--key", "a.b", "--key-file",
                         key.path()}) == ExitCode::Usage));
}

BOOST_AUTO_TEST_CASE(AWaveOfCancelsGoesOnAfterRefusals) {
  World world;
  world.In = "pf.done\n\npf.gone\nno spaces\n";
  for (int i = 0; i < 2000; ++i)
    absl::StrAppend(&world.In, "pf.r", i, "\n");
  BOOST_TEST((world.run({"cancel", "--ids-file", "-"}) == ExitCode::Refused));
  BOOST_REQUIRE(world.Commands.size() == 2002U);
  // Requests are cancelled in reverse order, so that no queued request starts
  // in place of a stopped one.
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

BOOST_AUTO_TEST_CASE(HistogramsOfEachServerGoOnAfterOneThatIsGone) {
  World world;
  world.Faults = {TransportFailure::NotConnected};
  BOOST_TEST((world.run({"histogram", "--each", "--server",
                         "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3"}) ==
              ExitCode::Refused));
  BOOST_TEST(absl::StrContains(world.Err, "no connection to 127.0.0.1:1"));
  const std::vector<std::string> hosts =
      absl::StrSplit(world.Out, "== e1 in pf\nwait_ms{");
  BOOST_TEST(hosts.size() == 3U);
  world.Out.clear();
  BOOST_TEST((world.run({"histogram", "--each", "--json", "--team", "farms"}) ==
              ExitCode::Done));
  BOOST_TEST(world.Out == R"({"host":"e1","zone":"pf","metrics":)"
                          R"({"counters":[],"histograms":[]}})"
                          "\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube::ctl
