// Latency estimate and circuit breaker for one runner, from the outcomes that
// one entry host has observed.
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
  // Gets no requests until the backoff has passed.
  Suspended,
  // Gets one request at a time until ProbationSuccesses have succeeded in a
  // row.
  Probation,
};

inline constexpr NameTable<HealthState, 3> HealthStateNames = {{
    {HealthState::Healthy, "healthy"},
    {HealthState::Suspended, "suspended"},
    {HealthState::Probation, "probation"},
}};
static_assert(isComplete(HealthStateNames));

struct HealthOptions {
  // Weight of the newest observation in the moving averages.
  double Gain = 0.1;
  // A runner is suspended if, after at least MinObservations, its failure rate
  // exceeds MaxFailureRate...
  double MaxFailureRate = 0.5;
  // ...and also exceeds the failure rate of all runners of the entry by this.
  double MinExcessRate = 0.3;
  uint32_t MinObservations = 5;
  Duration FirstBackOff = Duration::millis(1000);
  Duration MaxBackOff = Duration::seconds(30);
  // Number of consecutive successes that end the probation.
  uint32_t ProbationSuccesses = 5;
  // Latency that is assumed before the first observation.
  Duration InitialLatency = Duration::millis(50);
  // Time in which the latency estimate halves while there are no observations.
  Duration HalfLife = Duration::seconds(10);
};

// Exponentially weighted moving averages of latency and failures, and a circuit
// breaker with exponential backoff. Part of a RunnerTable, which has one for
// each runner, and of a Router, which has one for all runners of an entry.
class RunnerHealth {
public:
  explicit RunnerHealth(HealthOptions options = {});

  // Records the outcome of an attempt that took `latency`. `peerFailureRate` is
  // the failure rate over all runners of the entry; it keeps a runner from
  // being suspended for requests that fail on every runner.
  void observe(AttemptOutcome outcome, Duration latency, Instant now,
               double peerFailureRate = 0);
  // Clears the failures and the state, but not the latency. For a runner that
  // has restarted or has passed its probation.
  void reset();

  // A suspension turns into probation once its backoff has passed.
  HealthState stateAt(Instant now) const;
  // Expected latency, at least 1 ms. It decays while there are no observations,
  // so that a runner that was slow is tried again.
  Duration latency(Instant now) const;
  // Mean latency plus 2 mean deviations: most responses arrive within this
  // time.
  Duration likelyLatency() const;
  // Mean latency plus 4 mean deviations: few responses take longer.
  Duration unusualLatency() const;
  bool hasEnoughObservations() const {
    return Observations >= Options.MinObservations;
  }
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
  // Consecutive successes.
  uint32_t Successes = 0;
  // Length of the next suspension.
  Duration BackOff;
  // End of the suspension.
  Instant Until;
  Instant LastObserved;
};

} // namespace jujube::routing

#endif // JUJUBE_ROUTING_RUNNER_HEALTH_H_
