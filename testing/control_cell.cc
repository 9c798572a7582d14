#include "testing/control_cell.h"

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "jujube/base/digest.h"
#include "platform/worker_calls.h"
#include "testing/job_samples.h"

namespace jujube::testing {
namespace {

constexpr uint16_t Port = 7420;
constexpr std::size_t MailboxCapacity = 4096;
const Address WorkersAt{"10.9.0.0", 1};
// Interval at which the workers process received calls.
constexpr Duration CallDelay = Duration::millis(2);
constexpr Duration AnnouncePeriod = Duration::millis(1500);
constexpr double MicrosPerMilli = 1000;
const jobs::Caller SampleCaller{"a.example", "/plans/", "key-a"};
constexpr Duration Patience = Duration::seconds(20);

} // namespace

ControlCell::ControlCell(ControlCellOptions options)
    : Options(options),
      Folder(absl::StrCat(std::filesystem::temp_directory_path().string(),
                          "/jujube-control-", randomHex(6))),
      Workers(Wire.clock()) {
  std::filesystem::create_directories(Folder);
  for (int i = 1; i <= Options.Members; ++i)
    start(i, true);
  Workers.setMaxLease(Options.MaxLease);
  for (int i = 1; i <= Options.Workers; ++i)
    Workers.add(absl::StrCat("w", i),
                {1000 * Options.TasksPerWorker, 1 << 20, 0});
  runtime::PollLoop &loop = Wire.add(WorkersAt).Context.loop();
  loop.callEvery(CallDelay, [this] { serveCalls(); });
  loop.callEvery(AnnouncePeriod, [this] { announceAll(); });
  (void)Wire.run(Patience, [this] { return leader() != 0; });
  jobs::Configuration config = sampleConfiguration();
  config.Teams[0].Weight = Options.TeamWeight;
  (void)execute(jobs::PutConfiguration{std::move(config)});
  Wire.run(AnnouncePeriod * 2);
}

ControlCell::~ControlCell() {
  Members.clear();
  std::error_code ec;
  std::filesystem::remove_all(Folder, ec);
}

Address ControlCell::addressOf(int member) const {
  return {absl::StrCat("10.0.0.", member), Port};
}

std::string ControlCell::folderOf(int member) const {
  return absl::StrCat(Folder, "/", member);
}

void ControlCell::start(int member, bool mayBootstrap) {
  control::ControlOptions options;
  options.Listen = addressOf(member);
  options.Self = control::hostIdOf(options.Listen);
  options.Control = options.Listen;
  for (int i = 1; i <= std::min(Options.Members, 3); ++i)
    options.Seeds.push_back(addressOf(i));
  options.MayBootstrap = mayBootstrap;
  options.DataFolder = folderOf(member);
  options.FleetToken = "fleet-token";
  options.Voters = Options.Voters;
  options.ElectionSeed = Options.Seed * 10 + static_cast<uint64_t>(member);
  options.WallClock = Wire.clock();
  options.Leases.Lease = Duration::seconds(5);
  options.Leases.MaxLease = Options.MaxLease;
  options.Workers = platform::workerProtocol();
  Member &held = Members[member];
  held.Boxes.Clients =
      runtime::makeMailbox<control::ClientRequest>(MailboxCapacity);
  held.Boxes.Calls = runtime::makeMailbox<http::CallRequest>(MailboxCapacity);
  held.Boxes.Results = runtime::makeMailbox<http::CallResult>(MailboxCapacity);
  FakeWire::Host &host = Wire.add(options.Listen);
  auto task = control::ControlTask::create(options, held.Boxes, host.Context,
                                           host.Outbox);
  if (!isOk(task))
    std::abort();
  held.Task = valueOf(std::move(task));
  host.Receive = [raw = held.Task.get()](const auto &event) {
    raw->receive(event);
  };
  host.CostOfTurn = meterOf(*held.Task);
}

std::function<Duration()>
ControlCell::meterOf(const control::ControlTask &task) const {
  return [this, &task, before = task.work(), owed = 0.0]() mutable {
    for (std::size_t i = 0; i < Costs.size(); ++i)
      owed += Costs[i] *
              static_cast<double>(task.work()[i].Units - before[i].Units);
    before = task.work();
    const Duration whole =
        Duration::millis(static_cast<int64_t>(owed / MicrosPerMilli));
    owed -= static_cast<double>(whole.millis()) * MicrosPerMilli;
    return whole;
  };
}

// Passes the members' calls to the workers. Answers to a member that was killed
// meanwhile are dropped.
void ControlCell::serveCalls() {
  for (auto &[number, member] : Members) {
    const http::CallResults results = member.Boxes.Results;
    for (const http::CallRequest &request : member.Boxes.Calls->drain()) {
      const PlatformWorkers::Reply reply =
          [results, id = request.Id](http::OutboundResult outcome) {
            (void)results->post({id, std::move(outcome)});
          };
      const auto isCut = [&, from = number](const auto &cut) {
        return cut.first == from &&
               Workers.addressOf(cut.second) == request.What.To;
      };
      if (std::ranges::any_of(CutWorkers, isCut))
        Workers.lose(request.What, reply);
      else
        Workers.handle(request.What, reply);
    }
  }
  Workers.tick();
}

void ControlCell::announceAll() {
  for (int i = 1; i <= Options.Workers; ++i) {
    const std::string id = absl::StrCat("w", i);
    if (!Workers.isUp(id))
      continue;
    const jobs::AnnounceWorker command{Workers.announcement(id)};
    for (auto &[number, member] : Members)
      if (member.Task)
        (void)member.Boxes.Clients->post(
            {command, Duration::seconds(1),
             runtime::makeReplySlot<Result<jobs::Reply>>()});
  }
}

Result<jobs::Reply> ControlCell::execute(int member,
                                         const jobs::Command &command,
                                         Duration timeout) {
  const auto slot = runtime::makeReplySlot<Result<jobs::Reply>>();
  (void)Members.at(member).Boxes.Clients->post({command, timeout, slot});
  std::optional<Result<jobs::Reply>> answer;
  Wire.run(timeout + Duration::millis(100), [&] {
    auto got = slot->wait(Duration());
    if (isOk(got))
      answer = valueOf(std::move(got));
    return answer.has_value();
  });
  return answer.value_or(
      Error{ErrorKind::DeadlineExceeded, "no answer", "none"});
}

Result<jobs::Reply> ControlCell::execute(const jobs::Command &command) {
  Result<jobs::Reply> last =
      Error{ErrorKind::Unavailable, "no member runs", "none"};
  for (int round = 0; round < 5; ++round)
    for (const auto &[number, member] : Members)
      if (member.Task) {
        last = execute(number, command);
        const bool isFinal =
            isOk(last) || (errorOf(last).Kind != ErrorKind::NotRun &&
                           errorOf(last).Kind != ErrorKind::OutcomeUnknown &&
                           errorOf(last).Kind != ErrorKind::DeadlineExceeded);
        if (isFinal)
          return last;
      }
  return last;
}

Status ControlCell::submit(const jobs::JobSpec &job) {
  const auto reply = execute(jobs::SubmitJob{SampleCaller, job});
  return isOk(reply) ? Status(Ok{}) : Status(errorOf(reply));
}

ControlCell::AnswerSlot ControlCell::post(jobs::Command command) {
  const auto isRunning = [](const auto &it) {
    return it.second.Task != nullptr;
  };
  const int at = leader();
  Member &member = at != 0 ? Members.at(at)
                           : std::ranges::find_if(Members, isRunning)->second;
  AnswerSlot slot = runtime::makeReplySlot<Result<jobs::Reply>>();
  (void)member.Boxes.Clients->post({std::move(command), Patience, slot});
  return slot;
}

ControlCell::AnswerSlot ControlCell::post(const jobs::JobSpec &job) {
  return post(jobs::Command(jobs::SubmitJob{SampleCaller, job}));
}

bool ControlCell::isAcknowledged(const AnswerSlot &slot) {
  const auto reply = slot->wait(Duration());
  return isOk(reply) && isOk(valueOf(reply));
}

bool ControlCell::submitAll(const std::vector<jobs::JobSpec> &jobs) {
  std::vector<AnswerSlot> slots;
  std::ranges::transform(
      jobs, std::back_inserter(slots),
      [this](const jobs::JobSpec &job) { return post(job); });
  return Wire.run(Patience,
                  [&] { return std::ranges::all_of(slots, isAcknowledged); });
}

Status ControlCell::submit(const std::string &id, uint32_t tasks, int ms) {
  jobs::JobSpec job = sampleJob(id, {sampleStep(tasks)});
  job.Payload = std::to_string(ms);
  return submit(job);
}

std::string ControlCell::stateOf(const std::string &id) {
  const auto reply = execute(jobs::ReadJob{SampleCaller, jobs::JobId(id)});
  if (!isOk(reply))
    return std::string(nameIn(ErrorKindNames, errorOf(reply).Kind));
  const auto *status = std::get_if<jobs::JobStatusReply>(&valueOf(reply));
  return status == nullptr
             ? "unexpected reply"
             : std::string(nameIn(jobs::JobStateNames, status->State));
}

bool ControlCell::awaitState(const std::string &id, const std::string &state,
                             Duration patience) {
  const Instant end = Wire.now() + patience;
  while (Wire.now() < end) {
    if (stateOf(id) == state)
      return true;
    Wire.run(Duration::millis(100));
  }
  return false;
}

bool ControlCell::awaitPending(uint64_t jobs, Duration patience) {
  const Instant end = Wire.now() + patience;
  while (Wire.now() < end) {
    const auto reply = execute(jobs::CountPending{SampleCaller});
    const auto *count = isOk(reply)
                            ? std::get_if<jobs::PendingCount>(&valueOf(reply))
                            : nullptr;
    if (count != nullptr && count->Jobs <= jobs)
      return true;
    Wire.run(Duration::millis(500));
  }
  return false;
}

metrics::Snapshot ControlCell::metricsOf(int member) {
  const auto slot = runtime::makeReplySlot<metrics::Snapshot>();
  (void)Members.at(member).Boxes.MetricsRequests->post({slot});
  // Until the member's next timer.
  Wire.run(Duration::millis(100));
  auto snapshot = slot->wait(Duration());
  return isOk(snapshot) ? valueOf(std::move(snapshot)) : metrics::Snapshot();
}

int ControlCell::leader() {
  for (const auto &[number, member] : Members)
    if (member.Task && member.Task->isServing())
      return number;
  return 0;
}

uint64_t ControlCell::takeoverCount() const {
  constexpr auto At = static_cast<std::size_t>(control::Work::TakeOver);
  uint64_t n = 0;
  for (const auto &[number, member] : Members)
    n += member.Task ? member.Task->work()[At].Units : 0;
  return n;
}

void ControlCell::kill(int member) {
  Members.at(member).Task.reset();
  Wire.remove(addressOf(member));
}

void ControlCell::restart(int member, bool isWiped) {
  if (Members.at(member).Task)
    kill(member);
  if (isWiped)
    std::filesystem::remove_all(folderOf(member));
  Wire.run(Duration::millis(50));
  start(member, false);
}

void ControlCell::cutOff(int member) { Wire.cut({addressOf(member)}); }

} // namespace jujube::testing
