// Supervisors start, restart and stop tasks; a supervisor is itself the body of
// a task, so that supervisors form a tree.
#ifndef JUJUBE_RUNTIME_SUPERVISOR_H_
#define JUJUBE_RUNTIME_SUPERVISOR_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"
#include "jujube/runtime/task.h"

namespace jujube::runtime {

// Which children are restarted after one has failed.
enum class RestartPolicy {
  // Only the one that failed.
  OneForOne,
  // The one that failed and all that were started after it.
  RestForOne,
};

inline constexpr NameTable<RestartPolicy, 2> RestartPolicyNames = {{
    {RestartPolicy::OneForOne, "one_for_one"},
    {RestartPolicy::RestForOne, "rest_for_one"},
}};
static_assert(isComplete(RestartPolicyNames));

// The most restarts within a window; one more makes the supervisor fail.
struct RestartBudget {
  std::size_t MaxRestarts = 5;
  Duration Window = Duration::seconds(30);
};

// A task that a supervisor looks after.
struct ChildSpec {
  std::string Name;
  TaskBody Body;
};

// Starts its children in order, restarts them by policy within the budget and
// stops them in reverse order. A child that ends without an error before it is
// asked to is not restarted.
class Supervisor {
public:
  struct Options {
    std::string Name;
    RestartPolicy Policy = RestartPolicy::OneForOne;
    RestartBudget Budget;
  };

  // Fails if two children share a name or one has no body.
  static Result<Supervisor> create(Options options,
                                   std::vector<ChildSpec> children);

  // Runs until the context asks to stop (Ok) or the budget is used up (the
  // error of the child that failed last). All children have ended when it
  // returns.
  Status run(TaskContext &context) const;

  // The supervisor as a child of another.
  ChildSpec asChild() const;

private:
  Supervisor(Options options, std::vector<ChildSpec> children)
      : Settings(std::move(options)), Children(std::move(children)) {}

  Options Settings;
  std::vector<ChildSpec> Children;
};

// Runs a tree on the calling thread until SIGTERM or SIGINT asks it to stop.
// SIGHUP ends nothing: tasks read settings that may change when they need them.
// Call it before any other thread is started, so that all block these signals.
Status runUntilSignalled(const Supervisor &root, const Clock &clock);

} // namespace jujube::runtime

#endif // JUJUBE_RUNTIME_SUPERVISOR_H_
