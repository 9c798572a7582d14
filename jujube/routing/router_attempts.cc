// Attempts of a Router: dispatch, outcomes and retries.
#include <algorithm>
#include <variant>

#include "absl/strings/str_cat.h"
#include "jujube/routing/router.h"

namespace jujube::routing {
namespace {

constexpr Duration RunnerRetryAfter = Duration::millis(500);

bool isUnresolved(const std::optional<RouterAction> &conclusion) {
  return conclusion && std::holds_alternative<MarkUnresolved>(*conclusion);
}

} // namespace

Router::Attempt *Router::findAttempt(const RequestId &id, uint32_t number) {
  const auto it = Requests.find(id);
  if (it == Requests.end())
    return nullptr;
  std::vector<Attempt> &attempts = it->second.Attempts;
  const auto attempt = std::ranges::find(attempts, number, &Attempt::Number);
  return attempt == attempts.end() ? nullptr : &*attempt;
}

bool Router::hasOpenAttempt(const RequestState &live) {
  return std::ranges::any_of(live.Attempts, [](const Attempt &attempt) {
    return attempt.State != AttemptState::Lost;
  });
}

void Router::dispatchQueued(const EntryId &entry, Instant now,
                            RouterActions &out) {
  expire(now, out);
  EntryState &state = entryState(entry);
  while (const std::optional<RequestId> id = state.Queue.front()) {
    RequestState &live = Requests.at(*id);
    // Expected latency may have grown since the request was queued.
    if (now + likelyLatency(state) > live.Request.Deadline) {
      concludeExpired(*id, out);
      continue;
    }
    const std::optional<RunnerId> runner = chooseRunner(live, now);
    if (!runner)
      break;
    state.Queue.pop();
    live.IsQueued = false;
    Expiries.erase({live.ExpiresAt, *id});
    startAttempt(live, *runner, now, out);
  }
  if (!state.Queue.empty())
    Runners.setUrgent(Options.Zone);
}

std::optional<RunnerId> Router::chooseRunner(const RequestState &live,
                                             Instant now) const {
  if (OpenAttempts >= Options.MaxInFlight)
    return std::nullopt;
  std::vector<Candidate> candidates;
  for (const auto &[id, runner] : Runners.all()) {
    if (runner.Announcement.Entry != live.Request.Entry)
      continue;
    const uint32_t free = Runners.freeCredits(runner, now);
    const bool wasTried =
        std::ranges::find(live.Attempts, id, &Attempt::Runner) !=
        live.Attempts.end();
    if (free == 0 || (wasTried && hasOpenAttempt(live)))
      continue;
    candidates.push_back(
        {id, runner.InFlight, runner.InFlight + free,
         runner.Health.latency(now), runner.Announcement.Zone == Options.Zone,
         wasTried || runner.Health.stateAt(now) != HealthState::Healthy});
  }
  if (candidates.empty())
    return std::nullopt;
  return candidates[Options.Choose(candidates)].Runner;
}

void Router::startAttempt(RequestState &live, const RunnerId &id, Instant now,
                          RouterActions &out) {
  Attempt attempt;
  attempt.Number = ++live.LastAttempt;
  attempt.Runner = id;
  attempt.StartedAt = now;
  attempt.BusyUntil = Instant::never();
  ++OpenAttempts;
  acquireSlot(live, attempt);
  if (Runners.find(id)->Announcement.Zone != Options.Zone)
    ++Counters.SpilloverAttempts;
  if (live.Offer == OfferState::NotNeeded || live.Offer == OfferState::Synced) {
    out.emplace_back(makeDispatch(live, attempt, now));
    if (live.Request.IsIdempotent && attempt.Number == 1) {
      live.HedgeAt =
          now +
          std::max(Options.HedgeAfter,
                   entryState(live.Request.Entry).AllRunners.unusualLatency());
      HedgeTimes.emplace(live.HedgeAt, live.Request.Request);
    }
  } else {
    attempt.State = AttemptState::Journaling;
    requestOffer(live, out);
  }
  live.Attempts.push_back(std::move(attempt));
}

void Router::requestOffer(RequestState &live, RouterActions &out) {
  if (live.Offer != OfferState::Missing)
    return;
  live.Offer = OfferState::Requested;
  out.emplace_back(JournalOffer{live.Request.Request});
}

Dispatch Router::makeDispatch(const RequestState &live, Attempt &attempt,
                              Instant now) {
  const RunnerAnnouncement &runner = Runners.find(attempt.Runner)->Announcement;
  attempt.State = AttemptState::Sent;
  attempt.RunnerStart = runner.Start;
  attempt.StartedAt = now;
  attempt.Timeout = std::min(live.Request.Deadline - now,
                             Options.MaxRequestTime - Options.EndMargin);
  attempt.BusyUntil = now + attempt.Timeout + Options.EndMargin;
  ++Counters.Dispatched;
  return Dispatch{live.Request.Request,
                  attempt.Runner,
                  runner.Start,
                  runner.Http,
                  attempt.Number,
                  attempt.Timeout,
                  Runners.leaseEnd(runner.Zone)};
}

void Router::acquireSlot(const RequestState &live, const Attempt &attempt) {
  KnownRunner *runner = Runners.find(attempt.Runner);
  ++runner->InFlight;
  ++InFlight[{runner->Announcement.Zone,
              {live.Request.Entry, live.Request.Team}}];
}

void Router::releaseSlot(const RequestState &live, Attempt &attempt) {
  if (!attempt.HoldsSlot)
    return;
  attempt.HoldsSlot = false;
  KnownRunner *runner = Runners.find(attempt.Runner);
  --runner->InFlight;
  const auto count = InFlight.find(
      {runner->Announcement.Zone, {live.Request.Entry, live.Request.Team}});
  if (--count->second == 0)
    InFlight.erase(count);
}

void Router::removeAttempt(RequestState &live, uint32_t number) {
  std::erase_if(live.Attempts, [&](const Attempt &attempt) {
    return attempt.Number == number;
  });
}

RouterActions Router::handleOfferJournaled(const RequestId &id,
                                           const Status &status, Instant now) {
  RouterActions out;
  const auto it = Requests.find(id);
  if (it == Requests.end() || it->second.Offer != OfferState::Requested)
    return out;
  RequestState &live = it->second;
  live.Offer = isOk(status) ? OfferState::Synced : OfferState::Missing;
  const auto attempt = std::ranges::find(
      live.Attempts, AttemptState::Journaling, &Attempt::State);
  if (attempt != live.Attempts.end())
    dispatchJournaled(live, *attempt, now, out);
  if (!isOk(status))
    concludeWithoutResponse(live, errorOf(status), RunnerRetryAfter, out);
  dispatchQueued(EntryId(live.Request.Entry), now, out);
  forgetIfDone(id);
  updateReports(now, out);
  return out;
}

// Sends an attempt that held a slot while it waited for the journal. If it
// can't be sent any more, releases the slot and queues the request again.
void Router::dispatchJournaled(RequestState &live, Attempt &attempt,
                               Instant now, RouterActions &out) {
  const KnownRunner &runner = *Runners.find(attempt.Runner);
  const bool isLeased =
      now + Options.LeaseMargin < Runners.leaseEnd(runner.Announcement.Zone);
  const bool isInTime = now < live.ExpiresAt;
  if (live.Offer == OfferState::Synced && isInTime && isLeased &&
      Runners.isUsable(runner, now))
    return out.emplace_back(makeDispatch(live, attempt, now)), void();
  --OpenAttempts;
  releaseSlot(live, attempt);
  removeAttempt(live, attempt.Number);
  enqueue(live, true, now);
}

RouterActions Router::handleAttemptOutcome(const RequestId &id, uint32_t number,
                                           AttemptOutcome outcome,
                                           Instant now) {
  RouterActions out;
  Attempt *attempt = findAttempt(id, number);
  const bool isLost =
      attempt != nullptr && attempt->State == AttemptState::Lost;
  if (attempt == nullptr || attempt->State == AttemptState::Journaling ||
      (isLost && outcome == AttemptOutcome::Unknown)) {
    ++Counters.DiscardedOutcomes;
    return out;
  }
  RequestState &live = Requests.at(id);
  const EntryId entry = live.Request.Entry;
  if (!isLost) {
    --OpenAttempts;
    updateHealth(live, *attempt, outcome, now);
  }
  if (outcome == AttemptOutcome::Unknown) {
    handleLostAttempt(live, *attempt, now, out);
  } else {
    LostAttemptEvents.erase({attempt->NextEvent, {id, number}});
    releaseSlot(live, *attempt);
    const Attempt ended = *attempt;
    removeAttempt(live, number);
    applyOutcome(live, ended, outcome, now, out);
  }
  forgetIfDone(id);
  dispatchQueued(entry, now, out);
  updateReports(now, out);
  return out;
}

void Router::updateHealth(const RequestState &live, const Attempt &attempt,
                          AttemptOutcome outcome, Instant now) {
  RunnerHealth &allRunners = entryState(live.Request.Entry).AllRunners;
  // A timeout shorter than the usual latency says nothing about the runner.
  if (outcome == AttemptOutcome::Unknown &&
      now - attempt.StartedAt >= attempt.Timeout &&
      attempt.Timeout < allRunners.unusualLatency())
    return;
  const Duration latency = now - attempt.StartedAt;
  Runners.find(attempt.Runner)
      ->Health.observe(outcome, latency, now, allRunners.failureRate());
  allRunners.observe(outcome, latency, now);
}

void Router::handleLostAttempt(RequestState &live, Attempt &attempt,
                               Instant now, RouterActions &out) {
  attempt.State = AttemptState::Lost;
  attempt.NextEvent = now;
  LostAttemptEvents.insert(
      {attempt.NextEvent, {live.Request.Request, attempt.Number}});
  if (live.Conclusion)
    return;
  const Error why{
      ErrorKind::Unavailable,
      absl::StrCat("no whole answer of runner ", attempt.Runner.str()),
      "retry later"};
  if (live.Request.IsIdempotent)
    return retry(live, why, now, out);
  concludeWithoutResponse(live, why, RunnerRetryAfter, out);
}

void Router::applyOutcome(RequestState &live, const Attempt &attempt,
                          AttemptOutcome outcome, Instant now,
                          RouterActions &out) {
  if (live.Conclusion)
    return resolveConcluded(live, attempt, outcome, out);
  const RequestId &id = live.Request.Request;
  if (outcome == AttemptOutcome::Answered) {
    ++Counters.Delivered;
    return conclude(live, Deliver{id, attempt.Runner, attempt.Number}, out);
  }
  const bool hasFailed = outcome == AttemptOutcome::Failed;
  live.HasFailed = live.HasFailed || hasFailed;
  const Error why{
      ErrorKind::Unavailable,
      absl::StrCat("runner ", attempt.Runner.str(), " ",
                   std::string(nameIn(AttemptOutcomeNames, outcome))),
      hasFailed ? "check the request, then send it under a new id"
                : "retry later"};
  if (hasFailed && !live.Request.IsIdempotent)
    return concludeWithoutResponse(live, why, RunnerRetryAfter, out);
  retry(live, why, now, out);
}

// Handles the outcome of an attempt whose request is concluded. It matters only
// if the caller was told that the outcome is unknown.
void Router::resolveConcluded(RequestState &live, const Attempt &attempt,
                              AttemptOutcome outcome, RouterActions &out) {
  if (!isUnresolved(live.Conclusion))
    return;
  const RequestId &id = live.Request.Request;
  Error why{ErrorKind::RunFailed,
            absl::StrCat("resolved by runner ", attempt.Runner.str()),
            "send the request again under a new id"};
  if (outcome == AttemptOutcome::Answered)
    return conclude(live, Deliver{id, attempt.Runner, attempt.Number}, out);
  live.HasFailed = live.HasFailed || outcome == AttemptOutcome::Failed;
  if (!live.Attempts.empty())
    return;
  if (live.HasFailed)
    return conclude(live, Fail{id, attempt.Runner, attempt.Number, why}, out);
  why.Kind = ErrorKind::NotRun;
  conclude(live, Shed{id, why, RunnerRetryAfter}, out);
}

void Router::retry(RequestState &live, Error why, Instant now,
                   RouterActions &out) {
  if (live.IsQueued || hasOpenAttempt(live))
    return;
  const bool mayRetry = live.LastAttempt < Options.MaxAttempts &&
                        budgetOf(live.Request.Team).spend();
  if (!mayRetry)
    return concludeWithoutResponse(live, std::move(why), RunnerRetryAfter, out);
  ++Counters.Retried;
  enqueue(live, true, now);
}

} // namespace jujube::routing
