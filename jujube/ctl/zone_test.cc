#include <boost/test/unit_test.hpp>

#include "jujube/ctl/test_world.h"

namespace jujube::ctl {
namespace {

// A control group that answers every call with the same body.
struct ControlGroup {
  std::string Body;
  std::vector<std::string> Targets;
  World Terminal;

  ExitCode run(const std::vector<std::string> &args) {
    AppHooks hooks = Terminal.hooks();
    hooks.Connect = [this](const std::string &) {
      return [this](const Address &, const HttpCall &call) -> TransportOutcome {
        Targets.push_back(absl::StrCat(nameIn(http::MethodNames, call.Verb),
                                       " ", call.Target));
        return http::HttpResult{200, Body};
      };
    };
    return runApp(args, hooks);
  }
};

BOOST_AUTO_TEST_SUITE(ZoneCommandsTest)

BOOST_AUTO_TEST_CASE(OrdersAreSentToTheControlGroup) {
  ControlGroup group{R"({"is_done":true})"};
  BOOST_TEST((group.run({"zone", "evacuate", "north"}) == ExitCode::Done));
  BOOST_TEST((group.run({"zone", "restore", "north"}) == ExitCode::Done));
  BOOST_TEST(group.Targets ==
                 (std::vector<std::string>{"POST /v1/zones/north/evacuate",
                                           "POST /v1/zones/north/restore"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EvacuatedZonesAreListed) {
  ControlGroup group{R"({"evacuated":["north","south"]})"};
  BOOST_TEST((group.run({"zone", "list"}) == ExitCode::Done));
  BOOST_TEST(group.Terminal.Out == "evacuated: north, south\n");
}

BOOST_AUTO_TEST_CASE(NameThatIsNoZoneIsRefusedBeforeAnyCall) {
  ControlGroup group;
  BOOST_TEST((group.run({"zone", "evacuate", "a/b"}) == ExitCode::Refused));
  BOOST_TEST(group.Targets.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::ctl
