// Measures the work of the control task by kind: elapsed time, processor time
// and units of work.
#ifndef JUJUBE_CONTROL_TURN_METER_H_
#define JUJUBE_CONTROL_TURN_METER_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "jujube/base/clock.h"
#include "jujube/base/cpu_clock.h"
#include "jujube/base/name_table.h"

namespace jujube::control {

enum class Work {
  // Timers, decoding, and all work without a kind of its own.
  Other,
  // Messages from the members and from hosts that send approval queries.
  Peers,
  // Commands from entry hosts and workers.
  Commands,
  WorkerAnswers,
  // Leases, stops and repeated starts that are due.
  WorkerOrders,
  Plan,
  TakeOver,
  // Applying committed events.
  Apply,
  // Encoding and proposing events.
  Propose,
  // Writing and syncing the journal.
  Sync,
  // Capturing the state and writing snapshots.
  Snapshot,
};

inline constexpr NameTable<Work, 11> WorkNames = {{
    {Work::Other, "other"},
    {Work::Peers, "peers"},
    {Work::Commands, "commands"},
    {Work::WorkerAnswers, "worker_answers"},
    {Work::WorkerOrders, "worker_orders"},
    {Work::Plan, "plan"},
    {Work::TakeOver, "take_over"},
    {Work::Apply, "apply"},
    {Work::Propose, "propose"},
    {Work::Sync, "sync"},
    {Work::Snapshot, "snapshot"},
}};
static_assert(isComplete(WorkNames));

// Owned by one task. Each change of kind truncates the elapsed time to whole
// milliseconds, so a single span is rough, while the sum of the spans is exact.
class TurnMeter {
public:
  struct Account {
    // Messages, events, or pairs that a plan examined.
    uint64_t Units = 0;
    int64_t CpuMicros = 0;
    Duration Elapsed;
  };
  using Accounts = std::array<Account, WorkNames.size()>;

  struct Turn {
    Duration Elapsed;
    // The kind that took the most time.
    Work Longest = Work::Other;
  };

  // Attributes time to one kind until it is destroyed, and then to the previous
  // kind again.
  class Scope {
  public:
    Scope(TurnMeter &meter, Work kind);
    ~Scope();
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    TurnMeter &Meter;
    Work PreviousKind;
  };

  TurnMeter(Clock clock, CpuClock cpu);

  // Attributes time to `kind` while the result exists, and adds `units` to it.
  Scope enter(Work kind, uint64_t units = 1);
  void addUnits(Work kind, uint64_t units);
  // Attributes the rest of the turn, outside of scopes, to `kind`.
  void settle(Work kind) { change(kind); }

  void beginTurn();
  Turn endTurn();

  // Totals since construction.
  const Accounts &totals() const { return Totals; }

private:
  // Adds the time since the last change to the current kind, and makes `next`
  // current.
  void change(Work next);
  Account &accountOf(Work kind) {
    return Totals[static_cast<std::size_t>(kind)];
  }

  Clock Time;
  CpuClock Cpu;
  Accounts Totals;
  std::array<Duration, WorkNames.size()> ThisTurn;
  Work CurrentKind = Work::Other;
  Instant ChangedAt;
  int64_t CpuAtChange = 0;
  Instant TurnBegan;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_TURN_METER_H_
