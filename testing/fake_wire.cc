#include "testing/fake_wire.h"

#include <algorithm>
#include <utility>

namespace jujube::testing {
namespace {

constexpr std::size_t OutboxCapacity = 16384;

} // namespace

FakeWire::Host &FakeWire::add(const Address &at) {
  auto &host = Hosts[at];
  host.reset(new Host{
      {at.str(), Time.clock(), std::make_shared<runtime::SignalEvent>()},
      runtime::makeMailbox<wire::Packet>(OutboxCapacity)});
  return *host;
}

void FakeWire::remove(const Address &at) {
  Hosts.erase(at);
  for (const auto &[address, host] : Hosts)
    if (!isCut(address, at))
      pass(*host, wire::PeerLost{at});
}

void FakeWire::pause(const Address &at) { Hosts.at(at)->IsPaused = true; }

void FakeWire::resume(const Address &at) {
  Hosts.at(at)->IsPaused = false;
  (void)releaseHeld();
}

bool FakeWire::releaseHeld() {
  bool hasAny = false;
  for (const auto &[address, host] : Hosts) {
    if (host->IsPaused || isBusy(*host))
      continue;
    for (wire::TransportEvent &event : std::exchange(host->Held, {})) {
      hasAny = true;
      pass(*host, std::move(event));
    }
  }
  return hasAny;
}

void FakeWire::pass(Host &host, wire::TransportEvent event) const {
  if (host.IsPaused || isBusy(host)) {
    host.Held.push_back(std::move(event));
    return;
  }
  host.Receive(event);
  // Ends the turn of the loop, as the task's mailbox does.
  host.Context.loop().callAt(host.Context.now(), [] {});
}

bool FakeWire::isCut(const Address &a, const Address &b) const {
  return Side.contains(a) != Side.contains(b);
}

void FakeWire::deliver(const Address &from, wire::Packet packet) {
  if (isCut(from, packet.To))
    return;
  const auto it = Hosts.find(packet.To);
  if (it != Hosts.end())
    pass(*it->second, wire::Delivery{std::move(packet.Payload)});
  else
    pass(*Hosts.at(from), wire::PeerLost{packet.To});
}

bool FakeWire::deliverAll() {
  bool hasAny = false;
  for (const auto &[address, host] : Hosts) {
    if (isBusy(*host))
      continue;
    for (wire::Packet &packet : host->Outbox->drain()) {
      hasAny = true;
      deliver(address, std::move(packet));
    }
  }
  return hasAny;
}

bool FakeWire::runDue() {
  bool hasAny = false;
  for (const auto &[address, host] : Hosts) {
    runtime::PollLoop &loop = host->Context.loop();
    if (host->IsPaused || isBusy(*host) || loop.nextTimer() > now())
      continue;
    hasAny = true;
    (void)loop.runOnce();
    host->BusyUntil = now() + host->CostOfTurn();
  }
  return hasAny;
}

void FakeWire::settle() {
  bool hasAny = true;
  while (hasAny) {
    hasAny = releaseHeld();
    hasAny = runDue() || hasAny;
    hasAny = deliverAll() || hasAny;
  }
}

Instant FakeWire::nextTimer() const {
  Instant next = Instant::never();
  for (const auto &[address, host] : Hosts) {
    if (isBusy(*host))
      next = std::min(next, host->BusyUntil);
    else if (!host->IsPaused)
      next = std::min(next, host->Context.loop().nextTimer());
  }
  return next;
}

bool FakeWire::run(Duration span, const std::function<bool()> &isDone) {
  const Instant end = now() + span;
  settle();
  while (!isDone()) {
    const Instant next = std::min(nextTimer(), end);
    if (now() >= end)
      return false;
    Time.advance(std::max(next - now(), Duration::millis(1)));
    settle();
  }
  return true;
}

} // namespace jujube::testing
