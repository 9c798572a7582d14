// Runs tasks of several processes in one thread: their loops share a manual
// clock, and packets arrive at once unless the path is cut.
#ifndef TESTING_FAKE_WIRE_H_
#define TESTING_FAKE_WIRE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jujube/base/address.h"
#include "jujube/base/clock.h"
#include "jujube/runtime/task.h"
#include "jujube/wire/transport.h"

namespace jujube::testing {

class FakeWire {
public:
  using ReceiveHook = std::function<void(const wire::TransportEvent &)>;

  // A process: the context and the outbox that its task is created with.
  struct Host {
    runtime::TaskContext Context;
    wire::PacketMailbox Outbox;
    // Set by the owner once the task is created.
    ReceiveHook Receive = [](const wire::TransportEvent &) {};
    bool IsPaused = false;
    // Returns the cost of the last turn of the loop. Until that time has
    // passed, the process does nothing and the packets that it sent are held
    // back.
    std::function<Duration()> CostOfTurn = [] { return Duration(); };
    Instant BusyUntil;
    // Events that arrived while the process was paused or busy.
    std::vector<wire::TransportEvent> Held;
  };

  // The clock starts past 0, which no incarnation may have.
  FakeWire() { Time.advance(Duration::minutes(1)); }

  // Adds a process; the reference is valid until it is removed.
  Host &add(const Address &at);
  // Ends a process and notifies its peers of the lost connection. The owner
  // destroys the task first.
  void remove(const Address &at);
  // Pauses a process; events that arrive meanwhile are held for it.
  void pause(const Address &at);
  void resume(const Address &at);
  // Loses all packets between `side` and the other processes, silently.
  void cut(std::set<Address> side) { Side = std::move(side); }
  void heal() { Side.clear(); }

  // Runs all due work until `span` has passed or `isDone` returns true, which
  // is checked after each step. Returns whether `isDone` returned true.
  bool run(
      Duration span,
      const std::function<bool()> &isDone = [] { return false; });

  Instant now() const { return Time.now(); }
  Clock clock() const { return Time.clock(); }

private:
  // Delivers packets and runs loops until nothing is due.
  void settle();
  bool deliverAll();
  bool runDue();
  void deliver(const Address &from, wire::Packet packet);
  void pass(Host &host, wire::TransportEvent event) const;
  // Delivers events that arrived while hosts were busy.
  bool releaseHeld();
  bool isBusy(const Host &host) const { return now() < host.BusyUntil; }
  bool isCut(const Address &a, const Address &b) const;
  Instant nextTimer() const;

  ManualClock Time;
  std::map<Address, std::unique_ptr<Host>> Hosts;
  std::set<Address> Side;
};

} // namespace jujube::testing

#endif // TESTING_FAKE_WIRE_H_
