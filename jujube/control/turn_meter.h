// Accounts for what the control task spends its turns on: elapsed time,
// processor time and units of work by kind.
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
  // Timers, decoding, and what no other kind covers.
  Other,
  // Messages of the members and of hosts that make approval queries.
  Peers,
  // Commands of front ends and workers.
  Commands,
  WorkerAnswers,
  // Due leases, stops and repeated starts.
  WorkerOrders,
  Plan,
  TakeOver,
  // Committed events.
  Apply,
  // Encoding of events, and their proposal.
  Propose,
  // Writes and syncs of the journal.
  Sync,
  // Captured states, and their writes.
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

// Belongs to one task. Elapsed times are cut to whole milliseconds at each
// change of kind, so that single spans are rough and their sums are not.
class TurnMeter {
public:
  struct Account {
    // Messages, events, or pairs that a plan looked at.
    uint64_t Units = 0;
    int64_t CpuMicros = 0;
    Duration Elapsed;
  };
  using Accounts = std::array<Account, WorkNames.size()>;

  struct Turn {
    Duration Elapsed;
    // The kind that took most of it.
    Work Longest = Work::Other;
  };

  // Counts time for one kind until it is destroyed, and then again for the kind
  // before it.
  class Scope {
  public:
    Scope(TurnMeter &meter, Work kind);
    ~Scope();
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    TurnMeter &Meter;
    Work Before;
  };

  TurnMeter(Clock clock, CpuClock cpu);

  // Counts time for `kind` while the result lives, and adds `units` to it.
  Scope enter(Work kind, uint64_t units = 1);
  void addUnits(Work kind, uint64_t units);
  // Counts what is left of the turn for `kind`, outside of scopes.
  void settle(Work kind) { change(kind); }

  void beginTurn();
  Turn endTurn();

  // Since the start.
  const Accounts &totals() const { return Totals; }

private:
  // Books what has passed since the last change under the present kind.
  void change(Work next);
  Account &of(Work kind) { return Totals[static_cast<std::size_t>(kind)]; }

  Clock Time;
  CpuClock Cpu;
  Accounts Totals;
  std::array<Duration, WorkNames.size()> ThisTurn;
  Work Present = Work::Other;
  Instant ChangedAt;
  int64_t CpuAtChange = 0;
  Instant TurnBegan;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_TURN_METER_H_
