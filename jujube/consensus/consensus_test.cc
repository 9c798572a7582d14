// Tests of a single node and its parts. Tests of several nodes use the driver
// in testing/.
#include "jujube/consensus/node.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "jujube/consensus/quorum.h"

namespace jujube::consensus {
namespace {

constexpr Instant Begin = Instant::fromMillis(10'000);

HostId hostId(int i) { return HostId("host" + std::to_string(i)); }

Member memberAt(int i, bool isVoter = true) {
  return Member{hostId(i), Incarnation{1},
                Address{"127.0.0.1", static_cast<uint16_t>(i)}, isVoter};
}

Membership votersUpTo(int n) {
  Membership members;
  for (int i = 1; i <= n; ++i)
    members.Members.push_back(memberAt(i));
  return members;
}

Options optionsOf(int hosts) {
  Options options;
  for (int i = 1; i <= hosts; ++i)
    options.Configured.push_back(Peer{hostId(i), memberAt(i).At});
  options.Self = options.Configured.front();
  options.HostIncarnation = Incarnation{1};
  return options;
}

LogEntry entryAt(uint64_t index, uint64_t term) {
  return LogEntry{LogIndex{index}, Term{term}, EntryKind::Command, "x", {}};
}

const GroupId Group{hostId(1), Incarnation{1}};

// The state of host1 of a group of three: the initial membership of term 1,
// followed by `extra`.
DurableState stateOfThree(std::vector<LogEntry> extra = {}) {
  DurableState state;
  state.Hard = HardState{Group, Term{2}, HostId(), Incarnation{}};
  state.Entries.push_back(
      LogEntry{LogIndex{1}, Term{1}, EntryKind::Membership, {}, votersUpTo(3)});
  for (LogEntry &entry : extra)
    state.Entries.push_back(std::move(entry));
  return state;
}

Node nodeWith(DurableState state, Options options = optionsOf(3)) {
  return valueOf(Node::create(std::move(options), std::move(state),
                              std::mt19937_64(1), Begin));
}

Message messageOf(uint64_t term, Body body) {
  return Message{Group, Term{term}, Incarnation{1}, Incarnation{1},
                 std::move(body)};
}

Message heartbeat(uint64_t term) {
  return messageOf(term, AppendRequest{LogIndex{1}, Term{1}, {}, {}, 0});
}

// The bodies of type T among the messages sent by `actions`.
template <typename T> std::vector<T> sentBodies(const Actions &actions) {
  std::vector<T> bodies;
  for (const Action &action : actions)
    if (const auto *send = std::get_if<Send>(&action))
      if (const T *body = std::get_if<T>(&send->What.What))
        bodies.push_back(*body);
  return bodies;
}

// The last action of type T; null if there is none.
template <typename T> const T *findLast(const Actions &actions) {
  const T *found = nullptr;
  for (const Action &action : actions)
    if (const T *it = std::get_if<T>(&action))
      found = it;
  return found;
}

// Delivers the message and syncs the resulting changes.
Actions deliver(Node &node, int from, const Message &message, Instant now) {
  Actions actions = node.receive(hostId(from), message, now);
  if (const auto *persist = findLast<Persist>(actions)) {
    Actions more = node.persisted(persist->Serial, now);
    actions.insert(actions.end(), more.begin(), more.end());
  }
  return actions;
}

// Runs the node's timers until it starts an election, then delivers the votes
// of `voters`. Returns the time of the election.
Instant elect(Node &node, const std::vector<int> &voters = {2}) {
  Instant now = Begin;
  while (node.role() != Role::PreCandidate) {
    now = node.nextWake();
    (void)node.tick(now);
  }
  const Term next = node.term().next();
  for (const int host : voters)
    deliver(node, host,
            messageOf(node.term().Value, PreVoteReply{next, true, false}), now);
  for (const int host : voters)
    deliver(node, host, messageOf(next.Value, VoteReply{true, false}), now);
  return now;
}

BOOST_AUTO_TEST_SUITE(ConsensusTest)

BOOST_AUTO_TEST_CASE(QuorumNeverFallsBelowAMajorityOfTheConfiguredHosts) {
  BOOST_TEST(quorumSize(votersUpTo(3), 3) == 2U);
  BOOST_TEST(quorumSize(votersUpTo(2), 3) == 2U);
  BOOST_TEST(quorumSize(votersUpTo(1), 3) == 2U);
  BOOST_TEST(quorumSize(votersUpTo(5), 3) == 3U);
  const auto number = [](const Member &member) -> int {
    return member.At.Port;
  };
  BOOST_TEST(quorumValue<int>(votersUpTo(3), 2, number, -1) == 2);
  BOOST_TEST(quorumValue<int>(votersUpTo(1), 2, number, -1) == -1);
}

BOOST_AUTO_TEST_CASE(OptionsThatBreakTheLeaseAreRefused) {
  BOOST_TEST(isOk(checkOptions(optionsOf(3))));
  Options even = optionsOf(2);
  even.Rule = Formation::WhenMajorityEmpty;
  Options shortLease = optionsOf(3);
  shortLease.Lease = shortLease.Heartbeat;
  Options drift = optionsOf(3);
  drift.MaxDriftPerMille = 600;
  Options duplicate = optionsOf(3);
  duplicate.Configured.push_back(duplicate.Self);
  Options unconfigured = optionsOf(3);
  unconfigured.Self.Host = HostId("stranger");
  for (const Options &options :
       {even, shortLease, drift, duplicate, unconfigured}) {
    const Status status = checkOptions(options);
    BOOST_REQUIRE(!isOk(status));
    BOOST_TEST(!errorOf(status).Remedy.empty());
  }
  // 400 ms * 1.01 / 0.99, rounded up, and a margin for whole milliseconds.
  BOOST_TEST(voteRefusal(optionsOf(3)).millis() == 411);
}

BOOST_AUTO_TEST_CASE(LogKeepsTermsAndMembershipOverCompaction) {
  Log log(stateOfThree({entryAt(2, 1), entryAt(3, 2), entryAt(4, 2)}));
  log.append(
      LogEntry{LogIndex{5}, Term{2}, EntryKind::Membership, {}, votersUpTo(2)});
  BOOST_TEST(log.lastIndexBeforeTermOf(LogIndex{5}).Value == 2U);
  log.compact(LogIndex{3}, "state", 2 * sizeOf(entryAt(3, 2)));
  BOOST_TEST(log.first().Value == 2U);
  BOOST_TEST(log.termAt(LogIndex{1})->Value == 1U);
  BOOST_TEST(!log.termAt(LogIndex{0}).has_value());
  BOOST_TEST((log.base()->Members == votersUpTo(3)));
  log.truncateFrom(LogIndex{5});
  BOOST_TEST((log.membership() == votersUpTo(3)));
  BOOST_TEST(log.slice(LogIndex{3}, 1).size() == 1U);
}

BOOST_AUTO_TEST_CASE(StateWithAGapIsRefused) {
  DurableState state = stateOfThree({entryAt(3, 1)});
  const Result<Node> node =
      Node::create(optionsOf(3), std::move(state), std::mt19937_64(1), Begin);
  BOOST_REQUIRE(!isOk(node));
  BOOST_TEST((errorOf(node).Kind == ErrorKind::CorruptData));
}

// A member refuses votes while a leader's lease may rely on its
// acknowledgements, also right after its own start, unless the leader gave up
// the lease.
BOOST_AUTO_TEST_CASE(VotesAreRefusedUntilTheLeaseEnds) {
  const Duration wait = voteRefusal(optionsOf(3));
  const auto isGranted = [](Node &node, Instant now, bool isTransfer) {
    const Message request =
        messageOf(3, VoteRequest{LogIndex{9}, Term{2}, isTransfer});
    return sentBodies<VoteReply>(deliver(node, 2, request, now))
        .front()
        .IsGranted;
  };
  Node started = nodeWith(stateOfThree());
  const Instant last = Begin + wait - Duration::millis(1);
  BOOST_TEST(!isGranted(started, last, false));
  BOOST_TEST(started.term().Value == 2U);
  deliver(started, 3, heartbeat(2), last);
  BOOST_TEST(!isGranted(started, last + wait - Duration::millis(1), false));
  BOOST_TEST(isGranted(started, last + wait, false));
  Node transferred = nodeWith(stateOfThree());
  deliver(transferred, 3, heartbeat(2), Begin);
  BOOST_TEST(isGranted(transferred, Begin, true));
}

BOOST_AUTO_TEST_CASE(OneVotePerTermIsSyncedBeforeItIsSent) {
  Node node = nodeWith(stateOfThree());
  const Instant now = Begin + voteRefusal(optionsOf(3));
  const Message request =
      messageOf(3, VoteRequest{LogIndex{1}, Term{1}, false});
  const Actions first = node.receive(hostId(2), request, now);
  const auto *persist = findLast<Persist>(first);
  BOOST_REQUIRE(persist != nullptr);
  BOOST_TEST((persist->State->VotedFor == hostId(2)));
  BOOST_TEST(sentBodies<VoteReply>(first).empty());
  const Actions afterSync = node.persisted(persist->Serial, now);
  BOOST_TEST(sentBodies<VoteReply>(afterSync).front().IsGranted);
  BOOST_TEST(
      !sentBodies<VoteReply>(deliver(node, 3, request, now)).front().IsGranted);
  // A later incarnation of the voted-for host is another candidate.
  Message again = request;
  again.FromIncarnation = Incarnation{2};
  BOOST_TEST(
      !sentBodies<VoteReply>(deliver(node, 2, again, now)).front().IsGranted);
}

// A vote is synced even if the term itself was synced before.
BOOST_AUTO_TEST_CASE(VoteInAKnownTermIsSynced) {
  Node node = nodeWith(stateOfThree({entryAt(2, 2)}));
  const Instant now = Begin + voteRefusal(optionsOf(3));
  const Message outdated =
      messageOf(3, VoteRequest{LogIndex{1}, Term{1}, false});
  BOOST_TEST(!sentBodies<VoteReply>(deliver(node, 2, outdated, now))
                  .front()
                  .IsGranted);
  const Message request =
      messageOf(3, VoteRequest{LogIndex{2}, Term{2}, false});
  const Actions actions = node.receive(hostId(3), request, now);
  BOOST_REQUIRE(findLast<Persist>(actions) != nullptr);
  BOOST_TEST((findLast<Persist>(actions)->State->VotedFor == hostId(3)));
}

// Until the refusal time has passed, the lease of an earlier leader may rely on
// acknowledgements of an earlier incarnation of this host.
BOOST_AUTO_TEST_CASE(BlankHostJoinsOnlyAfterTheRefusalTime) {
  Options options = optionsOf(3);
  options.Self = options.Configured[1];
  Node node = nodeWith({}, options);
  const Instant refusalEnd = Begin + voteRefusal(options);
  const Message append =
      messageOf(1, AppendRequest{{}, {}, {}, stateOfThree().Entries, 0});
  deliver(node, 1, append, refusalEnd - Duration::millis(1));
  BOOST_TEST(node.group().isBlank());
  Message other = append;
  other.ToIncarnation = Incarnation{};
  deliver(node, 1, other, refusalEnd);
  BOOST_TEST(node.group().isBlank());
  deliver(node, 1, append, refusalEnd);
  BOOST_TEST((node.group() == Group));
  BOOST_TEST(node.lastIndex().Value == 1U);
}

BOOST_AUTO_TEST_CASE(OutdatedLogGetsNoVote) {
  Node node = nodeWith(stateOfThree({entryAt(2, 1), entryAt(3, 2)}));
  const Instant now = Begin + voteRefusal(optionsOf(3));
  const auto isGranted = [&](uint64_t term, uint64_t index, uint64_t at) {
    const Message request =
        messageOf(term, VoteRequest{LogIndex{index}, Term{at}, false});
    return sentBodies<VoteReply>(deliver(node, 2, request, now))
        .front()
        .IsGranted;
  };
  BOOST_TEST(!isGranted(3, 9, 1));
  BOOST_TEST(!isGranted(4, 2, 2));
  BOOST_TEST(isGranted(5, 3, 2));
}

BOOST_AUTO_TEST_CASE(AcknowledgementsWaitForTheSync) {
  Node node = nodeWith(stateOfThree());
  const Message append = messageOf(
      2, AppendRequest{LogIndex{1}, Term{1}, LogIndex{}, {entryAt(2, 2)}, 7});
  const Actions actions = node.receive(hostId(3), append, Begin);
  BOOST_TEST(sentBodies<AppendReply>(actions).empty());
  const Actions afterSync =
      node.persisted(findLast<Persist>(actions)->Serial, Begin);
  BOOST_REQUIRE(sentBodies<AppendReply>(afterSync).size() == 1U);
  BOOST_TEST((sentBodies<AppendReply>(afterSync).front() ==
              AppendReply{true, LogIndex{2}, 7}));
}

BOOST_AUTO_TEST_CASE(MessagesOfOtherIncarnationsAndGroupsAreDropped) {
  Node node = nodeWith(stateOfThree());
  Message other = heartbeat(2);
  other.ToIncarnation = Incarnation{2};
  BOOST_TEST(node.receive(hostId(3), other, Begin).empty());
  other = heartbeat(2);
  other.Group.FounderIncarnation = Incarnation{2};
  BOOST_TEST(node.receive(hostId(3), other, Begin).empty());
  BOOST_TEST(node.leader().empty());
}

BOOST_AUTO_TEST_CASE(OtherIncarnationsDontCountTowardsAnElection) {
  Node node = nodeWith(stateOfThree());
  while (node.role() != Role::PreCandidate)
    (void)node.tick(node.nextWake());
  Message vote = messageOf(2, PreVoteReply{Term{3}, true, false});
  vote.FromIncarnation = Incarnation{2};
  deliver(node, 2, vote, node.nextWake());
  BOOST_TEST((node.role() == Role::PreCandidate));
  vote.FromIncarnation = Incarnation{1};
  deliver(node, 2, vote, node.nextWake());
  BOOST_TEST((node.role() == Role::Candidate));
}

// A new leader commits entries of earlier terms only together with an entry of
// its own term, and serves only after that.
BOOST_AUTO_TEST_CASE(EarlierTermsCommitWithAnEntryOfTheCurrentTerm) {
  Node node = nodeWith(stateOfThree({entryAt(2, 1)}));
  const Instant now = elect(node);
  BOOST_REQUIRE((node.role() == Role::Leader));
  const uint64_t term = node.term().Value;
  const auto acknowledge = [&](uint64_t index) {
    return deliver(
        node, 2,
        messageOf(term, AppendReply{true, LogIndex{index}, now.millis()}), now);
  };
  acknowledge(2);
  BOOST_TEST(node.commitIndex().Value == 0U);
  BOOST_TEST(!node.mayServe(now));
  (void)node.persisted(SIZE_MAX, now);
  const Actions actions = acknowledge(3);
  BOOST_TEST(node.commitIndex().Value == 3U);
  BOOST_TEST((findLast<RoleChanged>(actions)->Now == Role::Leader));
  BOOST_TEST(node.mayServe(now + Duration::millis(399)));
  BOOST_TEST(!node.mayServe(now + Duration::millis(400)));
}

BOOST_AUTO_TEST_CASE(MembershipChangesOneAtATime) {
  DurableState state = stateOfThree();
  state.Entries.front().Members = votersUpTo(5);
  Node node = nodeWith(state, optionsOf(5));
  const Instant now = elect(node, {2, 3});
  (void)node.persisted(SIZE_MAX, now);
  const auto acknowledge = [&](uint64_t index) {
    for (const int host : {2, 3})
      deliver(node, host,
              messageOf(node.term().Value,
                        AppendReply{true, LogIndex{index}, now.millis()}),
              now);
  };
  const auto probeFrom = [&](int host) {
    const Message probe{
        {}, {}, Incarnation{2}, {}, Probe{1, memberAt(host).At}};
    deliver(node, host, probe, now);
    return findMember(node.membership(), hostId(host))->HostIncarnation.Value;
  };
  BOOST_TEST(probeFrom(4) == 1U);
  acknowledge(2);
  BOOST_TEST(probeFrom(4) == 2U);
  BOOST_TEST(!findMember(node.membership(), hostId(4))->IsVoter);
  BOOST_TEST(probeFrom(5) == 1U);
  acknowledge(3);
  BOOST_TEST(probeFrom(5) == 2U);
}

// A promoted learner counts towards a quorum only once it holds the membership
// entry that makes it a voter.
BOOST_AUTO_TEST_CASE(PromotedLearnerCountsOnlyAfterItHoldsItsPromotion) {
  DurableState state = stateOfThree();
  state.Entries.front().Members.Members.back().IsVoter = false;
  Node node = nodeWith(state);
  const Instant now = elect(node);
  const auto acknowledge = [&](int host, uint64_t index) {
    deliver(node, host,
            messageOf(node.term().Value,
                      AppendReply{true, LogIndex{index}, now.millis()}),
            now);
    (void)node.persisted(SIZE_MAX, now);
  };
  acknowledge(2, 2);
  (void)node.propose(1, "x", now);
  acknowledge(3, 3);
  (void)node.tick(now);
  BOOST_REQUIRE(node.log().membershipIndex().Value == 4U);
  acknowledge(3, 3);
  BOOST_TEST(node.commitIndex().Value == 2U);
  acknowledge(3, 4);
  BOOST_TEST(node.commitIndex().Value == 4U);
}

// A torn journal or a lost sync on a member's disk can lose entries that the
// member had acknowledged.
BOOST_AUTO_TEST_CASE(MemberThatLostEntriesReceivesThemAgain) {
  Node node = nodeWith(stateOfThree({entryAt(2, 1)}));
  const Instant now = elect(node);
  (void)node.persisted(SIZE_MAX, now);
  const auto respond = [&](bool isMatch, uint64_t index) {
    deliver(node, 2,
            messageOf(node.term().Value,
                      AppendReply{isMatch, LogIndex{index}, now.millis()}),
            now);
  };
  respond(true, 3);
  respond(false, 1);
  const Actions actions = node.tick(now);
  const auto requests = sentBodies<AppendRequest>(actions);
  const auto again = std::ranges::find_if(requests, [](const auto &request) {
    return request.PrevIndex.Value == 1U && request.Entries.size() == 2U;
  });
  BOOST_TEST((again != requests.end()));
  // The commit index does not go back.
  BOOST_TEST(node.commitIndex().Value == 3U);
}

BOOST_AUTO_TEST_CASE(ProposalsBetweenTicksAreSentInOneBatch) {
  Node node = nodeWith(stateOfThree());
  const Instant now = elect(node);
  (void)node.persisted(SIZE_MAX, now);
  deliver(node, 2,
          messageOf(node.term().Value,
                    AppendReply{true, LogIndex{2}, now.millis()}),
          now);
  for (uint64_t id = 1; id <= 50; ++id)
    BOOST_TEST(sentBodies<AppendRequest>(node.propose(id, "x", now)).empty());
  BOOST_TEST((node.nextWake() <= now));
  const auto requests = sentBodies<AppendRequest>(node.tick(now));
  BOOST_TEST(requests.size() == 2U);
  BOOST_TEST(requests.front().Entries.size() >= 50U);
  BOOST_TEST((node.nextWake() > now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::consensus
