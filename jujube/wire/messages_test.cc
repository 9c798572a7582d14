#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "jujube/wire/consensus_encoding.h"
#include "jujube/wire/messages.h"
#include "jujube/wire/routing_encoding.h"
#include "jujube/wire/state_encoding.h"
#include "testing/job_samples.h"

namespace jujube::wire {
namespace {

// Checks that decoding restores `value`. Every field must differ from its
// default, so that a field missing from the encoding fails the check.
template <typename T> void checkRoundTrip(const T &value) {
  const Result<T> back = decode<T>(encode(value));
  BOOST_REQUIRE(isOk(back));
  BOOST_TEST((valueOf(back) == value));
}

const consensus::Member Voter{HostId("a"), Incarnation{2},
                              Address{"127.0.0.1", 3}, true};

BOOST_AUTO_TEST_SUITE(MessagesSuite)

BOOST_AUTO_TEST_CASE(ConsensusMessagesKeepAllFields) {
  using namespace consensus;
  const std::vector<Body> bodies = {
      PreVoteRequest{LogIndex{1}, Term{2}},
      PreVoteReply{Term{1}, true, true},
      VoteRequest{LogIndex{1}, Term{2}, true},
      VoteReply{true, true},
      AppendRequest{LogIndex{1}, Term{2}, LogIndex{3}, {}, 4},
      AppendReply{true, LogIndex{1}, 2},
      SnapshotChunk{LogIndex{1}, Term{2}, Membership{{Voter}}, 3, 4, "x", 5},
      SnapshotReply{LogIndex{1}, 2, true, 3},
      TimeoutNow{},
      Probe{1, Address{"127.0.0.1", 2}},
      ProbeReply{1,
                 Address{"127.0.0.1", 2},
                 true,
                 true,
                 {HostId("b"), Address{"127.0.0.1", 3}}},
  };
  for (const Body &body : bodies)
    checkRoundTrip(consensus::Message{GroupId{HostId("a"), Incarnation{1}},
                                      Term{2}, Incarnation{3}, Incarnation{4},
                                      body});
  checkRoundTrip(consensus::LogEntry{
      LogIndex{1}, Term{2}, EntryKind::Membership, "p", Membership{{Voter}}});
}

BOOST_AUTO_TEST_CASE(ChangedReservationKeepsAllFields) {
  checkRoundTrip(std::vector<fate::Event>{fate::ReservationChanged{
      {RequestId("z.a"), 1}, {Term{2}, 3}, {4, 5, 6}, Instant::fromMillis(7)}});
}

BOOST_AUTO_TEST_CASE(FateStateKeepsAllFields) {
  fate::TaskRecord task;
  task.State = fate::FateState::Running;
  task.HasActiveAttempt = task.MayHaveRun = task.HasStarted = true;
  task.Attempts = 2;
  task.Failures = 1;
  task.Token = {Term{3}, 4};
  task.Worker = WorkerId("w");
  task.WorkerIncarnation = Incarnation{5};
  task.Reserved = {6, 7, 8};
  task.LostAt = Instant::fromMillis(9);
  task.Text = "t";
  fate::RequestRecord request;
  request.Work.Request = RequestId("z.a");
  request.Work.Team = TeamId("team");
  request.Work.Entry.Id = EntryId("e");
  request.Work.Payload = "p";
  request.AcceptedAt = Instant::fromMillis(1);
  request.StartedAt = Instant::fromMillis(2);
  request.EndedAt = Instant::fromMillis(3);
  request.IsCancelled = request.IsAbandoned = true;
  request.OpenTasks = 4;
  request.UnstartedTasks = 5;
  request.Tasks = {task};
  fate::LiveRecord live;
  live.Offer = {
      RequestId("z.b"), TeamId("team"), EntryId("e"), "digest",
      HostId("h"),      RunnerId("r"),  true,         Instant::fromMillis(1)};
  live.State = fate::FateState::Unresolved;
  live.ChangedAt = Instant::fromMillis(2);
  live.Text = "t";
  limits::Slice slice{
      TeamId("team"), limits::GrantVersion{1}, {1, 2, 3}, {4, 5, 6}};
  checkRoundTrip(fate::FateSnapshot{
      {request},
      {live},
      limits::SliceUpdate{limits::GrantVersion{2}, {slice}}});
}

BOOST_AUTO_TEST_CASE(RoutingMessagesKeepAllFields) {
  using namespace routing;
  const Holder holder{HostId("h"), Incarnation{1}};
  EntryReport report;
  report.From = holder;
  report.HomeZone = ZoneId("home");
  report.Zone = ZoneId("z");
  report.Sequence = 1;
  report.Uptime = Duration::millis(2);
  report.AppliedTerm = Term{3};
  report.AppliedGrant = 4;
  report.Runners = {{RunnerId("r"), 1, 2, 3}};
  report.Demand = {{EntryId("e"), TeamId("t"), 2, 3, 4}};
  checkRoundTrip(report);
  checkRoundTrip(RunnerAnnouncement{RunnerId("r"), Incarnation{1}, EntryId("e"),
                                    ZoneId("z"), Address{"127.0.0.1", 1}, 9, 61,
                                    true});
}

// Guards against a member that can't start from the snapshot on its disk, which
// an earlier version wrote without the terms of the jobs.
BOOST_AUTO_TEST_CASE(SnapshotOfAnEarlierVersionIsRead) {
  const jobs::JobSnapshot state =
      testing::sampleBook({testing::sampleWorker("w1")},
                          {testing::sampleJob("a", {testing::sampleStep(1)})})
          .capture();
  const std::string now = encodeJobSnapshot(state);
  // The terms: their number, and one number for each job.
  const std::size_t terms = sizeof(uint32_t) * (1 + state.Jobs.size());
  // The places and the retired queues: two numbers, and two texts with their
  // lengths for the only job.
  const jobs::QueuePlace &place = state.Jobs.at(0).Place;
  const std::size_t places =
      sizeof(uint32_t) * 4 + place.HostName.size() + place.PathPrefix.size();
  // The use of teams: their number, two instants, and for the only team its id,
  // two amounts of three resources, two instants and an allowance. Then the
  // number of jobs, and a byte for each.
  const std::size_t use =
      sizeof(uint32_t) * 2 + sizeof(int64_t) * (2 + 2 * 3 + 3) +
      testing::SampleTeam.str().size() + sizeof(uint32_t) + state.Jobs.size();
  // Also the evacuated zones: their number.
  const std::size_t zones = use + sizeof(uint32_t);
  // The numbers of withdrawals, origins and retired teams, and for the only job
  // eight texts, of which those of a place are not empty.
  const std::size_t origins = sizeof(uint32_t) * (3 + 8) +
                              place.HostName.size() + place.PathPrefix.size();
  const auto read = decodeJobSnapshot(now);
  BOOST_REQUIRE(isOk(read));
  BOOST_TEST((valueOf(read).Jobs == state.Jobs));
  for (const std::size_t added :
       {std::size_t(), use, zones, zones + places, zones + places + terms}) {
    const auto earlier =
        decodeJobSnapshot(now.substr(0, now.size() - origins - added));
    BOOST_REQUIRE(isOk(earlier));
    const jobs::Job &job = valueOf(earlier).Jobs.at(0);
    BOOST_TEST((job.Place == jobs::QueuePlace()) == (added > zones));
    BOOST_TEST(job.MaxAttempts == (added <= zones + places ? 2U : 0U));
    BOOST_TEST((jobs::JobStateMachine::restore(valueOf(earlier)).jobs() ==
                jobs::JobStateMachine::restore(valueOf(read)).jobs()));
  }
  BOOST_TEST(!isOk(decodeJobSnapshot(now.substr(0, now.size() - 1))));
}

BOOST_AUTO_TEST_CASE(SnapshotKeepsZonesUseAndRates) {
  jobs::JobStateMachine book =
      testing::sampleBook({testing::sampleWorker("w1")}, {});
  for (int i = 0; i < 12; ++i)
    book.apply(jobs::JobAccepted{
        testing::sampleJob("j" + std::to_string(i), {testing::sampleStep(1)}),
        Instant::fromMillis(1000)});
  book.apply(
      jobs::AttemptStartedAt{{testing::taskOf("j1", 0), 1, WorkerId("w1")},
                             Instant::fromMillis(2000)});
  book.apply(jobs::ZoneEvacuated{ZoneId("north")});
  book.apply(jobs::ZoneEvacuated{ZoneId("south")});
  const auto read = decodeJobSnapshot(encodeJobSnapshot(book.capture()));
  BOOST_REQUIRE(isOk(read));
  const auto restored = jobs::JobStateMachine::restore(valueOf(read));
  BOOST_TEST((restored.evacuatedZones() == book.evacuatedZones()));
  BOOST_TEST((restored.usage().capture() == book.usage().capture()));
  BOOST_TEST((restored.queuedWork() == book.queuedWork()));
  BOOST_TEST((restored.jobs() == book.jobs()));
  // Ten jobs a second are within the rate.
  BOOST_TEST(std::ranges::count_if(restored.jobs(), [](const auto &it) {
               return it.second.IsBeyondRate;
             }) == 2);
}

BOOST_AUTO_TEST_CASE(BoolThatIsNeitherZeroNorOneIsRefused) {
  BOOST_TEST(!isOk(decode<bool>("\x02")));
  BOOST_TEST(valueOf(decode<bool>("\x01")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::wire
