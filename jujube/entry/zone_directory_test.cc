#include <boost/test/unit_test.hpp>

#include "jujube/entry/zone_directory.h"

namespace jujube::entry {
namespace {

const ZoneId Own("ubungo");
const Address First{"127.0.0.1", 1};
const Address Second{"127.0.0.1", 2};

wire::HostStatus scheduler(const std::string &name, const Address &at,
                           uint64_t term) {
  return {
      {HostId(name), catalogue::HostRole::Zone, Own, at}, term > 0, Term{term}};
}

struct Fixture {
  ManualClock Time;
  runtime::PollLoop Loop{Time.clock()};
  wire::PacketMailbox Outbox = runtime::makeMailbox<wire::Packet>(10);
  wire::Messenger Messages{Loop, HostId("entry"), Address{"127.0.0.1", 9},
                           Outbox};
  ZoneDirectory Zones{Loop, Messages, Own, {First, Second}};
};

BOOST_AUTO_TEST_SUITE(ZoneDirectorySuite)

BOOST_AUTO_TEST_CASE(ListThatIsBehindDoesNotBringBackAReplacedLeader) {
  Fixture fixture;
  const std::vector<wire::HostStatus> behind = {scheduler("a", First, 3),
                                                scheduler("b", Second, 0)};
  fixture.Zones.update(behind);
  BOOST_TEST((fixture.Zones.own().leader() == First));
  fixture.Zones.announceLeader(Own, Second);
  fixture.Zones.update(behind);
  BOOST_TEST((fixture.Zones.own().leader() == Second));
}

BOOST_AUTO_TEST_CASE(ListedLeaderOfALaterTermIsTaken) {
  Fixture fixture;
  fixture.Zones.update({scheduler("a", First, 3), scheduler("b", Second, 0)});
  fixture.Zones.update({scheduler("a", First, 3), scheduler("b", Second, 4)});
  BOOST_TEST((fixture.Zones.own().leader() == Second));
}

BOOST_AUTO_TEST_CASE(AnnouncementOfAnUnknownZoneIsIgnored) {
  Fixture fixture;
  fixture.Zones.announceLeader(ZoneId("temeke"), Second);
  BOOST_TEST(fixture.Zones.find(ZoneId("temeke")) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::entry
