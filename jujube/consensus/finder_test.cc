// When a host forms a group, and when it abandons its own group.
#include "jujube/consensus/finder.h"

#include <boost/test/unit_test.hpp>

#include <string>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {
namespace {

constexpr Instant Begin = Instant::fromMillis(10'000);
constexpr Instant Later = Instant::fromMillis(13'000);

HostId hostId(int i) { return HostId("host" + std::to_string(i)); }

const GroupId Own{hostId(1), Incarnation{1}};
const GroupId Other{hostId(2), Incarnation{1}};

// Options of host1 of five hosts.
Options optionsOf(Formation rule) {
  Options options;
  for (int i = 1; i <= 5; ++i)
    options.Configured.push_back(Peer{hostId(i), Address{"127.0.0.1", 1}});
  options.Self = options.Configured.front();
  options.HostIncarnation = Incarnation{1};
  options.Rule = rule;
  return options;
}

const Options Diskless = optionsOf(Formation::WhenMajorityEmpty);

// A membership with the first incarnations of `hosts` as voters.
Membership votersOf(const std::vector<int> &hosts) {
  Membership members;
  for (const int i : hosts)
    members.Members.push_back(
        Member{hostId(i), Incarnation{1}, Address{"127.0.0.1", 1}, true});
  return members;
}

// The replies to one round of probes.
class Round {
public:
  explicit Round(GroupFinder &finder, Instant now)
      : Finder(finder), Now(now), Nonce(finder.beginRound()) {}

  Round &reply(int host, const GroupId &group, uint64_t start,
               bool isServing = false, bool canBeElected = false) {
    const ProbeReply body{Nonce, Address{"127.0.0.1", 1}, isServing,
                          canBeElected};
    const Message message{group, Term{}, Incarnation{start}, Incarnation{1},
                          body};
    Finder.recordReply(hostId(host), message, body, Now);
    return *this;
  }

private:
  GroupFinder &Finder;
  Instant Now;
  uint64_t Nonce;
};

BOOST_AUTO_TEST_SUITE(GroupFinderTest)

BOOST_AUTO_TEST_CASE(FormsGroupOnceTheLeaseOfAnEarlierGroupHasEnded) {
  GroupFinder finder(Begin, 7);
  const Instant refusalEnd = Begin + voteRefusal(Diskless);
  Round(finder, Begin)
      .reply(2, {}, 1)
      .reply(3, {}, 1)
      .reply(4, {}, 1)
      .reply(5, {}, 1);
  BOOST_TEST(!finder.initialMembers(Diskless, refusalEnd - Duration::millis(1))
                  .has_value());
  BOOST_TEST(finder.initialMembers(Diskless, refusalEnd)->Members.size() == 5U);
  // Expired replies are ignored.
  BOOST_TEST(!finder.initialMembers(Diskless, Later).has_value());
}

BOOST_AUTO_TEST_CASE(MajorityFormsGroupAfterTheWaitUnlessAnotherGroupServes) {
  GroupFinder finder(Begin, 7);
  const Instant refusalEnd = Begin + voteRefusal(Diskless);
  Round(finder, refusalEnd).reply(2, {}, 1).reply(3, {}, 1);
  BOOST_TEST(!finder.initialMembers(Diskless, refusalEnd).has_value());
  Round(finder, Later).reply(2, {}, 1).reply(3, {}, 2);
  const auto members = finder.initialMembers(Diskless, Later);
  BOOST_REQUIRE(members.has_value());
  BOOST_TEST(voterCount(*members) == 3U);
  BOOST_TEST(findMember(*members, hostId(3))->HostIncarnation.Value == 2U);
  BOOST_TEST(!finder.initialMembers(optionsOf(Formation::WhenAllEmpty), Later)
                  .has_value());
  BOOST_TEST(
      !finder.initialMembers(optionsOf(Formation::Never), Later).has_value());
  Options second = Diskless;
  second.Self = second.Configured[1];
  BOOST_TEST(!finder.initialMembers(second, Later).has_value());
  Round(finder, Later).reply(4, Other, 1, true);
  BOOST_TEST(!finder.initialMembers(Diskless, Later).has_value());
  BOOST_TEST((finder.servingGroup(Diskless, Own, Later) == Other));
}

BOOST_AUTO_TEST_CASE(RepliesToOtherRoundsAreIgnored) {
  GroupFinder finder(Begin, 7);
  Round stale(finder, Later);
  (void)finder.beginRound();
  stale.reply(2, Other, 1, true);
  BOOST_TEST(!finder.servingGroup(Diskless, Own, Later).has_value());
}

BOOST_AUTO_TEST_CASE(GroupIsUnrecoverableWhenTooFewHostsRemain) {
  const Membership members = votersOf({1, 2, 3, 4, 5});
  GroupFinder finder(Begin, 7);
  const auto isUnrecoverable = [&](bool canBeElected) {
    return finder.isGroupUnrecoverable(Diskless, Own, members, canBeElected,
                                       Later);
  };
  Round round(finder, Later);
  // A later incarnation, a member of another group, and a member of this group.
  round.reply(2, {}, 2).reply(3, Other, 1).reply(4, Own, 1);
  BOOST_TEST(!isUnrecoverable(true));
  // A blank host in the incarnation that is listed may still join the group.
  round.reply(5, {}, 1);
  BOOST_TEST(!isUnrecoverable(true));
  // Without a reply from host5, too few hosts remain for a majority.
  GroupFinder other(Begin, 7);
  Round(other, Later).reply(2, {}, 2).reply(3, Other, 1).reply(4, {}, 3);
  BOOST_TEST(other.isGroupUnrecoverable(Diskless, Own, members, true, Later));
}

BOOST_AUTO_TEST_CASE(GroupIsUnrecoverableWhenAllRepliedAndNoneCanBeElected) {
  const Membership members = votersOf({1, 2, 3});
  GroupFinder finder(Begin, 7);
  const auto isUnrecoverable = [&](bool canBeElected) {
    return finder.isGroupUnrecoverable(Diskless, Own, members, canBeElected,
                                       Later);
  };
  Round round(finder, Later);
  round.reply(2, Own, 1).reply(3, Own, 1).reply(4, {}, 2);
  BOOST_TEST(!isUnrecoverable(false));
  round.reply(5, {}, 2);
  BOOST_TEST(isUnrecoverable(false));
  BOOST_TEST(!isUnrecoverable(true));
  round.reply(3, Own, 1, false, true);
  BOOST_TEST(!isUnrecoverable(false));
}

BOOST_AUTO_TEST_CASE(LostMembersNeverVoteAgain) {
  const Membership members = votersOf({1, 2, 3, 4, 5});
  GroupFinder finder(Begin, 7);
  Round(finder, Later)
      .reply(2, {}, 2)
      .reply(3, Other, 1)
      .reply(4, Own, 1)
      .reply(5, {}, 1);
  BOOST_TEST((finder.lostMembers(Diskless, Own, members, Later) ==
              std::set<HostId>{hostId(2), hostId(3)}));
  BOOST_TEST(!finder.lacksHostMajority(Diskless, Own, Later));
  Round(finder, Later).reply(2, Other, 1).reply(4, Other, 1).reply(5, Other, 1);
  BOOST_TEST(finder.lacksHostMajority(Diskless, Own, Later));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::consensus
