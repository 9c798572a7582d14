// The task that owns the schedule and the ledger of a load run.
#ifndef JUJUBE_LOAD_DRIVER_H_
#define JUJUBE_LOAD_DRIVER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "jujube/load/messages.h"
#include "jujube/load/run.h"
#include "jujube/runtime/task.h"

namespace jujube::load {

// The phases of a run, in order.
enum class Phase {
  // The steps of the trace are being executed.
  Feeding,
  // The last step was executed; the run waits for final fates.
  Draining,
  // Each final fate is read once more, usually from a different entry host.
  Confirming,
  Done,
};

inline constexpr NameTable<Phase, 4> PhaseNames = {{
    {Phase::Feeding, "feeding"},
    {Phase::Draining, "draining"},
    {Phase::Confirming, "confirming"},
    {Phase::Done, "done"},
}};
static_assert(isComplete(PhaseNames));

class Driver {
public:
  Driver(const RunOptions &options, std::vector<SenderMailbox> senders,
         RunOutcome &outcome, std::function<void()> onEnd,
         runtime::TaskContext &context);

  // Handles messages from `mailbox` until the task is asked to stop.
  Status run(const DriverMailbox &mailbox);

private:
  void handle(const CallCompleted &message);
  void handle(FleetSample sample);

  void scheduleSteps();
  void executeDueSteps();
  void execute(const Step &step);
  void executeCancel(const Step &step);
  void enqueue(OutgoingCall call);
  void sendQueued();
  void schedulePoll(std::size_t record);
  void poll(std::size_t record);
  void applyFault(const Fault &fault);
  void checkSample(const FleetSample &sample);
  void advance();
  void confirmAll();
  void finish();
  Duration elapsed() const { return Context.now() - StartedAt; }

  const RunOptions &Options;
  std::vector<SenderMailbox> Senders;
  RunOutcome &Outcome;
  std::function<void()> OnEnd;
  runtime::TaskContext &Context;
  Instant StartedAt;
  Phase CurrentPhase = Phase::Feeding;
  std::size_t NextStep = 0;
  std::size_t NextZone = 0;
  std::size_t InFlight = 0;
  std::deque<OutgoingCall> Queue;
  std::deque<std::size_t> IdleSenders;
  // Teams that exceeded their ceiling in the last sample.
  std::set<std::string> OverCeiling;
};

} // namespace jujube::load

#endif // JUJUBE_LOAD_DRIVER_H_
