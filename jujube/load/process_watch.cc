#include "jujube/load/process_watch.h"

#include <signal.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace jujube::load {
namespace {

// Indices of fields after the command's closing parenthesis in /proc/PID/stat.
constexpr std::size_t UserTicksField = 11;
constexpr std::size_t SystemTicksField = 12;
constexpr std::size_t ResidentPagesField = 1;
constexpr int64_t MillisPerSecond = 1000;
constexpr int64_t BytesPerKb = 1024;

Error badPart(absl::string_view what, absl::string_view part,
              absl::string_view form) {
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("'", part, "' is not a ", what),
               absl::StrCat("write it as ", form)};
}

// Accepts only single processes: kill() takes 0 and negative ids as process
// groups.
bool parsePid(absl::string_view text, pid_t &pid) {
  return absl::SimpleAtoi(text, &pid) && pid > 1;
}

std::string readText(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int signalOf(FaultKind kind) {
  switch (kind) {
  case FaultKind::Kill:
    return SIGKILL;
  case FaultKind::Pause:
    return SIGSTOP;
  case FaultKind::Resume:
    return SIGCONT;
  case FaultKind::Terminate:
    return SIGTERM;
  }
  return 0;
}

} // namespace

Result<std::vector<WatchedProcess>> parseWatched(absl::string_view text) {
  std::vector<WatchedProcess> all;
  for (const absl::string_view part :
       absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::vector<std::string> halves = absl::StrSplit(part, '=');
    WatchedProcess process;
    if (halves.size() != 2 || halves[0].empty() ||
        !parsePid(halves[1], process.Pid))
      return badPart("process", part, "NAME=PID");
    process.Name = halves[0];
    all.push_back(std::move(process));
  }
  return all;
}

std::optional<ProcessUse> parseUse(absl::string_view stat,
                                   absl::string_view statm,
                                   int64_t ticksPerSecond, int64_t pageBytes) {
  const std::size_t end = stat.rfind(')');
  if (end == absl::string_view::npos)
    return std::nullopt;
  const std::vector<absl::string_view> fields =
      absl::StrSplit(stat.substr(end + 1), ' ', absl::SkipEmpty());
  const std::vector<absl::string_view> pages =
      absl::StrSplit(statm, ' ', absl::SkipEmpty());
  int64_t user = 0;
  int64_t system = 0;
  int64_t resident = 0;
  if (fields.size() <= SystemTicksField || pages.size() <= ResidentPagesField ||
      !absl::SimpleAtoi(fields[UserTicksField], &user) ||
      !absl::SimpleAtoi(fields[SystemTicksField], &system) ||
      !absl::SimpleAtoi(pages[ResidentPagesField], &resident))
    return std::nullopt;
  return ProcessUse{
      Duration::millis((user + system) * MillisPerSecond / ticksPerSecond),
      resident * pageBytes / BytesPerKb};
}

std::optional<ProcessUse> readUse(pid_t pid) {
  const std::string folder = absl::StrCat("/proc/", pid);
  return parseUse(readText(folder + "/stat"), readText(folder + "/statm"),
                  sysconf(_SC_CLK_TCK), sysconf(_SC_PAGESIZE));
}

Result<std::vector<Fault>> parseFaults(absl::string_view text) {
  std::vector<Fault> all;
  for (const absl::string_view part :
       absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::vector<std::string> fields = absl::StrSplit(part, ':');
    Fault fault;
    int64_t at = 0;
    const std::optional<FaultKind> kind =
        fields.size() == 3 ? valueIn(FaultKindNames, fields[1]) : std::nullopt;
    if (!kind || !absl::SimpleAtoi(fields[0], &at) || at < 0 ||
        !parsePid(fields[2], fault.Pid))
      return badPart("fault", part,
                     absl::StrCat("MILLISECONDS:KIND:PID with a kind out of ",
                                  namesIn(FaultKindNames)));
    fault.At = Duration::millis(at);
    fault.Kind = *kind;
    all.push_back(fault);
  }
  return all;
}

Status apply(const Fault &fault) {
  if (kill(fault.Pid, signalOf(fault.Kind)) == 0)
    return Ok{};
  return Error{ErrorKind::NotFound,
               absl::StrCat("process ", fault.Pid, " could not be signalled"),
               "give the id of a running process of this user"};
}

} // namespace jujube::load
