#include "jujube/control/zone_calls.h"

#include <boost/test/unit_test.hpp>
#include <utility>

namespace jujube::control {
namespace {

std::optional<Result<jobs::Command>> decode(const std::string &method,
                                            const std::string &path) {
  return decodeZoneCall(
      {method, path, "", [](const std::string &) { return std::string(); }});
}

template <typename Command>
void checkZone(const std::string &path, const ZoneId &zone) {
  const auto command = decode("POST", path);
  BOOST_REQUIRE(command.has_value());
  BOOST_REQUIRE(isOk(*command));
  const auto *what = std::get_if<Command>(&valueOf(*command));
  BOOST_REQUIRE(what != nullptr);
  BOOST_TEST(what->Zone.str() == zone.str());
}

BOOST_AUTO_TEST_SUITE(ZoneCallsTest)

BOOST_AUTO_TEST_CASE(OrdersNameTheirZone) {
  checkZone<jobs::EvacuateZone>("/v1/zones/north/evacuate", ZoneId("north"));
  checkZone<jobs::RestoreZone>("/v1/zones/north/restore", ZoneId("north"));
}

BOOST_AUTO_TEST_CASE(OtherCallsAboutZonesAreRefused) {
  for (const char *path :
       {"/v1/zones/north", "/v1/zones//evacuate", "/v1/zones/no th/evacuate",
        "/v1/zones/north/empty", "/v1/zones/evacuate"}) {
    const auto command = decode("POST", path);
    BOOST_REQUIRE_MESSAGE(command.has_value(), path);
    BOOST_TEST(!isOk(*command), path);
  }
  BOOST_TEST(!isOk(*decode("GET", "/v1/zones/north/evacuate")));
}

BOOST_AUTO_TEST_CASE(OtherPathsAreNotTaken) {
  BOOST_TEST(!decode("GET", "/v1/zonesmore").has_value());
  BOOST_TEST(!decode("PUT", "/config").has_value());
}

BOOST_AUTO_TEST_CASE(RepliesAreEncoded) {
  const auto listed = encodeZoneAnswer(
      jobs::Reply(jobs::EvacuatedZones{{ZoneId("a"), ZoneId("b")}}));
  BOOST_TEST(listed.Status == 200);
  BOOST_TEST(listed.Body == R"({"evacuated":["a","b"]})");
  BOOST_TEST(encodeZoneAnswer(jobs::Reply(jobs::Stored{})).Status == 200);
  for (const auto &[kind, status] : {std::pair(ErrorKind::NotRun, 503),
                                     {ErrorKind::OutcomeUnknown, 504},
                                     {ErrorKind::InvalidArgument, 400}})
    BOOST_TEST(encodeZoneAnswer(Error{kind, "message", "remedy"}).Status ==
               status);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::control
