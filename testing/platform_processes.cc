#include "testing/platform_processes.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "httplib.h"
#include "jujube/base/digest.h"
#include "testing/cell.h"
#include "testing/socket_workers.h"

extern char **environ;

namespace jujube::testing {
namespace {

constexpr uint16_t GroupPort = 7431;
constexpr uint16_t MetricsPort = 9464;
constexpr char CoreIp[] = "127.21.0.1";
constexpr char FrontIp[] = "127.21.0.2";
constexpr char WorkerNetwork[] = "127.22";
constexpr char Key[] = "key-of-a";
constexpr char QueueHost[] = "a.example";
constexpr int StatusOk = 200;

constexpr char Configuration[] =
    R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/p/",)"
    R"("timeoutMs":3000,"targetLatencyMs":1000,"priority":0,"service":"desk",)"
    R"("maxAttempts":3,"slackFactor":4.0}],"services":[{"name":"desk"}],)"
    R"("tenants":[{"name":"a","apiKeys":["key-of-a"],"weight":10}]})";

httplib::Client clientOf(const Address &at) {
  httplib::Client client(at.Ip, at.Port);
  client.set_connection_timeout(2);
  client.set_read_timeout(5);
  return client;
}

httplib::Headers callerHeaders() {
  return {{"Host", QueueHost}, {"Authorization", absl::StrCat("Bearer ", Key)}};
}

bool isPut(const std::string &path, const std::string &body) {
  const auto answer = clientOf(PlatformProcesses::control())
                          .Put(path, body, "application/json");
  return answer && answer->status == StatusOk;
}

std::string announcementBody(const jobs::Announcement &what) {
  const jobs::Worker &worker = what.AnnouncedWorker;
  return absl::StrCat(
      R"({"service":"desk","address":")", worker.At.str(),
      R"(","zone":"z","version":"v1","slots":8,"state":"ready","capacity":)",
      R"({"cpu":)", worker.Capacity.MilliCpu, R"(,"memMb":)",
      worker.Capacity.MemoryMb, R"(,"gpu":0},"labels":["a","r1"],"clockMs":)",
      what.WorkerClock.millis(), R"(,"sequence":)", what.Sequence,
      R"(,"born":)", worker.WorkerIncarnation.Value, "}");
}

// Runs the worker, which announces itself every second.
runtime::TaskBody workerBody() {
  return [](runtime::TaskContext &context) -> Status {
    runtime::PollLoop &loop = context.loop();
    SocketWorkers workers(loop, WorkerNetwork);
    if (Status added = workers.add("w1", {8000, 8000, 0}); !isOk(added))
      return added;
    const auto announce = [&workers] {
      (void)isPut("/instances/w1",
                  announcementBody(workers.workers().announcement("w1")));
    };
    loop.callEvery(Duration::seconds(1), announce);
    context.onStop([&loop] { loop.stop(); });
    return loop.run();
  };
}

} // namespace

ServedProcess::ServedProcess(const std::string &program,
                             std::vector<std::string> flags,
                             const std::string &logPath) {
  flags.insert(flags.begin(), absl::StrCat("build/bin/", program));
  std::vector<char *> argv;
  std::ranges::transform(flags, std::back_inserter(argv),
                         [](std::string &flag) { return flag.data(); });
  argv.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, logPath.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, STDERR_FILENO, STDOUT_FILENO);
  if (posix_spawn(&Pid, argv[0], &files, nullptr, argv.data(), environ) != 0)
    Pid = 0;
  posix_spawn_file_actions_destroy(&files);
}

ServedProcess::~ServedProcess() {
  if (!isAlive())
    return;
  kill(Pid, SIGKILL);
  (void)waitpid(Pid, nullptr, 0);
}

bool ServedProcess::isAlive() {
  if (Pid != 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = 0;
  return Pid != 0;
}

ProcessUsage ServedProcess::usage() const {
  ProcessUsage usage;
  const std::string folder = absl::StrCat("/proc/", Pid);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);)
    if (absl::StartsWith(line, "VmHWM:"))
      usage.PeakKilobytes = std::strtoul(line.c_str() + 6, nullptr, 10);
  std::error_code ec;
  usage.Descriptors = static_cast<std::size_t>(
      std::distance(std::filesystem::directory_iterator(folder + "/fd", ec),
                    std::filesystem::directory_iterator()));
  return usage;
}

PlatformProcesses::PlatformProcesses()
    : Folder(absl::StrCat(std::filesystem::temp_directory_path().string(),
                          "/jujube-doors-", randomHex(6))) {
  std::filesystem::create_directories(Folder);
  const std::string seeds = absl::StrCat("--seeds=", control().str());
  const std::string metrics = absl::StrCat("--metrics-port=", MetricsPort);
  Core = std::make_unique<ServedProcess>(
      "jujube-core",
      std::vector<std::string>{
          "--host=core", "--zone=z",
          absl::StrCat("--listen=", CoreIp, ":", GroupPort),
          absl::StrCat("--control=", control().str()), seeds,
          absl::StrCat("--data=", Folder), "--bootstrap=true", "--tolerate=0",
          metrics},
      Folder + "/core.log");
  Front = std::make_unique<ServedProcess>(
      "jujube-front",
      std::vector<std::string>{
          "--host=front", "--zone=z",
          absl::StrCat("--listen=", FrontIp, ":", GroupPort),
          absl::StrCat("--http=", clients().str()),
          absl::StrCat("--readiness=", readiness().str()), seeds, metrics},
      Folder + "/front.log");
  if (!eventually([] { return isPut("/config", Configuration); }))
    std::abort();
  Workers =
      valueOf(runtime::Task::start("worker", Clock::monotonic(), workerBody(),
                                   [](const runtime::TaskExit &) {}));
  if (submit("00000000000000aa", 10) != StatusOk ||
      !awaitCompleted("00000000000000aa"))
    std::abort();
}

PlatformProcesses::~PlatformProcesses() {
  Workers->requestStop();
  Workers->join();
  Front.reset();
  Core.reset();
  std::error_code ec;
  std::filesystem::remove_all(Folder, ec);
}

Address PlatformProcesses::clients() { return {FrontIp, 8183}; }
Address PlatformProcesses::readiness() { return {FrontIp, 8184}; }
Address PlatformProcesses::control() { return {CoreIp, 8180}; }
Address PlatformProcesses::frontMetrics() { return {FrontIp, MetricsPort}; }
Address PlatformProcesses::coreMetrics() { return {CoreIp, MetricsPort}; }

std::string PlatformProcesses::pathOf(const std::string &id) {
  return "/p/" + id;
}

int PlatformProcesses::submit(const std::string &id, int ms) {
  const std::string body =
      absl::StrCat(R"({"spec":")", ms,
                   R"(","phases":[{"count":1,"cpu":100,"memMb":1,)"
                   R"("estimatedMs":)",
                   ms, "}]}");
  int status = 0;
  (void)eventually([&] {
    const auto answer = clientOf(clients()).Post(pathOf(id), callerHeaders(),
                                                 body, "application/json");
    status = answer ? answer->status : 0;
    return status == StatusOk;
  });
  return status;
}

bool PlatformProcesses::awaitCompleted(const std::string &id) {
  return eventually([&] {
    const auto answer = clientOf(clients()).Get(pathOf(id), callerHeaders());
    return answer && answer->status == StatusOk &&
           absl::StrContains(answer->body, "completed");
  });
}

bool PlatformProcesses::isAnswered(const Address &at, const std::string &path) {
  return eventually([&] {
    const auto answer = clientOf(at).Get(path);
    return answer && answer->status == StatusOk;
  });
}

} // namespace jujube::testing
