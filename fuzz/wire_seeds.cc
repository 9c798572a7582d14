#include "fuzz/wire_seeds.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::fuzz {
namespace {

const RequestId Request("z.a");
const TeamId Team("team");
const EntryId Entry("entry");
const ZoneId Zone("z");
const HostId Host("host");
const RunnerId Runner("r");
const WorkerId Worker("w");
const TaskId Task{Request, 1};
const AttemptToken Token{Term{3}, 4};
const Address At{"127.0.0.1", 7400};
const Resources Amounts{1000, 2048, 1};
const Instant Now = Instant::fromMillis(5000);

catalogue::Entry entry() {
  catalogue::Entry sample;
  sample.Id = Entry;
  sample.Owner = Team;
  sample.Demand = Amounts;
  return sample;
}

catalogue::Edit edit() {
  return {EditId("e1"), Revision{2}, catalogue::PutEntry{entry()}, "ada"};
}

catalogue::Contents contents() {
  catalogue::Contents sample;
  sample.Latest = Revision{3};
  sample.Teams = {{{Team, 2, Amounts}, Revision{1}}};
  sample.Entries = {{entry(), Revision{2}}};
  sample.Keys = {{{KeyId("k"), Team, "salt", "digest"}, Revision{3}}};
  return sample;
}

wire::HostStatus hostStatus() {
  wire::HostStatus sample;
  sample.Host.Id = Host;
  sample.Host.Zone = Zone;
  sample.IsLeader = true;
  sample.LeaderTerm = Term{2};
  return sample;
}

limits::Slice slice() {
  return {Team, limits::GrantVersion{1}, Amounts, Amounts};
}

limits::SliceReport sliceReport() {
  limits::SliceReport sample;
  sample.Zone = Zone;
  sample.LeaderTerm = Term{2};
  sample.Lines = {{slice(), Amounts}};
  return sample;
}

limits::SliceReply sliceReply() {
  limits::SliceReply sample;
  sample.Slices = {slice()};
  sample.Limits = {{Team, Amounts, true}};
  return sample;
}

fate::Submission submission() {
  fate::Submission sample;
  sample.Request = Request;
  sample.Team = Team;
  sample.Entry = entry();
  sample.Payload = "march";
  sample.BodyDigest = "digest";
  return sample;
}

fate::FateView fateView() {
  fate::FateView sample{Request, Team, Entry, fate::FateState::Running};
  sample.Tasks = {{0, fate::FateState::Finished, 1, Worker, "answer", ""},
                  {1, fate::FateState::Failed, 2, Worker, "", "reason"}};
  return sample;
}

fate::WorkerSync workerSync() {
  fate::WorkerSync sample;
  sample.Announcement.Worker = Worker;
  sample.Announcement.Capacity = Amounts;
  sample.Reports = {{Task, Token, fate::TaskPhase::Running, Amounts, "text"}};
  return sample;
}

fate::SyncReply syncReply() {
  fate::SyncReply sample;
  sample.LeaderTerm = Term{2};
  sample.Lease = Duration::seconds(6);
  sample.Directives = {
      {fate::DirectiveKind::Start, Task, Token, Entry, Amounts, "march"}};
  return sample;
}

routing::RunnerAnnouncement announcement() {
  return {Runner, Incarnation{1}, Entry, Zone, At};
}

routing::EntryReport entryReport() {
  routing::EntryReport sample;
  sample.From = {Host, Incarnation{1}};
  sample.HomeZone = sample.Zone = Zone;
  sample.Runners = {{Runner, 3, 2, 8}};
  sample.Demand = {{Entry, Team, 2, 3, 4, true}};
  return sample;
}

routing::CreditGrant creditGrant() {
  routing::CreditGrant sample;
  sample.To = {Host, Incarnation{1}};
  sample.Zone = Zone;
  sample.Credits = {{Runner, 3}};
  return sample;
}

fate::LiveOffered liveOffered() {
  return {Request, Team, Entry, "digest", Host, Runner, true, Now};
}

fate::LiveEnded liveEnded() {
  return {Request, Host, Runner, fate::FateState::Finished, "answer", Now};
}

api::CallLive callLive() {
  return {"k.s", Request, Entry, "march", Duration::seconds(1)};
}

metrics::Snapshot snapshot() {
  metrics::HistogramValue histogram;
  histogram.Name = "wait_ms";
  histogram.For = {"team", "batch"};
  histogram.Count = 3;
  histogram.Buckets = {0, 1, 2};
  return {{{"offers", {"team", "batch"}, 7}}, {histogram}};
}

api::ZoneStatus zoneStatus() {
  api::ZoneStatus sample;
  sample.Zone = Zone;
  sample.Leader = Host;
  sample.Held = Amounts;
  return sample;
}

consensus::Membership members() { return {{{Host, Incarnation{1}, At, true}}}; }

// Returns one body of each kind of consensus message.
std::vector<consensus::Body> consensusBodies() {
  using namespace consensus;
  const LogEntry command{LogIndex{4}, Term{2}, EntryKind::Command, "payload"};
  const LogEntry change{LogIndex{5}, Term{2}, EntryKind::Membership, "",
                        members()};
  return {AppendRequest{LogIndex{3}, Term{2}, LogIndex{2}, {command, change}},
          PreVoteRequest{LogIndex{1}, Term{2}},
          PreVoteReply{Term{1}, true},
          VoteRequest{LogIndex{1}, Term{2}},
          VoteReply{true},
          AppendReply{true, LogIndex{1}},
          SnapshotChunk{LogIndex{1}, Term{2}, members(), 0, 4, "data"},
          SnapshotReply{LogIndex{1}, 4, true},
          TimeoutNow{},
          Probe{1, At},
          ProbeReply{1, At, true, true, {Host, At}}};
}

wire::GroupMessage groupMessage(consensus::Body body) {
  consensus::Message message;
  message.Group = {Host, Incarnation{1}};
  message.At = Term{2};
  message.What = std::move(body);
  return {message};
}

wire::Envelope envelope(wire::Message what) {
  wire::Envelope sample;
  sample.From = Host;
  sample.ReplyTo = At;
  sample.Correlation = 9;
  sample.What = std::move(what);
  return sample;
}

jobs::JobSpec job() {
  jobs::StepSpec step;
  step.Tasks = 2;
  step.Ask = Amounts;
  step.After = {0};
  step.RequiredLabel = "a";
  step.MaxUnavailable = 1;
  jobs::JobSpec sample;
  sample.Id = jobs::JobId("j");
  sample.Queue = jobs::QueueId("q");
  sample.Team = Team;
  sample.Payload = "payload";
  sample.Steps = {step};
  sample.FirstDue = Now;
  return sample;
}

jobs::Worker jobWorker() {
  jobs::Worker sample;
  sample.Id = Worker;
  sample.WorkerIncarnation = Incarnation{4};
  sample.Pool = jobs::PoolId("s");
  sample.At = At;
  sample.Labels = {"a", "r1"};
  return sample;
}

jobs::Configuration configuration() {
  jobs::Queue queue;
  queue.Id = jobs::QueueId("q");
  queue.Pool = jobs::PoolId("s");
  queue.Approval = {Duration::millis(5), 0.5, Duration::seconds(2)};
  jobs::Configuration sample;
  sample.Version = 3;
  sample.Queues = {queue};
  sample.Pools = {{jobs::PoolId("s")}};
  sample.Teams = {{Team, {"key"}, 5, Amounts}};
  sample.Document = "document";
  return sample;
}

std::vector<wire::Message> sampleMessages() {
  catalogue::Update update;
  update.Edits = {edit()};
  update.Snapshot = contents();
  return {
      groupMessage(consensusBodies().front()),
      wire::PollCatalogue{hostStatus(), Revision{2}},
      wire::CatalogueReply{update, {hostStatus()}},
      wire::ProposeEdit{edit(), true},
      wire::EditReply{{Revision{3}, true}},
      wire::ReadHistory{10},
      wire::HistoryPage{{{Revision{1}, EditId("e1"), "ada", "put"}}},
      wire::ReportSlices{sliceReport()},
      wire::SliceReportReply{sliceReply()},
      wire::SubmitWork{submission()},
      wire::CancelWork{Request, Team},
      wire::QueryFate{Request, Team, Duration::seconds(1)},
      wire::FateReply{fateView()},
      wire::SyncTasks{workerSync()},
      wire::SyncTasksReply{syncReply()},
      wire::ForwardAnnouncement{announcement()},
      wire::ReportCredits{entryReport()},
      wire::CreditReply{creditGrant(), {{announcement(), Duration()}}},
      wire::JournalLive{liveOffered()},
      wire::JournalLiveEnd{liveEnded()},
      wire::ForwardLive{callLive()},
      wire::LiveDone{{Request, Runner, "answer"}},
      wire::ReadZone{},
      wire::ZoneReply{zoneStatus(), snapshot()},
      wire::ReadMetrics{},
      wire::MetricsReply{snapshot()},
      wire::Done{},
      wire::Refusal{{ErrorKind::NotLeader, "message", "remedy"}, At},
      wire::AnnounceLeader{Zone, Term{2}, At},
      wire::ControlCall{jobs::SubmitJob{{"a.example", "/p/", "key"}, job()}},
      wire::ControlReply{jobs::Members{{At}}},
      wire::QueryApproval{{{jobs::JobId("j"), 0, 1}, {Worker}},
                          Duration::millis(900)},
      wire::ApprovalReply{{{{Worker, "ticket"}}, Duration::seconds(2)}}};
}

std::vector<jobs::Command> controlCommands() {
  const jobs::Caller caller{"a.example", "/p/", "key"};
  jobs::Announcement announcement;
  announcement.AnnouncedWorker = jobWorker();
  announcement.Remaining = Duration::millis(100);
  return {jobs::CancelJob{caller, jobs::JobId("j")},
          jobs::ReadJob{caller, jobs::JobId("j")},
          jobs::CountPending{caller},
          jobs::PutConfiguration{configuration()},
          jobs::ReadConfiguration{},
          jobs::AnnounceWorker{announcement},
          jobs::WithdrawWorker{Worker},
          jobs::RegisterHelper{Host, At},
          jobs::EvacuateZone{Zone},
          jobs::RestoreZone{Zone},
          jobs::ReadEvacuations{}};
}

std::vector<jobs::Reply> controlReplies() {
  return {jobs::Stored{},
          jobs::JobStatusReply{jobs::JobState::Failed},
          jobs::PendingCount{3},
          jobs::ConfigurationReply{"document"},
          jobs::WorkerRegistered{At},
          jobs::EvacuatedZones{{Zone}}};
}

std::vector<jobs::Event> controlEvents() {
  const jobs::TaskKey task{jobs::JobId("j"), 0, 0, 1};
  return {jobs::ConfigurationPut{configuration()},
          jobs::JobAccepted{job(), Now},
          jobs::WorkerChanged{jobWorker()},
          jobs::AttemptStarted{task, 1, Worker},
          jobs::AttemptEnded{task, 1, jobs::EndKind::Failed, "saved"},
          jobs::JobCancelled{jobs::JobId("j")},
          jobs::JobWithdrawn{jobs::JobId("j"), {TeamId("t"), "key"}},
          jobs::WorkerGone{Worker, Incarnation{4}},
          jobs::JobsForgotten{{jobs::JobId("j")}},
          jobs::JobAcceptedAt{{job(), Now}, {"a.example", "/plans/"}},
          jobs::JobSubmitted{{job(), Now},
                             {"a.example", "/plans/", "key"},
                             {"a.example", "/plans/"},
                             jobs::Queue()},
          jobs::ZoneEvacuated{Zone},
          jobs::ZoneRestored{ZoneId("y")},
          jobs::AttemptStartedAt{{task, 2, Worker}, Now},
          jobs::AttemptEndedAt{{task, 2, jobs::EndKind::Done, ""}, Now}};
}

std::vector<fate::Event> zoneEvents() {
  const Error why{ErrorKind::ImpossibleRequest, "message", "remedy"};
  return {fate::RequestAccepted{submission(), Now},
          fate::TaskOffered{Task, Token, Worker, Incarnation{1}, Amounts, Now},
          fate::TaskStarted{Task, Token, Now},
          fate::TaskEnded{Task, Token, fate::TaskPhase::Failed, "text", Now},
          fate::AttemptLost{Task, Token, true, "reason", Now},
          fate::RequestCancelled{Request, Now},
          fate::RequestRejected{Request, why, Now},
          liveOffered(),
          liveEnded(),
          fate::FateForgotten{Request},
          limits::SliceUpdate{limits::GrantVersion{1}, {slice()}},
          fate::ReservationChanged{Task, Token, Amounts, Now}};
}

std::vector<wire::FleetCommand> fleetCommands() {
  return {edit(),
          limits::SliceCommand(limits::AddZone{Zone}),
          limits::SliceCommand(limits::RetireZone{Zone}),
          limits::SliceCommand(limits::SetCeiling{Team, Amounts}),
          limits::SliceCommand(limits::ApplyReport{sliceReport()}),
          limits::SliceCommand(
              limits::ReclaimBorrowed{Zone, limits::GrantVersion{2}})};
}

wire::FleetState fleetState() {
  wire::FleetState state;
  state.Catalogue.Current = contents();
  state.Catalogue.Outcomes = {{EditId("e1"), "fingerprint", Revision{2}}};
  state.Catalogue.RecentEdits = {edit()};
  state.Slices.Zones = {{Zone, Term{2}, 5}};
  state.Slices.Teams = {{Team, Amounts, {{Zone, slice(), Amounts}}}};
  return state;
}

fate::FateSnapshot fateSnapshot() {
  fate::TaskRecord task;
  task.Worker = Worker;
  task.Token = Token;
  fate::RequestRecord request;
  request.Work = submission();
  request.Tasks = {task};
  return {{request},
          {{liveOffered(), fate::FateState::Unresolved, Now, "text"}},
          {limits::GrantVersion{1}, {slice()}}};
}

} // namespace

