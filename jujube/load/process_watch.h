// Reads the processor time and memory of other processes, and injects faults
// into them.
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

// A process that a run observes.
struct WatchedProcess {
  std::string Name;
  pid_t Pid = 0;

  bool operator==(const WatchedProcess &) const = default;
};

// Parses "NAME=PID,...".
Result<std::vector<WatchedProcess>> parseWatched(absl::string_view text);

// Processor time since the start of a process, and its current resident memory.
struct ProcessUse {
  Duration Cpu;
  int64_t ResidentKb = 0;
};

// Reads /proc. Returns nothing if the process has exited.
std::optional<ProcessUse> readUse(pid_t pid);

// Parses the contents of /proc/PID/stat and /proc/PID/statm. Returns nothing if
// they are malformed.
std::optional<ProcessUse> parseUse(absl::string_view stat,
                                   absl::string_view statm,
                                   int64_t ticksPerSecond, int64_t pageBytes);

// A fault to inject into a process.
enum class FaultKind { Kill, Pause, Resume, Terminate };

inline constexpr NameTable<FaultKind, 4> FaultKindNames = {{
    {FaultKind::Kill, "kill"},
    {FaultKind::Pause, "pause"},
    {FaultKind::Resume, "resume"},
    {FaultKind::Terminate, "terminate"},
}};
static_assert(isComplete(FaultKindNames));

struct Fault {
  // Time since the start of the run.
  Duration At;
  FaultKind Kind = FaultKind::Kill;
  pid_t Pid = 0;

  bool operator==(const Fault &) const = default;
};

// Parses "MILLISECONDS:KIND:PID,...".
Result<std::vector<Fault>> parseFaults(absl::string_view text);

// Sends the signal of the fault to its process.
Status apply(const Fault &fault);

} // namespace jujube::load

#endif // JUJUBE_LOAD_PROCESS_WATCH_H_
