// Processor time and memory of other processes, and the faults that a run
// brings about in them.
#ifndef JUJUBE_LOAD_PROCESS_WATCH_H_
#define JUJUBE_LOAD_PROCESS_WATCH_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"
#include "jujube/base/result.h"

namespace jujube::load {

// A process that a run was pointed at.
struct WatchedProcess {
  std::string Name;
  pid_t Pid = 0;

  bool operator==(const WatchedProcess &) const = default;
};

// Parses "NAME=PID,...".
Result<std::vector<WatchedProcess>> parseWatched(absl::string_view text);

// What a process has used so far.
struct ProcessUse {
  Duration Cpu;
  int64_t ResidentKb = 0;
};

// Reads /proc; nothing if the process is gone.
std::optional<ProcessUse> readUse(pid_t pid);

// Parses the texts of /proc/PID/stat and /proc/PID/statm.
std::optional<ProcessUse> parseUse(absl::string_view stat,
                                   absl::string_view statm,
                                   int64_t ticksPerSecond, int64_t pageBytes);

// What is done to a process.
enum class FaultKind { Kill, Pause, Resume, Terminate };

inline constexpr NameTable<FaultKind, 4> FaultKindNames = {{
    {FaultKind::Kill, "kill"},
    {FaultKind::Pause, "pause"},
    {FaultKind::Resume, "resume"},
    {FaultKind::Terminate, "terminate"},
}};
static_assert(isComplete(FaultKindNames));

struct Fault {
  // Since the start of the run.
  Duration At;
  FaultKind Kind = FaultKind::Kill;
  pid_t Pid = 0;

  bool operator==(const Fault &) const = default;
};

// Parses "MILLISECONDS:KIND:PID,...".
Result<std::vector<Fault>> parseFaults(absl::string_view text);

// Sends the fault's signal.
Status apply(const Fault &fault);

} // namespace jujube::load

#endif // JUJUBE_LOAD_PROCESS_WATCH_H_
