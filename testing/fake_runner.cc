#include "testing/fake_runner.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace jujube::testing {
namespace {

using routing::AttemptOutcome;

// A leaving runner still accepts requests for this long.
constexpr Duration LeaveGrace = Duration::seconds(2);
// Requests that may wait on a runner in baselines without credits.
constexpr std::size_t MaxWaiting = 52;

} // namespace

FakeRunner::FakeRunner(routing::RunnerAnnouncement announcement,
                       EventQueue &events, RunnerOracle &oracle,
                       ServiceHook service)
    : Announcement(std::move(announcement)), Events(events), Oracle(oracle),
      ServiceOf(std::move(service)) {}

void FakeRunner::recordViolation(const std::string &what, const RequestId &id) {
  Oracle.Violations.push_back(absl::StrCat(Events.now().millis(),
                                           " ms: ", Announcement.Runner.str(),
                                           " ", what, " ", id.str()));
}

void FakeRunner::arrive(Arrival arrival) {
  if (!IsAlive)
    return;
  const AttemptKey key{arrival.Request.Request, arrival.Attempt};
  const bool hasLeft = LeftAt <= Events.now() - LeaveGrace;
  if (hasLeft)
    recordViolation("got work after it left:", key.first);
  // Drops a duplicate of a known attempt and refuses a fenced attempt.
  if (const auto seen = Seen.find(key); seen != Seen.end()) {
    if (seen->second == AttemptOutcome::Refused)
      arrival.Answer(AttemptOutcome::Refused);
    return;
  }
  Seen[key] = std::nullopt;
  if (hasLeft || arrival.Start != Announcement.Start) {
    Seen[key] = AttemptOutcome::Refused;
    return arrival.Answer(AttemptOutcome::Refused);
  }
  if (InProgress < Announcement.Slots)
    return start(std::move(arrival));
  ++Oracle.Excess;
  if (Oracle.ChecksSlots)
    recordViolation("has no slot for", key.first);
  if (Waiting.size() < MaxWaiting)
    return Waiting.emplace_back(Events.now(), std::move(arrival)), void();
  Seen[key] = AttemptOutcome::Refused;
  arrival.Answer(AttemptOutcome::Refused);
}

void FakeRunner::start(Arrival arrival) {
  const RequestId &id = arrival.Request.Request;
  ++InProgress;
  ++Oracle.Starts;
  Oracle.Started.insert(id);
  if (!arrival.Request.IsIdempotent && ++Oracle.OnceStarts[id] > 1)
    recordViolation("started again", id);
  const Service service = ServiceOf(Announcement.Runner);
  const bool isLate = service.Time > arrival.Timeout;
  const AttemptOutcome outcome = isLate || service.Fails
                                     ? AttemptOutcome::Failed
                                     : AttemptOutcome::Answered;
  const Duration time = std::min(service.Time, arrival.Timeout);
  Oracle.Runs[{id, arrival.Attempt}] = {Announcement.Runner, Events.now(),
                                        time};
  Events.callAfter(time, [this, incarnation = RunnerIncarnation, outcome,
                          arrival = std::move(arrival)] {
    if (incarnation == RunnerIncarnation)
      end(arrival, outcome);
  });
}

void FakeRunner::end(const Arrival &arrival, AttemptOutcome outcome) {
  --InProgress;
  Seen[{arrival.Request.Request, arrival.Attempt}] = outcome;
  arrival.Answer(outcome);
  while (!Waiting.empty() && InProgress < Announcement.Slots) {
    auto [since, next] = std::move(Waiting.front());
    Waiting.pop_front();
    next.Timeout = next.Timeout - (Events.now() - since);
    if (next.Timeout > Duration())
      start(std::move(next));
  }
}

std::optional<AttemptOutcome>
FakeRunner::inquire(const RequestId &id, uint32_t attempt, Incarnation start) {
  if (!IsAlive || start != Announcement.Start)
    return std::nullopt;
  return Seen.try_emplace({id, attempt}, AttemptOutcome::Refused).first->second;
}

void FakeRunner::leave() {
  Announcement.IsLeaving = true;
  LeftAt = std::min(LeftAt, Events.now());
}

void FakeRunner::kill() {
  IsAlive = false;
  ++RunnerIncarnation;
  InProgress = 0;
  Waiting.clear();
}

void FakeRunner::restart() {
  IsAlive = true;
  Announcement.Start = Announcement.Start.next();
  Announcement.IsLeaving = false;
  LeftAt = Instant::never();
  // Forgets all earlier attempts, like a real restart.
  Seen.clear();
}

} // namespace jujube::testing
