#include "jujube/daemon/daemon.h"

#include <malloc.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "glog/logging.h"
#include "jujube/daemon/async_log.h"
#include "jujube/logging/line.h"

namespace jujube::daemon {

using logging::Event;
using logging::Level;
using logging::Line;

Result<std::vector<consensus::Peer>> parsePeers(absl::string_view text) {
  std::vector<consensus::Peer> peers;
  for (absl::string_view item :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(item, absl::MaxSplits('=', 1));
    auto host = HostId::parse(parts.first);
    auto address = Address::parse(parts.second);
    if (!isOk(host) || !isOk(address))
      return Error{ErrorKind::InvalidArgument,
                   absl::StrCat("'", item, "' is not a valid group member"),
                   "write members as HOST=IP:PORT,HOST=IP:PORT"};
    peers.push_back({valueOf(std::move(host)), valueOf(std::move(address))});
  }
  return peers;
}

Result<Address> addressOf(const std::vector<consensus::Peer> &peers,
                          const HostId &self) {
  const auto it = std::ranges::find(peers, self, &consensus::Peer::Host);
  if (it != peers.end())
    return it->At;
  return Error{
      ErrorKind::InvalidArgument,
      absl::StrCat("host ", self.str(), " is not in the list of members"),
      "add HOST=IP:PORT of this host to the list"};
}

namespace {

// After a fatal error the process ends within this time, even if stderr is a
// full pipe without a reader.
constexpr unsigned FatalExitSeconds = 2;
// Threads share this many heaps of the allocator. By default there are eight
// for each core, and each keeps what its threads have freed.
constexpr int AllocatorHeaps = 2;
constexpr int CrashReportTimeoutMs = 200;

// Writes a part of a crash report to stderr. May run in a signal handler. If
// stderr is blocked, the rest of the report is discarded, so that the process
// can end.
void writeCrashReport(const char *data, std::size_t n) {
  static bool isBlocked = false;
  pollfd output{STDERR_FILENO, POLLOUT, 0};
  isBlocked = isBlocked || poll(&output, 1, CrashReportTimeoutMs) <= 0;
  if (!isBlocked && write(STDERR_FILENO, data, n) < 0)
    isBlocked = true;
}

// Forwards the glog messages of libraries and assertions to the log.
class GlogForwarder : public google::LogSink {
public:
  explicit GlogForwarder(AsyncLog &pipe) : Pipe(pipe) {
    google::AddLogSink(this);
  }
  ~GlogForwarder() override { google::RemoveLogSink(this); }
  GlogForwarder(const GlogForwarder &) = delete;
  GlogForwarder &operator=(const GlogForwarder &) = delete;

  void send(google::LogSeverity severity, const char * /*path*/,
            const char *file, int line, const google::LogMessageTime &,
            const char *message, std::size_t n) override {
    if (severity == google::GLOG_FATAL) {
      alarm(FatalExitSeconds);
      writeCrashReport(message, n);
    }
    const auto level = severity == google::GLOG_INFO ? logging::Level::Info
                       : severity == google::GLOG_WARNING
                           ? logging::Level::Warning
                           : logging::Level::Error;
    const std::string text = logging::quoted(absl::string_view(message, n));
    Pipe.push({logging::Event::Message, level,
               absl::StrCat(" source=", file, ":", line, " text=", text)});
  }

private:
  AsyncLog &Pipe;
};

// Disables log files and the stderr output of glog, except for the stack trace
// of a crash. glog would write to stderr before it calls GlogForwarder, whose
// writes have a timeout, and could block there.
void startGlog(const char *program) {
  for (const google::LogSeverity severity :
       {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR,
        google::GLOG_FATAL})
    google::SetLogDestination(severity, "");
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  google::InitGoogleLogging(program);
  google::InstallFailureWriter(writeCrashReport);
  google::InstallFailureSignalHandler();
}

std::vector<SettingSpec> withLogSettings(std::vector<SettingSpec> specs) {
  specs.push_back(
      {"log", SettingKind::Text, "all",
       absl::StrCat("which lines are written: ", namesIn(LogDetailNames))});
  return specs;
}

Result<LogOptions> logOptions(const Settings &settings,
                              const std::vector<SettingSpec> &specs,
                              absl::string_view program) {
  LogOptions options;
  const auto detail = valueIn(LogDetailNames, settings.text("log"));
  if (!detail)
    return Error{
        ErrorKind::InvalidArgument,
        absl::StrCat("--log has the value '", settings.text("log"), "'"),
        absl::StrCat("give one of ", namesIn(LogDetailNames))};
  options.Detail = *detail;
  options.Host = std::string(program);
  for (const absl::string_view name : {"host", "self"})
    if (const auto it = std::ranges::find(specs, name, &SettingSpec::Name);
        it != specs.end())
      options.Host = settings.text(it->Name);
  return options;
}

// Runs the tree together with the log task, which is stopped last. The root
// does not restart them: the tree restarts its own tasks.
Status runWithLog(const runtime::Supervisor &tree, AsyncLog &log) {
  auto root = runtime::Supervisor::create(
      {"root", runtime::RestartPolicy::OneForOne, {0, Duration::seconds(1)}},
      {log.task(), tree.asChild()});
  if (!isOk(root))
    return errorOf(root);
  return runtime::runUntilSignalled(valueOf(root), Clock::monotonic());
}

// Runs the tree until it ends and returns the exit code.
int runToCompletion(const Result<runtime::Supervisor> &tree, AsyncLog &log) {
  const Status status =
      isOk(tree) ? runWithLog(valueOf(tree), log) : Status(errorOf(tree));
  if (isOk(status)) {
    Line(Event::Stopped).with("pid", getpid());
    return 0;
  }
  const std::string text = errorOf(status).text();
  Line(Event::TreeFailed, Level::Error).with("error", text);
  std::cerr << text << "\n";
  return isOk(tree) ? 1 : UsageExitCode;
}

} // namespace

int runDaemon(absl::string_view usage, const std::vector<SettingSpec> &specs,
              const TreeHook &makeTree, int argc, char **argv) {
  (void)mallopt(M_ARENA_MAX, AllocatorHeaps);
  const std::vector<SettingSpec> all = withLogSettings(specs);
  auto parsed = parseCommandLine(usage, all, argc, argv);
  if (const int *code = std::get_if<int>(&parsed))
    return *code;
  const auto &settings = std::get<Settings>(parsed);
  const absl::string_view program = usage.substr(0, usage.find(' '));
  auto options = logOptions(settings, all, program);
  if (!isOk(options)) {
    std::cerr << errorOf(options).text() << "\n";
    return UsageExitCode;
  }
  // With SIGXFSZ ignored, a write beyond the file size limit returns an error
  // and does not end the process.
  std::signal(SIGXFSZ, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  AsyncLog log(valueOf(std::move(options)));
  logging::setSink([&log](const logging::Record &record) { log.push(record); });
  startGlog(argv[0]);
  const GlogForwarder forwarder(log);
  Line(Event::Started)
      .with("program", program)
      .with("pid", getpid())
      .with("log", settings.text("log"));
  const int code = runToCompletion(makeTree(settings), log);
  log.flush();
  logging::setSink({});
  return code;
}

} // namespace jujube::daemon
