#include "jujube/daemon/daemon.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "glog/logging.h"
#include "jujube/daemon/log_pipe.h"
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
                   absl::StrCat("'", item, "' is not a member"),
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

// A process that fails ends within this span, even if its error output is full
// and nobody reads it.
constexpr unsigned FatalSeconds = 2;
constexpr int FailureWriteMs = 200;

// Writes a part of the stack of a crash. Called by a signal handler: a reader
// that does not read costs the rest of the stack, not the end of the process.
void writeFailure(const char *data, std::size_t n) {
  static bool isStuck = false;
  pollfd output{STDERR_FILENO, POLLOUT, 0};
  isStuck = isStuck || poll(&output, 1, FailureWriteMs) <= 0;
  if (!isStuck && write(STDERR_FILENO, data, n) < 0)
    isStuck = true;
}

// Takes the lines that libraries and assertions write through glog.
class GlogForwarder : public google::LogSink {
public:
  explicit GlogForwarder(LogPipe &pipe) : Pipe(pipe) {
    google::AddLogSink(this);
  }
  ~GlogForwarder() override { google::RemoveLogSink(this); }
  GlogForwarder(const GlogForwarder &) = delete;
  GlogForwarder &operator=(const GlogForwarder &) = delete;

  void send(google::LogSeverity severity, const char * /*path*/,
            const char *file, int line, const google::LogMessageTime &,
            const char *message, std::size_t n) override {
    if (severity == google::GLOG_FATAL) {
      alarm(FatalSeconds);
      writeFailure(message, n);
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
  LogPipe &Pipe;
};

// glog writes to no file, and to standard error only the stack of what ends the
// process: the sink that bounds its own writes comes after glog's.
void startGlog(const char *program) {
  for (const google::LogSeverity severity :
       {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR,
        google::GLOG_FATAL})
    google::SetLogDestination(severity, "");
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  google::InitGoogleLogging(program);
  google::InstallFailureWriter(writeFailure);
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
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("--log: no level '", settings.text("log"), "'"),
                 absl::StrCat("give one of ", namesIn(LogDetailNames))};
  options.Detail = *detail;
  options.Host = std::string(program);
  for (const absl::string_view name : {"host", "self"})
    if (const auto it = std::ranges::find(specs, name, &SettingSpec::Name);
        it != specs.end())
      options.Host = settings.text(it->Name);
  return options;
}

// Runs the tree beside the log, which ends last. What restarts the tree's tasks
// is the tree itself.
Status runBesideLog(const runtime::Supervisor &tree, LogPipe &log) {
  auto root = runtime::Supervisor::create(
      {"root", runtime::RestartPolicy::OneForOne, {0, Duration::seconds(1)}},
      {log.task(), tree.asChild()});
  if (!isOk(root))
    return errorOf(root);
  return runtime::runUntilSignalled(valueOf(root), Clock::monotonic());
}

// Runs the tree to its end; returns the exit code.
int runToEnd(const Result<runtime::Supervisor> &tree, LogPipe &log) {
  const Status status =
      isOk(tree) ? runBesideLog(valueOf(tree), log) : Status(errorOf(tree));
  if (isOk(status)) {
    Line(Event::Stopped).with("pid", getpid());
    return 0;
  }
  const std::string text = errorOf(status).text();
  Line(Event::GaveUp, Level::Error).with("error", text);
  std::cerr << text << "\n";
  return isOk(tree) ? 1 : UsageExitCode;
}

} // namespace

int runDaemon(absl::string_view usage, const std::vector<SettingSpec> &specs,
              const TreeHook &makeTree, int argc, char **argv) {
  const std::vector<SettingSpec> all = withLogSettings(specs);
  auto parsed = parseOrExplain(usage, all, argc, argv);
  if (const int *code = std::get_if<int>(&parsed))
    return *code;
  const auto &settings = std::get<Settings>(parsed);
  const absl::string_view program = usage.substr(0, usage.find(' '));
  auto options = logOptions(settings, all, program);
  if (!isOk(options)) {
    std::cerr << errorOf(options).text() << "\n";
    return UsageExitCode;
  }
  // A file that may not grow any more is an error of its write, not the end of
  // the process.
  std::signal(SIGXFSZ, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  LogPipe log(valueOf(std::move(options)));
  logging::setSink([&log](const logging::Record &record) { log.push(record); });
  startGlog(argv[0]);
  const GlogForwarder forwarder(log);
  Line(Event::Started)
      .with("program", program)
      .with("pid", getpid())
      .with("log", settings.text("log"));
  const int code = runToEnd(makeTree(settings), log);
  log.flush();
  logging::setSink({});
  return code;
}

} // namespace jujube::daemon
