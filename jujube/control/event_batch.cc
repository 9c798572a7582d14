#include "jujube/control/event_batch.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>
#include <variant>

namespace jujube::control {
namespace {

// Upper bound on the encoded size, in bytes, of an event without
// variable-length parts.
constexpr std::size_t ShortEvent = 256;
// Upper bound on the encoded size of a job id.
constexpr std::size_t IdBytes = 32;

struct SizeOf {
  std::size_t operator()(const jobs::JobAccepted &event) const {
    return ShortEvent * (1 + event.Spec.Steps.size()) +
           event.Spec.Payload.size();
  }
  std::size_t operator()(const jobs::JobAcceptedAt &event) const {
    return (*this)(event.What) + event.Place.HostName.size() +
           event.Place.PathPrefix.size();
  }
  std::size_t operator()(const jobs::JobSubmitted &event) const {
    const std::size_t place =
        event.Place.HostName.size() + event.Place.PathPrefix.size();
    return (*this)(event.What) + (event.Terms ? ShortEvent + place : 0) +
           event.By.HostName.size() + event.By.Path.size() +
           event.By.Key.size() + place;
  }
  std::size_t operator()(const jobs::JobWithdrawn &event) const {
    return ShortEvent + event.By.Key.size();
  }
  std::size_t operator()(const jobs::ConfigurationPut &event) const {
    // The parsed values are stored along with the document.
    return ShortEvent + 2 * event.Value.Document.size();
  }
  std::size_t operator()(const jobs::JobsForgotten &event) const {
    return ShortEvent + IdBytes * event.Jobs.size();
  }
  std::size_t operator()(const jobs::AttemptEnded &event) const {
    return ShortEvent + event.Checkpoint.size();
  }
  std::size_t operator()(const jobs::AttemptEndedAt &event) const {
    return (*this)(event.What);
  }
  template <typename Event> std::size_t operator()(const Event &) const {
    return ShortEvent;
  }
};

std::size_t sizeOf(const std::vector<jobs::Event> &events) {
  return std::transform_reduce(
      events.begin(), events.end(), std::size_t{0}, std::plus<>(),
      [](const jobs::Event &event) { return std::visit(SizeOf(), event); });
}

} // namespace

void BatchPart::finish(bool isStored) const {
  for (const auto &done : Done)
    done(isStored);
}

void EventBatch::add(std::vector<jobs::Event> events,
                     std::function<void(bool)> done) {
  const std::size_t bytes = sizeOf(events);
  if (Parts.empty() || LastBytes + bytes > MaxPartBytes) {
    Parts.emplace_back();
    LastBytes = 0;
  }
  LastBytes += bytes;
  std::ranges::move(events, std::back_inserter(Parts.back().Events));
  Parts.back().Done.push_back(std::move(done));
}

std::vector<BatchPart> EventBatch::take() {
  LastBytes = 0;
  return std::exchange(Parts, {});
}

} // namespace jujube::control
