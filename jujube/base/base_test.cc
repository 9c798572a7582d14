#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/base/ids.h"
#include "jujube/base/resources.h"
#include "jujube/base/secret_file.h"
#include "jujube/base/settings.h"

namespace jujube {
namespace {

const std::vector<SettingSpec> Specs = {
    {"listen", SettingKind::AddressText, "127.0.0.1:7000", "where to listen"},
    {"pool", SettingKind::Integer, "8", "threads", false, 1, 64},
    {"data", SettingKind::Text, "", "data folder", true},
    {"verbose", SettingKind::Switch, "false", "more output"},
};

std::optional<std::string> noEnvironment(const std::string &) {
  return std::nullopt;
}

BOOST_AUTO_TEST_SUITE(BaseSuite)

BOOST_AUTO_TEST_CASE(FlagOverridesEnvironmentAndDefault) {
  const EnvironmentHook environment = [](const std::string &name) {
    return name == "JUJUBE_POOL" ? std::optional<std::string>("9")
                                 : std::nullopt;
  };
  const auto fromEnvironment =
      Settings::parse(Specs, {"--data", "d"}, environment);
  BOOST_REQUIRE(isOk(fromEnvironment));
  BOOST_TEST(valueOf(fromEnvironment).integer("pool") == 9);
  const auto fromFlag = Settings::parse(
      Specs, {"--data=d", "--pool=10", "--verbose", "x"}, environment);
  BOOST_REQUIRE(isOk(fromFlag));
  BOOST_TEST(valueOf(fromFlag).integer("pool") == 10);
  BOOST_TEST(valueOf(fromFlag).isOn("verbose"));
  BOOST_TEST(valueOf(fromFlag).positional().size() == 1U);
  BOOST_TEST(valueOf(fromFlag).address("listen").Port == 7000);
}

BOOST_AUTO_TEST_CASE(BadSettingNamesFlagValueAndRemedy) {
  const auto result =
      Settings::parse(Specs, {"--data=d", "--pool=99"}, noEnvironment);
  BOOST_REQUIRE(!isOk(result));
  BOOST_TEST(errorOf(result).text() ==
             "invalid_argument: --pool has the value '99'; give a whole number "
             "from 1 to 64");
  BOOST_TEST(!isOk(Settings::parse(Specs, {}, noEnvironment)));
  BOOST_TEST(
      !isOk(Settings::parse(Specs, {"--data=d", "--wrong=1"}, noEnvironment)));
  BOOST_TEST(
      !isOk(Settings::parse(Specs, {"--data=d", "--listen=x"}, noEnvironment)));
}

BOOST_AUTO_TEST_CASE(IdsAreChecked) {
  BOOST_TEST(isOk(TeamId::parse("events-1")));
  BOOST_TEST(!isOk(TeamId::parse("")));
  BOOST_TEST(!isOk(TeamId::parse("a b")));
  BOOST_TEST(!isOk(TeamId::parse(std::string(MaxIdLength + 1, 'a'))));
  BOOST_TEST(valueOf(homeZone(RequestId("ubungo.7f"))).str() == "ubungo");
  BOOST_TEST(!isOk(homeZone(RequestId("ubungo"))));
}

BOOST_AUTO_TEST_CASE(ErrorQuotesInvalidId) {
  BOOST_TEST(errorOf(TeamId::parse("a b\n")).Message == "bad team id 'a b\\n'");
  const std::string message =
      errorOf(TeamId::parse(std::string(200, 'x'))).Message;
  BOOST_TEST(message.size() < MaxIdLength + 32);
}

// A temporary secret file, removed by the destructor.
class TestSecret {
public:
  TestSecret(const std::string &text, int mode)
      : Path(std::filesystem::temp_directory_path() /
             ("jujube_secret_test_" + std::to_string(getpid()))) {
    std::ofstream(Path) << text;
    std::filesystem::permissions(Path, std::filesystem::perms(mode));
  }
  ~TestSecret() { std::filesystem::remove(Path); }
  std::string path() const { return Path; }

private:
  std::filesystem::path Path;
};

BOOST_AUTO_TEST_CASE(SecretFileAccessibleToOthersIsRejected) {
  const std::string text = "0123456789abcdef";
  {
    const TestSecret ownerOnly(text + " \nmore\n", 0600);
    BOOST_TEST(valueOf(readSecretFile(ownerOnly.path())) == text);
  }
  for (const int mode : {0640, 0604, 0620}) {
    const TestSecret accessible(text, mode);
    const auto secret = readSecretFile(accessible.path());
    BOOST_TEST((errorOf(secret).Kind == ErrorKind::PermissionDenied));
    BOOST_TEST(errorOf(secret).Remedy == "run: chmod 600 " + accessible.path());
  }
  const TestSecret tooShort("0123", 0600);
  BOOST_TEST(errorOf(readSecretFile(tooShort.path())).Remedy ==
             "use at least 16 characters");
  BOOST_TEST(!isOk(readSecretFile(tooShort.path() + ".missing")));
  BOOST_TEST(errorOf(readSecretFile("/")).Message == "'/' is not a file");
}

BOOST_AUTO_TEST_CASE(AddressesAreChecked) {
  BOOST_TEST(valueOf(Address::parse("127.0.0.1:80")).str() == "127.0.0.1:80");
  BOOST_TEST(!isOk(Address::parse("localhost:80")));
  BOOST_TEST(!isOk(Address::parse("127.0.0.1:65536")));
  BOOST_TEST(!isOk(Address::parse("127.0.0.1:-1")));
  BOOST_TEST(!isOk(Address::parse(absl::string_view("127.0.0.1\0x:80", 14))));
  BOOST_TEST(valueOf(parseAddresses("127.0.0.1:1,127.0.0.2:2")).size() == 2U);
}

BOOST_AUTO_TEST_CASE(DominantShareIsTheLargestQuotient) {
  const Resources whole{1000, 2000, 0};
  BOOST_TEST(dominantShare(Resources{100, 1000, 0}, whole) == 0.5);
  BOOST_TEST((Resources{1, 1, 1}.fitsIn(whole)) == false);
}

BOOST_AUTO_TEST_CASE(ManualClockStandsStill) {
  ManualClock manual;
  const Clock clock = manual.clock();
  const Instant start = clock.now();
  manual.advance(Duration::seconds(2));
  BOOST_TEST((clock.now() - start).millis() == 2000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube
