#include "jujube/runtime/supervisor.h"

#include <pthread.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <ranges>
#include <set>

#include "absl/strings/str_cat.h"
#include "jujube/logging/line.h"
#include "jujube/runtime/mailbox.h"

namespace jujube::runtime {
namespace {

using logging::Event;
using logging::Level;
using logging::Line;

// The end of one run of a child. `StartCount` distinguishes it from other runs
// of the same child.
struct ChildExit {
  std::size_t Index = 0;
  uint64_t StartCount = 0;
  Status Outcome;
};

// The state of a running supervisor. Used only on the thread of the supervisor.
class SupervisorRun {
public:
  SupervisorRun(const Supervisor::Options &settings,
                const std::vector<ChildSpec> &children, TaskContext &context)
      : Settings(settings), Children(children), Context(context),
        Exits(makeMailbox<ChildExit>(2 * children.size() + 1)),
        Tasks(children.size()), StartCounts(children.size()),
        Delays(children.size()) {}

  Status run() {
    Context.loop().watchMailbox<ChildExit>(
        Exits, [this](const ChildExit &e) { handleExit(e); });
    startFrom(0);
    Status status = isOk(Outcome) ? Context.loop().run() : Status(Ok{});
    stopFrom(0);
    Context.loop().unwatch(Exits->fd());
    return isOk(Outcome) ? status : Outcome;
  }

private:
  void start(std::size_t i) {
    const uint64_t startCount = ++StartCounts[i];
    Delays[i].StartedAt = Context.now();
    auto task = Task::start(
        Children[i].Name, Context.loop().clock(), Children[i].Body,
        [exits = Exits, i, startCount](TaskExit exit) {
          // The capacity covers the exits of all children, so post() does not
          // fail.
          (void)exits->post(ChildExit{i, startCount, std::move(exit.Outcome)});
        });
    if (isOk(task))
      Tasks[i] = valueOf(std::move(task));
    else
      escalate(errorOf(task));
  }

  void startFrom(std::size_t first) {
    for (std::size_t i = first; i < Children.size() && isOk(Outcome); ++i)
      start(i);
  }

  void stopFrom(std::size_t first) {
    for (std::size_t i = Children.size(); i > first; --i)
      Tasks[i - 1].reset();
  }

  void handleExit(const ChildExit &exit) {
    if (exit.StartCount != StartCounts[exit.Index] || !isOk(Outcome))
      return;
    Tasks[exit.Index].reset();
    if (isOk(exit.Outcome))
      return;
    Line(Event::TaskFailed, Level::Warning)
        .with("supervisor", Settings.Name)
        .with("task", Children[exit.Index].Name)
        .with("error", errorOf(exit.Outcome).text());
    const std::optional<RestartBackoff> &backoff = Children[exit.Index].Backoff;
    if (backoff && backoff->CanPass(errorOf(exit.Outcome)))
      restartLater(exit.Index, *backoff);
    else if (recordRestart())
      restart(exit.Index);
    else
      escalate(errorOf(exit.Outcome));
  }

  void restart(std::size_t i) {
    if (Settings.Policy == RestartPolicy::OneForOne) {
      start(i);
      return;
    }
    stopFrom(i);
    startFrom(i);
  }

  void restartLater(std::size_t i, const RestartBackoff &backoff) {
    Delay &delay = Delays[i];
    const bool isFirst = delay.Next == Duration() ||
                         Context.now() - delay.StartedAt >= backoff.StableAfter;
    const Duration wait = isFirst ? backoff.First : delay.Next;
    delay.Next = std::min(wait * 2, backoff.Max);
    Line(Event::RestartDelayed)
        .with("supervisor", Settings.Name)
        .with("task", Children[i].Name)
        .with("delay_ms", wait);
    Context.loop().callAt(Context.now() + wait,
                          [this, i, startCount = StartCounts[i]] {
                            // Another child's failure may have restarted it.
                            if (startCount == StartCounts[i] && isOk(Outcome))
                              restart(i);
                          });
  }

  // Records a restart. Returns false if the restart budget is exceeded.
  bool recordRestart() {
    const Instant now = Context.now();
    while (!Restarts.empty() &&
           Restarts.front() + Settings.Budget.Window <= now)
      Restarts.pop_front();
    Restarts.push_back(now);
    return Restarts.size() <= Settings.Budget.MaxRestarts;
  }

  void escalate(const Error &error) {
    Outcome = Error{error.Kind,
                    absl::StrCat(Settings.Name, " gave up: ", error.Message),
                    error.Remedy};
    Context.loop().stop();
  }

  // The delay of the next restart of a child; 0 before its first failure.
  struct Delay {
    Duration Next;
    Instant StartedAt;
  };

  const Supervisor::Options &Settings;
  const std::vector<ChildSpec> &Children;
  TaskContext &Context;
  MailboxPtr<ChildExit> Exits;
  std::vector<std::unique_ptr<Task>> Tasks;
  std::vector<uint64_t> StartCounts;
  std::vector<Delay> Delays;
  std::deque<Instant> Restarts;
  Status Outcome = Ok{};
};

} // namespace

Result<Supervisor> Supervisor::create(Options options,
                                      std::vector<ChildSpec> children) {
  std::set<std::string> names;
  const auto isInvalid = [&names](const ChildSpec &child) {
    return !child.Body || !names.insert(child.Name).second;
  };
  if (const auto it = std::ranges::find_if(children, isInvalid);
      it != children.end())
    return Error{ErrorKind::InvalidArgument,
                 absl::StrCat("child '", it->Name, "' of ", options.Name,
                              " has no body or a duplicate name"),
                 "give each child a body and a unique name"};
  return Supervisor(std::move(options), std::move(children));
}

Status Supervisor::run(TaskContext &context) const {
  return SupervisorRun(Settings, Children, context).run();
}

ChildSpec Supervisor::asChild() const {
  return {Settings.Name,
          [copy = *this](TaskContext &context) { return copy.run(context); }};
}

Status runUntilSignalled(const Supervisor &root, const Clock &clock) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  const FileDescriptor signalled(
      signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK));
  if (!signalled.isOpen())
    return Error{ErrorKind::Internal, "signalfd failed",
                 "raise the limit of open files"};
  auto stopRequest = std::make_shared<SignalEvent>();
  TaskContext context("root", clock, stopRequest);
  context.loop().watch(signalled.get(), POLLIN, [&](short) {
    signalfd_siginfo info{};
    if (read(signalled.get(), &info, sizeof info) != sizeof info)
      return;
    if (info.ssi_signo == SIGHUP) {
      Line(Event::ReloadRequested).with("signal", "SIGHUP");
      return;
    }
    context.loop().unwatch(signalled.get());
    Line(Event::StopRequested).with("signal", info.ssi_signo);
    stopRequest->raise();
  });
  return root.run(context);
}

} // namespace jujube::runtime
