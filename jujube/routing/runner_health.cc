#include "jujube/routing/runner_health.h"

#include <algorithm>
#include <cmath>

namespace jujube::routing {
namespace {

// In mean deviations above the mean latency.
constexpr double LikelyDeviations = 2;
constexpr double UnusualDeviations = 4;

bool isFailure(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::Answered;
}

} // namespace

RunnerHealth::RunnerHealth(HealthOptions options)
    : Options(options),
      MeanMs(static_cast<double>(options.InitialLatency.millis())),
      DeviationMs(MeanMs / 2), BackOff(options.FirstBackOff) {}

void RunnerHealth::observe(AttemptOutcome outcome, Duration latency,
                           Instant now, double peerFailureRate) {
  LastObserved = now;
  State = stateAt(now);
  const double failed = isFailure(outcome) ? 1 : 0;
  FailureRate += Options.Gain * (failed - FailureRate);
  ++Observations;
  if (outcome == AttemptOutcome::Answered ||
      outcome == AttemptOutcome::Unknown) {
    const double error = static_cast<double>(latency.millis()) - MeanMs;
    MeanMs += Options.Gain * error;
    DeviationMs += Options.Gain * (std::abs(error) - DeviationMs);
  }
  Successes = isFailure(outcome) ? 0 : Successes + 1;
  const double limit =
      std::max(Options.MaxFailureRate, peerFailureRate + Options.MinExcessRate);
  const bool fails = State == HealthState::Probation
                         ? isFailure(outcome)
                         : hasEnoughObservations() && FailureRate > limit;
  if (fails && State != HealthState::Suspended)
    return suspend(now);
  if (State == HealthState::Probation &&
      Successes >= Options.ProbationSuccesses)
    reset();
}

void RunnerHealth::suspend(Instant now) {
  State = HealthState::Suspended;
  Until = now + BackOff;
  BackOff = std::min(BackOff * 2, Options.MaxBackOff);
  Successes = 0;
}

HealthState RunnerHealth::stateAt(Instant now) const {
  return State == HealthState::Suspended && now >= Until
             ? HealthState::Probation
             : State;
}

void RunnerHealth::reset() {
  State = HealthState::Healthy;
  FailureRate = 0;
  Observations = 0;
  Successes = 0;
  BackOff = Options.FirstBackOff;
}

Duration RunnerHealth::latency(Instant now) const {
  const double halfLives = static_cast<double>((now - LastObserved).millis()) /
                           static_cast<double>(Options.HalfLife.millis());
  const double faded =
      Observations == 0 ? MeanMs : MeanMs * std::exp2(-halfLives);
  return Duration::millis(std::max<int64_t>(1, std::llround(faded)));
}

Duration RunnerHealth::latencyAt(double deviations) const {
  return Duration::millis(
      std::max<int64_t>(1, std::llround(MeanMs + deviations * DeviationMs)));
}

Duration RunnerHealth::likelyLatency() const {
  return latencyAt(LikelyDeviations);
}

Duration RunnerHealth::unusualLatency() const {
  return latencyAt(UnusualDeviations);
}

} // namespace jujube::routing
