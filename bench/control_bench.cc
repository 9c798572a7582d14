// Processor time of the control group's leader for each task that it starts, by
// thread: the trees of five members in one process, with workers, an approving
// entry host and callers over loopback sockets.
//
//   control-bench [WORKERS] [JOBS_PER_SECOND] [SECONDS]
//
// The leader's threads are the busiest of each name.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "jujube/control/control_task.h"
#include "jujube/daemon/async_log.h"
#include "jujube/logging/line.h"
#include "nlohmann/json.hpp"
#include "testing/job_samples.h"
#include "testing/socket_cell.h"
#include "testing/socket_workers.h"

namespace jujube {
namespace {

constexpr int EntryHosts = 39;
constexpr std::size_t MailboxCapacity = 4096;
constexpr Duration AnnouncePeriod = Duration::millis(1500);
constexpr Duration HelpPeriod = Duration::millis(150);
constexpr Duration SubmitPeriod = Duration::millis(20);
constexpr Duration CallTimeout = Duration::seconds(1);
constexpr Duration WarmUp = Duration::seconds(8);

// A kind of job. Source: the larger of the users' deployments.
struct JobKind {
  const char *Queue;
  double Share;
  double Steps;
  uint32_t Tasks;
  int Millis;
  Resources Ask;
  bool IsGang;
  jobs::ApprovalTerms Approval;
  int32_t Priority;
  double ApprovedShare;
};
const std::vector<JobKind> Kinds = {
    {"checks",
     0.8975,
     1.0,
     3,
     800,
     {2500, 9100, 0},
     false,
     {Duration::millis(9), 0.13, Duration::millis(1500)},
     0,
     0.7},
    {"plans",
     0.0385,
     1.2,
     20,
     5000,
     {4500, 17'000, 0},
     true,
     {Duration::millis(440), 6.2, Duration::millis(1500)},
     1,
     0.25},
    {"rosters",
     0.064,
     1.5,
     25,
     3400,
     {1700, 3600, 0},
     false,
     {Duration::millis(120), 1.8, Duration::millis(1500)},
     2,
     0.45},
};

jobs::Configuration configuration() {
  jobs::Configuration config = testing::sampleConfiguration();
  const jobs::Queue sample = config.Queues[0];
  config.Queues.clear();
  for (const JobKind &kind : Kinds) {
    jobs::Queue queue = sample;
    queue.Id = jobs::QueueId(kind.Queue);
    queue.PathPrefix = absl::StrCat("/", kind.Queue, "/");
    queue.Priority = kind.Priority;
    queue.Approval = kind.Approval;
    config.Queues.push_back(queue);
  }
  return config;
}

// Workers, their announcements, and callers, on one loop.
class Drive {
public:
  struct Counts {
    std::size_t Starts = 0;
    uint64_t Connections = 0;
    std::map<std::string, uint64_t> Calls;
  };

  Drive(runtime::PollLoop &loop, int workers, double jobsPerSecond,
        std::vector<control::ClientMailbox> clients, http::CallMailbox calls,
        http::CallResults results)
      : Loop(loop), Stands(loop, "127.9"),
        Http(loop, std::move(calls), std::move(results)),
        Clients(std::move(clients)), JobsPerSecond(jobsPerSecond) {
    for (int i = 1; i <= workers; ++i) {
      const std::string id = absl::StrCat("w", i);
      if (const Status status = Stands.add(id, {16'000, 65'536, 0});
          !isOk(status)) {
        std::fprintf(stderr, "%s\n", errorOf(status).text().c_str());
        std::exit(1);
      }
      Loop.callAt(Loop.now() + AnnouncePeriod * i / workers,
                  [this, id] { announce(id); });
    }
    Loop.callEvery(HelpPeriod, [this] { offerHelp(); });
    Loop.callEvery(SubmitPeriod, [this] { submitDue(); });
    Loop.callEvery(Duration::millis(500),
                   [this] { post(jobs::PutConfiguration{configuration()}); });
  }

  Counts counts() {
    Counts out{0, Stands.connections(), Stands.calls()};
    for (const auto &[task, n] : Stands.workers().starts())
      out.Starts += static_cast<std::size_t>(n);
    return out;
  }

  std::size_t violations() { return Stands.workers().violations().size(); }

private:
  void post(jobs::Command what) {
    NextClient = (NextClient + 1) % Clients.size();
    (void)Clients[NextClient]->post(
        {std::move(what), CallTimeout,
         runtime::makeReplySlot<Result<jobs::Reply>>()});
  }

  void announce(const std::string &id) {
    Loop.callAt(Loop.now() + AnnouncePeriod, [this, id] { announce(id); });
    const jobs::Announcement what = Stands.workers().announcement(id);
    const nlohmann::json body{
        {"service", what.AnnouncedWorker.Pool.str()},
        {"address", what.AnnouncedWorker.At.str()},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"capacity",
         {{"cpu", what.AnnouncedWorker.Capacity.MilliCpu},
          {"memMb", what.AnnouncedWorker.Capacity.MemoryMb},
          {"gpu", 0}}},
        {"labels", {"a", absl::StrCat("r", id.substr(0, 2))}},
        {"clockMs", what.WorkerClock.millis()},
        {"born", what.AnnouncedWorker.WorkerIncarnation.Value},
        {"sequence", what.Sequence}};
    const auto known = BeatAt.find(id);
    const Address to = known != BeatAt.end()
                           ? known->second
                           : testing::SocketCell::controlAt(1);
    Http.call({to,
               "PUT",
               absl::StrCat("/instances/", id),
               {},
               body.dump(),
               CallTimeout},
              [this, id](const http::OutboundResult &result) {
                BeatAt.erase(id);
                if (!isOk(result))
                  return;
                const auto json =
                    nlohmann::json::parse(valueOf(result).Body, nullptr, false);
                if (json.is_object() && json.contains("heartbeatAddress"))
                  BeatAt[id] = valueOf(Address::parse(
                      json["heartbeatAddress"].get<std::string>()));
              });
  }

  void offerHelp() {
    for (int i = 1; i <= EntryHosts; ++i)
      post(jobs::RegisterHelper{HostId(absl::StrCat("entry-", i)),
                                testing::SocketCell::approverAt()});
  }

  void submitDue() {
    Owed += JobsPerSecond * static_cast<double>(SubmitPeriod.millis()) / 1000;
    for (; Owed >= 1; Owed -= 1)
      submit();
  }

  void submit() {
    double at = std::uniform_real_distribution<double>()(Random);
    std::size_t k = 0;
    while (k + 1 < Kinds.size() && at >= Kinds[k].Share)
      at -= Kinds[k++].Share;
    const JobKind &kind = Kinds[k];
    std::vector<jobs::StepSpec> steps;
    const bool hasTwo =
        std::uniform_real_distribution<double>()(Random) < kind.Steps - 1;
    for (uint32_t s = 0; s < (hasTwo ? 2U : 1U); ++s) {
      steps.push_back(testing::sampleStep(kind.Tasks));
      steps.back().Ask = kind.Ask;
      steps.back().Estimate = Duration::millis(kind.Millis);
      steps.back().IsGang = kind.IsGang;
      if (s > 0)
        steps.back().After = {s - 1};
    }
    const std::string id = absl::StrFormat("%c%015d", kind.Queue[0], ++LastJob);
    jobs::JobSpec job = testing::sampleJob(id, steps);
    job.Payload = absl::StrCat(kind.Millis, " ", std::string(400, 'x'));
    const jobs::Caller caller{"a.example", absl::StrCat("/", kind.Queue, "/"),
                              "key-a"};
    post(jobs::SubmitJob{caller, job});
    for (const int after : {2, 4})
      Loop.callAt(Loop.now() + Duration::millis(kind.Millis * after / 2),
                  [this, caller, id] {
                    post(jobs::ReadJob{caller, jobs::JobId(id)});
                  });
  }

  runtime::PollLoop &Loop;
  testing::SocketWorkers Stands;
  http::CallerClient Http;
  std::vector<control::ClientMailbox> Clients;
  double JobsPerSecond;
  double Owed = 0;
  std::size_t NextClient = 0;
  int LastJob = 0;
  std::mt19937_64 Random{7};
  std::map<std::string, Address> BeatAt;
};

struct ThreadUse {
  double CpuMs = 0;
  double Waits = 0;
};

// By thread id; the name comes with it.
std::map<std::string, std::pair<std::string, ThreadUse>> readThreads() {
  std::map<std::string, std::pair<std::string, ThreadUse>> out;
  for (const auto &entry :
       std::filesystem::directory_iterator("/proc/self/task")) {
    std::string name;
    double cpuNs = 0;
    std::ifstream(entry.path() / "comm") >> name;
    std::ifstream(entry.path() / "schedstat") >> cpuNs;
    std::ifstream status(entry.path() / "status");
    ThreadUse use{cpuNs / 1e6, 0};
    for (std::string word; status >> word;)
      if (word == "voluntary_ctxt_switches:")
        status >> use.Waits;
    out[entry.path().filename()] = {name, use};
  }
  return out;
}

// The busiest thread of each name, but all threads of the HTTP servers' pools.
std::map<std::string, ThreadUse>
leaderUse(const std::map<std::string, std::pair<std::string, ThreadUse>> &from,
          const std::map<std::string, std::pair<std::string, ThreadUse>> &to) {
  std::map<std::string, ThreadUse> out;
  for (const auto &[id, named] : to) {
    const auto it = from.find(id);
    const ThreadUse before = it != from.end() ? it->second.second : ThreadUse();
    const ThreadUse use{named.second.CpuMs - before.CpuMs,
                        named.second.Waits - before.Waits};
    ThreadUse &held = out[named.first];
    if (named.first == "http-conn")
      held = {held.CpuMs + use.CpuMs, held.Waits + use.Waits};
    else if (use.CpuMs > held.CpuMs)
      held = use;
  }
  return out;
}

const std::vector<std::string> LeaderThreads = {
    "control_member", "caller",    "transport",
    "control_http",   "http-conn", "log"};

void report(const std::map<std::string, ThreadUse> &use, double seconds,
            const Drive::Counts &from, const Drive::Counts &to) {
  const auto starts = static_cast<double>(to.Starts - from.Starts);
  std::printf("%.0f starts a second, %.2f connections a second\n",
              starts / seconds,
              static_cast<double>(to.Connections - from.Connections) / seconds);
  for (const auto &[target, n] : to.Calls) {
    const auto it = from.Calls.find(target);
    const uint64_t before = it != from.Calls.end() ? it->second : 0;
    std::printf("%s: %.2f a start\n", target.c_str(),
                static_cast<double>(n - before) / starts);
  }
  double total = 0;
  double waits = 0;
  for (const std::string &name : LeaderThreads) {
    const auto it = use.find(name);
    if (it == use.end())
      continue;
    total += it->second.CpuMs;
    waits += it->second.Waits;
    std::printf("%-15s %6.1f us a start, %5.3f of a core, %.2f waits a start\n",
                name.c_str(), it->second.CpuMs * 1000 / starts,
                it->second.CpuMs / 1000 / seconds, it->second.Waits / starts);
  }
  std::printf("%-15s %6.1f us a start, %5.3f of a core, %.2f waits a start\n",
              "leader", total * 1000 / starts, total / 1000 / seconds,
              waits / starts);
}

bool isApproved(const jobs::StepKey &step, const WorkerId &worker) {
  const auto kind = std::ranges::find_if(Kinds, [&](const JobKind &it) {
    return it.Queue[0] == step.Job.str()[0];
  });
  const std::size_t at =
      std::hash<std::string>()(step.Job.str() + worker.str()) % 100;
  return static_cast<double>(at) < kind->ApprovedShare * 100;
}

// Drives the cell, reports, and ends the process: the trees need not stop.
[[noreturn]] void drive(runtime::PollLoop &loop, Drive &drive, int seconds) {
  const auto runFor = [&](Duration span) {
    loop.callAt(loop.now() + span, [&loop] { loop.stop(); });
    (void)loop.run();
  };
  runFor(WarmUp);
  const auto from = drive.counts();
  const auto threadsFrom = readThreads();
  runFor(Duration::seconds(seconds));
  report(leaderUse(threadsFrom, readThreads()), seconds, from, drive.counts());
  std::printf("violations: %zu\n", drive.violations());
  std::fflush(stdout);
  std::_Exit(drive.violations() == 0 ? 0 : 1);
}

int run(int workers, int jobsPerSecond, int seconds) {
  daemon::LogOptions lines;
  lines.Fd = STDERR_FILENO;
  lines.Host = "bench";
  daemon::AsyncLog log(lines);
  logging::setSink([&log](const logging::Record &it) { log.push(it); });
  const testing::RunningTree writer(log.task());
  testing::SocketCellOptions options;
  options.IsApproved = isApproved;
  const testing::SocketCell cell(options);
  const auto calls = runtime::makeMailbox<http::CallRequest>(MailboxCapacity);
  const auto results = runtime::makeMailbox<http::CallResult>(MailboxCapacity);
  const testing::RunningTree beats(
      {"beats", http::httpCallerTask({}, calls, results).Body});
  const testing::RunningTree driver(
      {"drive", [&](runtime::TaskContext &context) -> Status {
         Drive load(context.loop(), workers, jobsPerSecond, cell.clients(),
                    calls, results);
         drive(context.loop(), load, seconds);
       }});
  pause();
  return 0;
}

} // namespace
} // namespace jujube

int main(int argc, char **argv) {
  const auto argument = [&](int at, int fallback) {
    return argc > at ? std::atoi(argv[at]) : fallback;
  };
  return jujube::run(argument(1, 350), argument(2, 111), argument(3, 10));
}
