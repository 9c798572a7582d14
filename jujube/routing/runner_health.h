// What one entry host has learned of one runner: its latency, and whether it
// fails what it gets.
#ifndef JUJUBE_ROUTING_RUNNER_HEALTH_H_
#define JUJUBE_ROUTING_RUNNER_HEALTH_H_

#include <cstdint>

#include "jujube/base/clock.h"
#include "jujube/base/name_table.h"
#include "jujube/routing/actions.h"

namespace jujube::routing {

// States of the circuit breaker.
enum class HealthState {
  Healthy,
  // Gets nothing until its back-off has passed.
  Suspended,
  // Gets one request at a time until enough have succeeded.
  Probation,
};

inline constexpr NameTable<HealthState, 3> HealthStateNames = {{
    {HealthState::Healthy, "healthy"},
    {HealthState::Suspended, "suspended"},
    {HealthState::Probation, "probation"},
}};
static_assert(isComplete(HealthStateNames));

struct HealthOptions {
  // Weight of the newest observation.
  double Gain = 0.1;
  // Suspended above this failure rate, once MinObservations were made...
  double MaxFailureRate = 0.5;
  // ...and only if it exceeds that of all runners by this.
  double MinExcessRate = 0.3;
  uint32_t MinObservations = 5;
  Duration FirstBackOff = Duration::millis(1000);
  Duration MaxBackOff = Duration::seconds(30);
  // Successes in a row that end the probation.
  uint32_t ProbationSuccesses = 5;
  // Assumed before the first observation.
  Duration InitialLatency = Duration::millis(50);
  // Without observations the remembered latency halves in this span.
  Duration HalfLife = Duration::seconds(10);
};

// Exponentially weighted averages and a circuit breaker with back-off.
class RunnerHealth {
public:
  explicit RunnerHealth(HealthOptions options = {});

  // `peerFailureRate` is that of all runners of the entry: what fails
  // everywhere is not blamed on one runner.
  void observe(AttemptOutcome outcome, Duration latency, Instant now,
               double peerFailureRate = 0);
  // Forgets failures, after a restart of the runner.
  void reset();

  // Probation follows once the back-off of a suspension has passed.
  HealthState stateAt(Instant now) const;
  // Fades while nothing is observed, so that a runner that was slow is tried
  // again.
  Duration latency(Instant now) const;
  // Mean plus two mean deviations: most answers come within it.
  Duration likelyLatency() const;
  // Mean plus four mean deviations: later answers are unusual.
  Duration unusualLatency() const;
  bool hasLearned() const { return Observations >= Options.MinObservations; }
  double failureRate() const { return FailureRate; }

private:
  void suspend(Instant now);
  Duration latencyAt(double deviations) const;

  HealthOptions Options;
  HealthState State = HealthState::Healthy;
  double MeanMs;
  double DeviationMs;
  double FailureRate = 0;
  uint32_t Observations = 0;
  uint32_t Successes = 0;
  Duration BackOff;
  Instant Until;
  Instant LastObserved;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_RUNNER_HEALTH_H_
