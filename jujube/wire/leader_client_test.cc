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

// A LeaderClient of a group of three members, whose packets end in a mailbox.
struct ClientFixture {
  ManualClock Time;
  runtime::PollLoop Loop{Time.clock()};
  PacketMailbox Outbox = runtime::makeMailbox<Packet>(100);
  Messenger Messages{Loop, HostId("caller"), Address{"127.0.0.1", 9}, Outbox};
  LeaderClient Client{Loop, Messages};
  std::vector<Result<Message>> Done;

  ClientFixture() { Client.setMembers({First, Second, Third}); }

  void call() {
    Client.call(ReadZone{}, Timeout, [this](const Result<Message> &reply) {
      Done.push_back(reply);
    });
  }

  // Advances the clock past the delay between attempts.
  void passRetryDelay() {
    Time.advance(Duration::millis(100));
    (void)Loop.runOnce();
  }

  // Returns the receivers of the packets sent since the last call of this
  // function.
  std::vector<Address> drainReceivers() {
    std::vector<Address> all;
    for (const Packet &packet : Outbox->drain())
      all.push_back(packet.To);
    return all;
  }

  // Delivers a reply to the request in `packet`, as from its receiver.
  void deliverReply(const Packet &packet, const Message &message) {
    const auto request = valueOf(decodeEnvelope(packet.Payload));
    (void)Messages.receive(Delivery{encodeEnvelope(
        {HostId("member"), packet.To, request.Correlation, true, message})});
  }
};

BOOST_AUTO_TEST_SUITE(LeaderClientSuite)

BOOST_AUTO_TEST_CASE(CallToUnreachableMemberIsRetriedAtTheNext) {
  ClientFixture caller;
  caller.call();
  BOOST_TEST((caller.drainReceivers() == std::vector{First}));
  (void)caller.Messages.receive(PeerLost{First});
  caller.passRetryDelay();
  BOOST_TEST((caller.drainReceivers() == std::vector{Second}));
  BOOST_TEST(caller.Done.empty());
}

BOOST_AUTO_TEST_CASE(LossOfAnotherPeerChangesNothing) {
  ClientFixture caller;
  caller.call();
  (void)caller.drainReceivers();
  (void)caller.Messages.receive(PeerLost{Second});
  caller.passRetryDelay();
  BOOST_TEST(caller.drainReceivers().empty());
}

BOOST_AUTO_TEST_CASE(WaitingCallsMoveToTheLeaderThatTookOver) {
  ClientFixture caller;
  caller.call();
  caller.call();
  (void)caller.drainReceivers();
  caller.Client.announceLeader(Third);
  caller.passRetryDelay();
  BOOST_TEST((caller.drainReceivers() == std::vector{Third, Third}));
}

BOOST_AUTO_TEST_CASE(LeaderOutsideTheGroupIsIgnored) {
  ClientFixture caller;
  caller.call();
  (void)caller.drainReceivers();
  caller.Client.announceLeader(Address{"127.0.0.1", 4});
  caller.passRetryDelay();
  BOOST_TEST(caller.drainReceivers().empty());
}

BOOST_AUTO_TEST_CASE(CallEndsOnceThoughBothMembersAnswer) {
  ClientFixture caller;
  caller.call();
  const Packet early = caller.Outbox->drain().front();
  caller.Client.announceLeader(Second);
  caller.passRetryDelay();
  const Packet late = caller.Outbox->drain().front();
  caller.deliverReply(early, Done{});
  BOOST_TEST(caller.Done.empty());
  caller.deliverReply(late, Done{});
  caller.deliverReply(late, Done{});
  BOOST_REQUIRE(caller.Done.size() == 1U);
  BOOST_TEST(isOk(caller.Done.front()));
}

BOOST_AUTO_TEST_CASE(CallWithoutAReachableMemberEndsAtItsTimeout) {
  ClientFixture caller;
  caller.call();
  for (Duration passed; passed <= Timeout && caller.Done.empty();
       passed = passed + Duration::millis(100)) {
    for (const Address &member : {First, Second, Third})
      (void)caller.Messages.receive(PeerLost{member});
    caller.passRetryDelay();
  }
  BOOST_REQUIRE(caller.Done.size() == 1U);
  BOOST_TEST((errorOf(caller.Done.front()).Kind == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::wire
