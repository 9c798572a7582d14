#include "jujube/zone/event_outbox.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace jujube::zone {

void EventOutbox::add(std::vector<fate::Event> events) {
  std::ranges::move(events, std::back_inserter(Waiting));
}

void EventOutbox::clear() {
  Waiting.clear();
  ++Generation;
}

void EventOutbox::putBack(const std::vector<fate::Event> &events) {
  ++Refusals;
  Waiting.insert(Waiting.begin(), events.begin(), events.end());
}

void EventOutbox::flush(const ProposeHook &propose) {
  const uint64_t refusals = Refusals;
  while (!Waiting.empty() && Refusals == refusals) {
    const auto n = std::min(MaxEvents, Waiting.size());
    const auto end = Waiting.begin() + static_cast<std::ptrdiff_t>(n);
    const auto part = std::make_shared<const std::vector<fate::Event>>(
        std::make_move_iterator(Waiting.begin()), std::make_move_iterator(end));
    Waiting.erase(Waiting.begin(), end);
    propose(*part, [this, part, generation = Generation](const Status &status) {
      // An event that may still be stored is not proposed again.
      const bool isRefused =
          !isOk(status) && errorOf(status).Kind != ErrorKind::Unavailable;
      if (isRefused && generation == Generation)
        putBack(*part);
    });
  }
}

} // namespace jujube::zone
