// A long committed log is applied in batches, between which the node keeps
// handling messages.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

#include "jujube/consensus/node.h"

namespace jujube::consensus {
namespace {

constexpr Instant Begin = Instant::fromMillis(10'000);
constexpr uint64_t EntryCount = 100;
constexpr std::size_t EntriesPerPart = 4;

const GroupId Group{HostId("host1"), Incarnation{1}};

LogEntry entryAt(uint64_t index) {
  return {
      LogIndex{index}, Term{1}, EntryKind::Command, std::string(1024, 'x'), {}};
}

// host1 of a group of three. Its log is long and not known to be committed.
Node nodeWithLongLog() {
  Options options;
  Membership members;
  for (const char *name : {"host1", "host2", "host3"}) {
    const Address at{name, 1};
    options.Configured.push_back(Peer{HostId(name), at});
    members.Members.push_back({HostId(name), Incarnation{1}, at, true});
  }
  options.Self = options.Configured.front();
  options.HostIncarnation = Incarnation{1};
  options.MaxApplyBytes = EntriesPerPart * sizeOf(entryAt(2));
  DurableState state;
  state.Hard = HardState{Group, Term{1}, HostId(), Incarnation{}};
  state.Entries.push_back(
      {LogIndex{1}, Term{1}, EntryKind::Membership, {}, members});
  for (uint64_t i = 2; i <= EntryCount; ++i)
    state.Entries.push_back(entryAt(i));
  return valueOf(Node::create(std::move(options), std::move(state),
                              std::mt19937_64(1), Begin));
}

Actions deliver(Node &node, uint64_t term, Body body, Instant now) {
  return node.receive(HostId("host2"),
                      Message{Group, Term{term}, Incarnation{1}, Incarnation{1},
                              std::move(body)},
                      now);
}

template <typename T> std::size_t countOf(const Actions &actions) {
  return static_cast<std::size_t>(std::ranges::count_if(
      actions, [](const Action &it) { return std::holds_alternative<T>(it); }));
}

bool reportsLeadership(const Actions &actions) {
  return std::ranges::any_of(actions, [](const Action &it) {
    const auto *change = std::get_if<RoleChanged>(&it);
    return change != nullptr && change->Now == Role::Leader;
  });
}

BOOST_AUTO_TEST_SUITE(ApplyTest)

BOOST_AUTO_TEST_CASE(FollowerRepliesBeforeALongLogIsApplied) {
  Node node = nodeWithLongLog();
  const Actions first = deliver(
      node, 1,
      AppendRequest{LogIndex{EntryCount}, Term{1}, LogIndex{EntryCount}, {}, 7},
      Begin);
  BOOST_TEST(countOf<Send>(first) == 1U);
  std::size_t applied = countOf<Apply>(first);
  BOOST_TEST(applied <= EntriesPerPart + 1);
  while (node.nextWake() <= Begin) {
    const std::size_t more = countOf<Apply>(node.tick(Begin));
    BOOST_REQUIRE(more > 0U);
    BOOST_TEST(more <= EntriesPerPart + 1);
    applied += more;
  }
  BOOST_TEST(applied == EntryCount);
}

BOOST_AUTO_TEST_CASE(LeaderServesOnceALongLogIsApplied) {
  Node node = nodeWithLongLog();
  Instant now = Begin;
  while (node.role() != Role::PreCandidate) {
    now = node.nextWake();
    (void)node.tick(now);
  }
  deliver(node, 1, PreVoteReply{Term{2}, true, false}, now);
  deliver(node, 2, VoteReply{true, false}, now);
  (void)node.persisted(SIZE_MAX, now);
  Actions actions = deliver(
      node, 2, AppendReply{true, LogIndex{EntryCount + 1}, now.millis()}, now);
  std::size_t applied = countOf<Apply>(actions);
  while (applied <= EntryCount) {
    BOOST_REQUIRE(!reportsLeadership(actions));
    BOOST_REQUIRE(!node.mayServe(now));
    BOOST_REQUIRE((node.nextWake() <= now));
    actions = node.tick(now);
    applied += countOf<Apply>(actions);
  }
  BOOST_TEST(reportsLeadership(actions));
  BOOST_TEST(node.mayServe(now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::consensus
