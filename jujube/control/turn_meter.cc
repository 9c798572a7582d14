#include "jujube/control/turn_meter.h"

#include <algorithm>
#include <utility>

namespace jujube::control {

TurnMeter::Scope::Scope(TurnMeter &meter, Work kind)
    : Meter(meter), PreviousKind(meter.CurrentKind) {
  Meter.change(kind);
}

TurnMeter::Scope::~Scope() { Meter.change(PreviousKind); }

TurnMeter::TurnMeter(Clock clock, CpuClock cpu)
    : Time(std::move(clock)), Cpu(std::move(cpu)) {
  beginTurn();
}

TurnMeter::Scope TurnMeter::enter(Work kind, uint64_t units) {
  addUnits(kind, units);
  return {*this, kind};
}

void TurnMeter::addUnits(Work kind, uint64_t units) {
  accountOf(kind).Units += units;
}

void TurnMeter::change(Work next) {
  const Instant now = Time.now();
  const int64_t used = Cpu.micros();
  Account &account = accountOf(CurrentKind);
  account.Elapsed = account.Elapsed + (now - ChangedAt);
  account.CpuMicros += used - CpuAtChange;
  Duration &inTurn = ThisTurn[static_cast<std::size_t>(CurrentKind)];
  inTurn = inTurn + (now - ChangedAt);
  ChangedAt = now;
  CpuAtChange = used;
  CurrentKind = next;
}

void TurnMeter::beginTurn() {
  ThisTurn = {};
  CurrentKind = Work::Other;
  ChangedAt = Time.now();
  CpuAtChange = Cpu.micros();
  TurnBegan = ChangedAt;
}

TurnMeter::Turn TurnMeter::endTurn() {
  change(Work::Other);
  const auto longest = std::ranges::max_element(ThisTurn);
  return {
      ChangedAt - TurnBegan,
      WorkNames[static_cast<std::size_t>(longest - ThisTurn.begin())].Value};
}

} // namespace jujube::control
