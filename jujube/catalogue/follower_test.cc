#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <array>
#include <map>

#include "absl/strings/str_cat.h"

#include "jujube/catalogue/follower.h"
#include "jujube/catalogue/propagation_tracker.h"
#include "testing/state_script.h"

namespace jujube::catalogue {
namespace {

using jujube::testing::drawScript;
using jujube::testing::Step;

constexpr Duration Drift = Duration::millis(500);

Edit putTeam(uint64_t n) {
  const Team team{
      TeamId(absl::StrCat("t", n % 3)), static_cast<uint32_t>(1 + n), {}};
  return {EditId(absl::StrCat("id", n)), Revision{n < 3 ? 0 : n - 2},
          PutTeam{team}, "operator"};
}

// Simulates the keepers' leader and its followers over a network that loses,
// duplicates and reorders messages. Every follower's clock has its own origin
// and rate.
class Network {
public:
  Network() : Tracker(Instant(), FreshnessBound, Drift) {}

  void run(Step step) {
    const uint32_t host = step.take(3);
    switch (step.take(7)) {
    case 0:
      edit();
      break;
    case 1:
      Now = Now + Duration::millis(1 + step.take(2000));
      break;
    case 2:
      // A new leader takes over; it knows no followers.
      Tracker = PropagationTracker(Now, FreshnessBound, Drift);
      break;
    case 3:
      Polls.push_back({host, Followers[host].latest(), localTime(host)});
      break;
    case 4:
    case 5:
      answer(step);
      break;
    default:
      deliver(step);
    }
    checkForce();
  }

private:
  struct Poll {
    uint32_t Host;
    Revision Have;
    Instant SentAt;
  };
  struct Answer {
    Poll To;
    Update What;
  };

  Instant localTime(uint32_t host) const {
    const int64_t rate = 95 + 5 * static_cast<int64_t>(host);
    return Instant::fromMillis(int64_t{7'000'000} * host +
                               Now.millis() * rate / 100);
  }

  void edit() {
    RC_ASSERT(isOk(Keepers.apply(putTeam(Keepers.latest().Value))));
    Recorded[Keepers.latest().Value] = Keepers.contents();
  }

  void answer(Step &step) {
    if (Polls.empty())
      return;
    const std::size_t n = step.take(static_cast<uint32_t>(Polls.size()));
    const Poll poll = Polls[n];
    if (step.flip())
      Polls.erase(Polls.begin() + static_cast<std::ptrdiff_t>(n));
    Update update = Keepers.updateSince(poll.Have);
    update.IsConfirmed = true;
    Tracker.onReply(HostId(absl::StrCat("h", poll.Host)), poll.Have, update.To,
                    Now);
    Answers.push_back({poll, update});
  }

  void deliver(Step &step) {
    if (Answers.empty())
      return;
    const std::size_t n = step.take(static_cast<uint32_t>(Answers.size()));
    const Answer answer = Answers[n];
    if (step.flip())
      Answers.erase(Answers.begin() + static_cast<std::ptrdiff_t>(n));
    CatalogueFollower &follower = Followers[answer.To.Host];
    const Revision before = follower.latest();
    const Result<Revision> result =
        follower.receive(answer.What, answer.To.SentAt);
    RC_ASSERT(follower.latest() >= before);
    RC_ASSERT(isOk(result) || follower.latest() == before);
    if (follower.latest() != Revision{})
      RC_ASSERT(follower.catalogue().contents() ==
                Recorded.at(follower.latest().Value));
  }

  // Checks that every fresh copy holds the latest revision if the tracker
  // reports it as in force.
  void checkForce() {
    if (!Tracker.isInForce(Keepers.latest(), Now))
      return;
    for (uint32_t host = 0; host < Followers.size(); ++host)
      RC_ASSERT(!Followers[host].isFresh(localTime(host)) ||
                Followers[host].latest() == Keepers.latest());
  }

  Instant Now;
  Catalogue Keepers;
  PropagationTracker Tracker;
  std::array<CatalogueFollower, 3> Followers;
  std::map<uint64_t, Contents> Recorded;
  std::vector<Poll> Polls;
  std::vector<Answer> Answers;
};

BOOST_AUTO_TEST_SUITE(FollowerSuite)

RC_BOOST_PROP(CopiesOnlyAdvanceAndFreshCopiesHoldRevisionsInForce, ()) {
  Network network;
  for (const Step step : drawScript(300))
    network.run(step);
}

BOOST_AUTO_TEST_CASE(FollowerFarBehindGetsASnapshot) {
  Catalogue keepers;
  for (uint64_t n = 0; n < MaxRecentEdits + 10; ++n)
    BOOST_REQUIRE(isOk(keepers.apply(putTeam(n))));
  const Update update = keepers.updateSince(Revision{5});
  BOOST_REQUIRE(update.Snapshot.has_value());
  CatalogueFollower follower;
  BOOST_REQUIRE(isOk(follower.receive(update, Instant())));
  BOOST_TEST((follower.catalogue().contents() == keepers.contents()));
  Update older = keepers.updateSince(Revision{5});
  older.To = Revision{100};
  BOOST_TEST((errorOf(follower.receive(older, Instant())).Kind ==
              ErrorKind::StaleData));
}

BOOST_AUTO_TEST_CASE(AuthenticationStopsAtTheFreshnessBound) {
  CatalogueFollower follower;
  BOOST_TEST((errorOf(follower.authenticate("k.s", Instant())).Kind ==
              ErrorKind::Unavailable));
  Update update;
  update.IsConfirmed = true;
  const Instant sentAt = Instant::fromMillis(1000);
  BOOST_REQUIRE(isOk(follower.receive(update, sentAt)));
  BOOST_TEST((errorOf(follower.authenticate("k.s", sentAt)).Kind ==
              ErrorKind::Unauthenticated));
  BOOST_TEST(follower.isFresh(sentAt + FreshnessBound));
  BOOST_TEST(!follower.isFresh(sentAt + FreshnessBound + Duration::millis(1)));
}

BOOST_AUTO_TEST_CASE(RevisionIsInForceOnceEveryHostHasIt) {
  const Instant start = Instant::fromMillis(100'000);
  PropagationTracker tracker(Instant(), FreshnessBound, Drift);
  tracker.onReply(HostId("a"), Revision{1}, Revision{1}, start);
  tracker.onReply(HostId("b"), Revision{1}, Revision{1}, start);
  BOOST_TEST(!tracker.isInForce(Revision{2}, start));
  tracker.onReply(HostId("a"), Revision{2}, Revision{2}, start);
  BOOST_TEST(!tracker.isInForce(Revision{2}, start));
  BOOST_TEST(tracker.isInForce(Revision{2}, start + FreshnessBound + Drift));
  tracker.onReply(HostId("b"), Revision{2}, Revision{2}, start);
  BOOST_TEST(tracker.isInForce(Revision{2}, start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::catalogue