std::vector<wire::Envelope> sampleEnvelopes() {
  std::vector<wire::Envelope> envelopes;
  for (wire::Message &message : sampleMessages())
    envelopes.push_back(envelope(std::move(message)));
  return envelopes;
}

std::vector<Seed> wireSeeds() {
  std::vector<Seed> seeds;
  for (const wire::Envelope &sample : sampleEnvelopes())
    seeds.push_back(
        {std::string(nameIn(wire::MessageKindNames, wire::kindOf(sample.What))),
         wire::encodeEnvelope(sample)});
  for (consensus::Body &body : consensusBodies())
    seeds.push_back(
        {absl::StrCat("group_body_", body.index()),
         wire::encodeEnvelope(envelope(groupMessage(std::move(body))))});
  for (const wire::FleetCommand &command : fleetCommands())
    seeds.push_back({absl::StrCat("fleet_command_", seeds.size()),
                     wire::encodeFleetCommand(command)});
  for (const jobs::Command &command : controlCommands())
    seeds.push_back(
        {absl::StrCat("control_call_", command.index()),
         wire::encodeEnvelope(envelope(wire::ControlCall{command}))});
  for (const jobs::Reply &reply : controlReplies())
    seeds.push_back(
        {absl::StrCat("control_news_", reply.index()),
         wire::encodeEnvelope(envelope(wire::ControlReply{reply}))});
  jobs::JobStateMachine stateMachine;
  for (const jobs::Event &event : controlEvents())
    stateMachine.apply(event);
  seeds.push_back(
      {"control_events", wire::encodeControlEvents(controlEvents())});
  seeds.push_back(
      {"job_book", wire::encodeJobSnapshot(stateMachine.capture())});
  seeds.push_back({"zone_events", wire::encodeZoneEvents(zoneEvents())});
  seeds.push_back({"fleet_state", wire::encodeFleetState(fleetState())});
  seeds.push_back({"book_state", wire::encodeFateSnapshot(fateSnapshot())});
  return seeds;
}

} // namespace jujube::fuzz
