#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

#include "jujube/wire/leader_client.h"

namespace jujube::wire {
namespace {

const Address First{"127.0.0.1", 1};
const Address Second{"127.0.0.1", 2};
const Address Third{"127.0.0.1", 3};
const Duration Timeout = Duration::seconds(6);

// A client of three members whose packets are read from a mailbox.
struct Caller {
  ManualClock Time;
  runtime::PollLoop Loop{Time.clock()};
  PacketMailbox Outbox = runtime::makeMailbox<Packet>(100);
  Messenger Messages{Loop, HostId("caller"), Address{"127.0.0.1", 9}, Outbox};
  LeaderClient Client{Loop, Messages};
  std::vector<Result<Message>> Done;

  Caller() { Client.setMembers({First, Second, Third}); }

  void call() {
    Client.call(ReadZone{}, Timeout, [this](const Result<Message> &reply) {
      Done.push_back(reply);
    });
  }

  // Lets the pause between attempts pass.
  void pause() {
    Time.advance(Duration::millis(100));
    (void)Loop.runOnce();
  }

  // Where the packets since the last call went.
  std::vector<Address> asked() {
    std::vector<Address> all;
    for (const Packet &packet : Outbox->drain())
      all.push_back(packet.To);
    return all;
  }

  // Answers the packet as its receiver.
  void answer(const Packet &packet, const Message &what) {
    const auto request = valueOf(decodeEnvelope(packet.Payload));
    (void)Messages.receive(Delivery{encodeEnvelope(
        {HostId("member"), packet.To, request.Correlation, true, what})});
  }
};

BOOST_AUTO_TEST_SUITE(LeaderClientSuite)

BOOST_AUTO_TEST_CASE(CallToALostMemberGoesToTheNextOne) {
  Caller caller;
  caller.call();
  BOOST_TEST((caller.asked() == std::vector{First}));
  (void)caller.Messages.receive(PeerLost{First});
  caller.pause();
  BOOST_TEST((caller.asked() == std::vector{Second}));
  BOOST_TEST(caller.Done.empty());
}

BOOST_AUTO_TEST_CASE(LossOfAnotherPeerChangesNothing) {
  Caller caller;
  caller.call();
  (void)caller.asked();
  (void)caller.Messages.receive(PeerLost{Second});
  caller.pause();
  BOOST_TEST(caller.asked().empty());
}

BOOST_AUTO_TEST_CASE(WaitingCallsMoveToTheLeaderThatTookOver) {
  Caller caller;
  caller.call();
  caller.call();
  (void)caller.asked();
  caller.Client.takeLeader(Third);
  caller.pause();
  BOOST_TEST((caller.asked() == std::vector{Third, Third}));
}

BOOST_AUTO_TEST_CASE(LeaderOutsideOfTheGroupIsNotTaken) {
  Caller caller;
  caller.call();
  (void)caller.asked();
  caller.Client.takeLeader(Address{"127.0.0.1", 4});
  caller.pause();
  BOOST_TEST(caller.asked().empty());
}

BOOST_AUTO_TEST_CASE(CallEndsOnceThoughBothMembersAnswer) {
  Caller caller;
  caller.call();
  const Packet early = caller.Outbox->drain().front();
  caller.Client.takeLeader(Second);
  caller.pause();
  const Packet late = caller.Outbox->drain().front();
  caller.answer(early, Done{});
  BOOST_TEST(caller.Done.empty());
  caller.answer(late, Done{});
  caller.answer(late, Done{});
  BOOST_REQUIRE(caller.Done.size() == 1U);
  BOOST_TEST(isOk(caller.Done.front()));
}

BOOST_AUTO_TEST_CASE(CallWithoutAReachableMemberEndsAtItsTimeout) {
  Caller caller;
  caller.call();
  for (Duration passed; passed <= Timeout && caller.Done.empty();
       passed = passed + Duration::millis(100)) {
    for (const Address &member : {First, Second, Third})
      (void)caller.Messages.receive(PeerLost{member});
    caller.pause();
  }
  BOOST_REQUIRE(caller.Done.size() == 1U);
  BOOST_TEST((errorOf(caller.Done.front()).Kind == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::wire
