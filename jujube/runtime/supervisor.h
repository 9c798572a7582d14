// Supervisors start, restart and stop tasks. A supervisor can run as a task, so
// that supervisors form a tree.
#ifndef JUJUBE_RUNTIME_SUPERVISOR_H_
#define JUJUBE_RUNTIME_SUPERVISOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/task.h"

namespace jujube::runtime {

// Selects the children to restart after a child fails.
enum class RestartPolicy {
  // Only the failed child.
  OneForOne,
  // The failed child and all children that are listed after it.
  RestForOne,
};

inline constexpr NameTable<RestartPolicy, 2> RestartPolicyNames = {{
    {RestartPolicy::OneForOne, "one_for_one"},
    {RestartPolicy::RestForOne, "rest_for_one"},
}};
static_assert(isComplete(RestartPolicyNames));

// Maximum number of restarts within a sliding window. The supervisor fails when
// it is exceeded.
struct RestartBudget {
  std::size_t MaxRestarts = 5;
  Duration Window = Duration::seconds(30);
};

// Delays of the restarts of a child whose failures can pass without a restart
// of the process, such as those of a full disk. Such restarts do not count
// towards the restart budget.
struct RestartBackoff {
  // The first delay; doubles with each failure in a row up to Max.
  Duration First = Duration::millis(100);
  Duration Max = Duration::seconds(2);
  // A child that ran for this long begins again with the first delay.
  Duration StableAfter = Duration::seconds(10);
  // Returns true for errors that can pass. Others use the restart budget.
  std::function<bool(const Error &)> CanPass;
};

// Describes a task that a supervisor runs. `Name` is unique among its children.
struct ChildSpec {
  std::string Name;
  TaskBody Body;
  std::optional<RestartBackoff> Backoff = std::nullopt;
};

// Starts its children in order, restarts failed children by policy within the
// restart budget, and stops all children in reverse order. A child that returns
// Ok before it is asked to stop is not restarted.
class Supervisor {
public:
  struct Options {
    std::string Name;
    RestartPolicy Policy = RestartPolicy::OneForOne;
    RestartBudget Budget;
  };

  // Returns InvalidArgument if two children have the same name or a child has
  // no body.
  static Result<Supervisor> create(Options options,
                                   std::vector<ChildSpec> children);

  // Runs until the context requests a stop (returns Ok) or the restart budget
  // is exceeded (returns the error of the last failed child). All children have
  // ended when it returns.
  Status run(TaskContext &context) const;

  // Returns a spec that runs a copy of this supervisor as a child of another
  // supervisor.
  ChildSpec asChild() const;

private:
  Supervisor(Options options, std::vector<ChildSpec> children)
      : Settings(std::move(options)), Children(std::move(children)) {}

  Options Settings;
  std::vector<ChildSpec> Children;
};

// Runs a supervisor tree on the calling thread until SIGTERM or SIGINT. SIGHUP
// is logged and otherwise ignored, since tasks read settings that may change
// each time they use them. Call it before other threads are started, so that
// they inherit the signal mask.
Status runUntilSignalled(const Supervisor &root, const Clock &clock);

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_SUPERVISOR_H_
