// Tests the command line of every program: help, version and usage errors.
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "jujube/base/settings.h"

namespace jujube {
namespace {

const std::vector<std::string> Programs = {
    "jujube-entry", "jujube-keeper", "jujube-load",    "jujube-replay",
    "jujube-zone",  "jujubectl",     "standin-runner", "standin-worker"};

struct ProgramExit {
  int Code = -1;
  // Combined standard output and standard error.
  std::string Text;
};

ProgramExit runProgram(const std::string &program, const std::string &args) {
  const std::string folder =
      readEnvironment("JUJUBE_BIN").value_or("build/bin");
  FILE *pipe = popen(
      absl::StrCat(folder, "/", program, " ", args, " 2>&1 </dev/null").c_str(),
      "r");
  BOOST_REQUIRE(pipe != nullptr);
  ProgramExit result;
  for (int c = std::fgetc(pipe); c != EOF; c = std::fgetc(pipe))
    result.Text.push_back(static_cast<char>(c));
  const int status = pclose(pipe);
  result.Code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

std::string variableOf(const std::string &flag) {
  return absl::StrCat("JUJUBE_", absl::AsciiStrToUpper(
                                     absl::StrReplaceAll(flag, {{"-", "_"}})));
}

} // namespace

BOOST_AUTO_TEST_SUITE(HelpTest)

BOOST_AUTO_TEST_CASE(EveryProgramIsTested) {
  for (const auto &item : std::filesystem::directory_iterator("programs")) {
    const std::string name =
        absl::StrReplaceAll(item.path().stem().string(), {{"_", "-"}});
    if (!absl::EndsWith(name, "-test"))
      BOOST_TEST((std::ranges::find(Programs, name) != Programs.end()), name);
  }
}

BOOST_AUTO_TEST_CASE(HelpListsFlagsWithTheirVariablesAndDefaults) {
  const std::regex row(
      R"(  --([a-z-]+) <[^>]+>  .+ \[(JUJUBE_[A-Z_]+); (required|default '.*')\])");
  for (const std::string &program : Programs) {
    const ProgramExit help = runProgram(program, "--help");
    BOOST_TEST(help.Code == 0, program);
    std::size_t flags = 0;
    const std::vector<std::string> lines = absl::StrSplit(help.Text, '\n');
    for (const std::string &line : lines) {
      if (!absl::StartsWith(line, "  --") || line == "  --help, --version")
        continue;
      ++flags;
      std::smatch parts;
      BOOST_REQUIRE_MESSAGE(std::regex_match(line, parts, row), line);
      BOOST_TEST(parts[2] == variableOf(parts[1]));
    }
    BOOST_TEST(flags > 0U, program);
    BOOST_TEST(absl::StrContains(help.Text, "  --help, --version"), program);
  }
}

BOOST_AUTO_TEST_CASE(VersionIsPrinted) {
  for (const std::string &program : Programs) {
    const ProgramExit version = runProgram(program, "--version");
    BOOST_TEST(version.Code == 0, program);
    BOOST_TEST(absl::StrContains(version.Text, "0.1.0"), program);
  }
}

BOOST_AUTO_TEST_CASE(AWrongFlagIsAUsageErrorThatNamesIt) {
  for (const std::string &program : Programs) {
    const ProgramExit wrong = runProgram(program, "--no-such-flag=1");
    BOOST_TEST(wrong.Code == UsageExitCode, program);
    BOOST_TEST(absl::StrContains(wrong.Text, "--no-such-flag"), wrong.Text);
    BOOST_TEST(absl::StrContains(wrong.Text, "see --help"), wrong.Text);
  }
}

BOOST_AUTO_TEST_CASE(AMissingOrWrongValueIsAUsageErrorWithARemedy) {
  const ProgramExit missing = runProgram("jujube-keeper", "--keepers a=b");
  BOOST_TEST(missing.Code == UsageExitCode);
  BOOST_TEST(absl::StrContains(missing.Text,
                               "--host is missing; set --host or JUJUBE_HOST"));
  const ProgramExit wrong = runProgram("jujubectl", "status --server here");
  BOOST_TEST(wrong.Code == UsageExitCode);
  BOOST_TEST(absl::StrContains(wrong.Text, "--server has the value 'here'"));
  const ProgramExit number =
      runProgram("standin-worker", "--entries 127.0.0.1:1 "
                                   "--fleet-token-file /dev/null --count 0");
  BOOST_TEST(number.Code == UsageExitCode);
  BOOST_TEST(absl::StrContains(number.Text, "--count has the value '0'; give"));
}

BOOST_AUTO_TEST_CASE(AZoneNeedsAnOddNumberOfSchedulers) {
  std::string path =
      (std::filesystem::temp_directory_path() / "jujube_help_XXXXXX").string();
  const int fd = mkstemp(path.data());
  BOOST_REQUIRE(fd >= 0);
  close(fd);
  std::ofstream(path) << "0123456789abcdef";
  const ProgramExit even =
      runProgram("jujube-zone",
                 absl::StrCat("--host a --zone z --keepers 127.0.0.1:1 --peers "
                              "a=127.0.0.1:2,b=127.0.0.1:3 --fleet-token-file ",
                              path));
  std::filesystem::remove(path);
  BOOST_TEST(even.Code == UsageExitCode);
  BOOST_TEST(absl::StrContains(even.Text, "--peers names 2 schedulers; name 1"),
             even.Text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujube
