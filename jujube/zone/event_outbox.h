// The events of a zone's leader that wait to be stored.
#ifndef JUJUBE_ZONE_EVENT_OUTBOX_H_
#define JUJUBE_ZONE_EVENT_OUTBOX_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "jujube/fate/event.h"
#include "jujube/replica/replica.h"

namespace jujube::zone {

// Keeps events until the log of the group has taken them. It refuses proposals
// while the leader's lease has expired or too many bytes wait for replication.
// Owned by the zone task.
class EventOutbox {
public:
  // The most events in one proposal, which keeps it below the size limit of a
  // log entry.
  static constexpr std::size_t MaxEvents = 512;
  // Proposes the events and calls `done` with the outcome, possibly before it
  // returns.
  using ProposeHook = std::function<void(const std::vector<fate::Event> &,
                                         replica::ProposalHook done)>;

  void add(std::vector<fate::Event> events);
  // Forgets all events, including proposed ones without an outcome, since
  // another leader decides now.
  void clear();
  // Proposes the events in order until a proposal is refused. The next call
  // begins with the refused events. Must outlive the calls of `done`.
  void flush(const ProposeHook &propose);

private:
  void putBack(const std::vector<fate::Event> &events);

  std::vector<fate::Event> Waiting;
  uint64_t Refusals = 0;
  // Increases with each clear().
  uint64_t Generation = 0;
};

} // namespace jujube::zone

#endif // JUJUBE_ZONE_EVENT_OUTBOX_H_
