#include <boost/test/unit_test.hpp>

#include <utility>

#include "jujube/keeper/host_roster.h"

namespace jujube::keeper {
namespace {

constexpr Duration Timeout = Duration::seconds(5);

Instant at(int64_t seconds) { return Instant::fromMillis(seconds * 1000); }

wire::HostStatus host(const std::string &id, bool isLeader = false,
                      uint64_t term = 1) {
  return {{HostId(id), catalogue::HostRole::Zone, ZoneId("ubungo"),
           Address{"127.0.0.1", 1}},
          isLeader,
          Term{term}};
}

BOOST_AUTO_TEST_SUITE(HostRosterSuite)

BOOST_AUTO_TEST_CASE(VersionChangesOnlyWithTheList) {
  HostRoster roster(Timeout);
  roster.lead(Term{1});
  BOOST_TEST(roster.record(host("a"), at(0)));
  BOOST_TEST(roster.record(host("b"), at(0)));
  const wire::HostListVersion before = roster.version();
  BOOST_TEST(!roster.record(host("a"), at(4)));
  roster.expire(at(4));
  BOOST_TEST((roster.version() == before));
  BOOST_TEST(roster.hosts().size() == 2U);
}

BOOST_AUTO_TEST_CASE(NewStatusSilenceAndReturnGiveNewVersions) {
  HostRoster roster(Timeout);
  roster.lead(Term{1});
  roster.record(host("a"), at(0));
  roster.record(host("b"), at(0));
  auto isChanged = [&, last = roster.version()]() mutable {
    return std::exchange(last, roster.version()) != roster.version();
  };
  roster.record(host("a", true, 2), at(3));
  BOOST_TEST(isChanged());
  roster.expire(at(5));
  BOOST_TEST(isChanged());
  BOOST_TEST(roster.hosts().size() == 1U);
  BOOST_TEST(roster.hosts().front().IsLeader);
  BOOST_TEST(roster.record(host("b"), at(6)));
  BOOST_TEST(isChanged());
  BOOST_TEST(!isChanged());
}

// Each leader counts changes on its own, so equal counts of two leaders may
// stand for different lists.
BOOST_AUTO_TEST_CASE(VersionsOfAnotherLeaderAreVoid) {
  HostRoster first(Timeout);
  first.lead(Term{1});
  first.record(host("a"), at(0));
  HostRoster second(Timeout);
  second.lead(Term{2});
  second.record(host("b"), at(0));
  BOOST_TEST((first.version() != second.version()));
  BOOST_TEST((first.version() != wire::HostListVersion{}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::keeper
