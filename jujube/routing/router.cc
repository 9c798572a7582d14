#include "jujube/routing/router.h"

#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"

namespace jujube::routing {
namespace {

constexpr Duration MinRetryAfter = Duration::millis(100);
constexpr Duration MaxRetryAfter = Duration::seconds(10);
// How long after its start a router queues requests for entries without a known
// runner, because announcements may not have reached it yet.
constexpr Duration StartupGrace = Duration::seconds(5);
// Runners announce themselves at least this often.
constexpr Duration AnnounceRetryAfter = Duration::seconds(1);

} // namespace

std::size_t chooseFastest(const std::vector<Candidate> &candidates) {
  const auto rank = [](const Candidate &it) {
    return std::make_tuple(it.IsDeprioritized, !it.IsInOwnZone,
                           it.Latency.millis() * (it.InFlight + 1),
                           it.InFlight);
  };
  const auto best = std::ranges::min_element(candidates, {}, rank);
  return static_cast<std::size_t>(best - candidates.begin());
}

Router::Router(RouterOptions options, Instant now)
    : Options(std::move(options)), StartedAt(now), Runners(Options) {}

Result<Router> Router::create(RouterOptions options, Instant now) {
  const Duration spans[] = {options.Lease,        options.MaxRequestTime,
                            options.RunnerLease,  options.ReportPeriod,
                            options.ReportGap,    options.EndMargin,
                            options.InquiryPeriod};
  const bool isPositive = std::ranges::all_of(
      spans, [](Duration span) { return span > Duration(); });
  if (!isPositive || options.MaxPerRunner == 0 || options.MaxAttempts == 0 ||
      !options.Choose)
    return Error{
        ErrorKind::InvalidArgument,
        "a duration or limit of the router is not positive, or its "
        "choice hook is empty",
        "set the leases, periods and limits of the entry host to more than 0"};
  if (options.EndMargin >= options.MaxRequestTime ||
      options.LeaseMargin >= options.Lease)
    return Error{
        ErrorKind::InvalidArgument,
        "a guard of the router is not shorter than the credit lease or "
        "request time that it applies to",
        "raise the credit lease or the request time"};
  return Router(std::move(options), now);
}

void Router::setShares(const std::vector<catalogue::Team> &teams) {
  Shares.clear();
  for (const catalogue::Team &team : teams)
    Shares[team.Id] = std::max(team.Share, 1U);
}

uint32_t Router::shareOf(const TeamId &team) const {
  const auto it = Shares.find(team);
  return it == Shares.end() ? 1 : it->second;
}

Router::EntryState &Router::entryState(const EntryId &entry) {
  return EntryStates.try_emplace(entry, Options.Health).first->second;
}

Duration Router::likelyLatency(const EntryState &state) {
  return state.AllRunners.hasEnoughObservations()
             ? state.AllRunners.likelyLatency()
             : Duration();
}

RetryBudget &Router::budgetOf(const TeamId &team) {
  return Budgets.try_emplace(team, Options.Retries).first->second;
}

RouterActions Router::submit(const LiveRequest &request, Instant now) {
  RouterActions out;
  if (const auto known = Requests.find(request.Request);
      known != Requests.end()) {
    if (known->second.Conclusion)
      out.push_back(*known->second.Conclusion);
    return out;
  }
  ++Counters.Submitted;
  if (IsDraining)
    return {HandOver{request.Request}};
  budgetOf(request.Team).earn();
  if (std::optional<Shed> shed = checkAdmission(request, now)) {
    ++Counters.Shed;
    return {*std::move(shed)};
  }
  RequestState &live = Requests[request.Request];
  live.Request = request;
  live.SubmittedAt = now;
  if (!request.IsIdempotent)
    live.Offer = OfferState::Missing;
  enqueue(live, false, now);
  dispatchQueued(request.Entry, now, out);
  // Journaling starts while the request is queued, so that no slot is held idle
  // during the write.
  if (const auto it = Requests.find(request.Request); it != Requests.end())
    requestOffer(it->second, out);
  updateReports(now, out);
  return out;
}

// True if the entry has a usable runner, or if the router has just started and
// has not received a grant from its zone's leader, so that it may not know the
// runners yet.
bool Router::mayHaveRunner(const EntryId &entry, Instant now) const {
  const bool awaitsFirstGrant = Runners.leaseEnd(Options.Zone) == Instant() &&
                                now < StartedAt + StartupGrace;
  return awaitsFirstGrant || Runners.isServed(entry, now);
}

std::optional<Shed> Router::checkAdmission(const LiveRequest &request,
                                           Instant now) {
  EntryState &state = entryState(request.Entry);
  if (!mayHaveRunner(request.Entry, now))
    return Shed{
        request.Request,
        {ErrorKind::NotRun,
         absl::StrCat("no runner of ", request.Entry.str(), " takes requests"),
         "start a runner of the entry, or retry later"},
        AnnounceRetryAfter};
  if (state.Queue.sizeOf(request.Team) >= Options.MaxQueuedPerTeam)
    return Shed{request.Request,
                {ErrorKind::NotRun,
                 absl::StrCat("team ", request.Team.str(),
                              " has too many requests waiting"),
                 "retry later, or ask for a larger share"},
                MinRetryAfter};
  const Duration wait = expectedWait(state, request, now);
  const bool isLate = now + wait + likelyLatency(state) > request.Deadline;
  if (!isLate && wait <= Options.MaxQueueWait)
    return std::nullopt;
  return Shed{request.Request,
              {ErrorKind::NotRun,
               absl::StrCat("expected to wait ", wait.millis(), " ms"),
               "retry later, or allow a longer timeout"},
              std::clamp(wait, MinRetryAfter, MaxRetryAfter)};
}

// Returns zero until requests have been queued, and credits held, for
// ShedDelay: credits that were requested may not have arrived yet, and an
// estimate from those held now would be too high.
Duration Router::expectedWait(EntryState &state, const LiveRequest &request,
                              Instant now) const {
  const Instant oldest =
      std::max(state.Queue.oldestQueuedAt(), state.CreditsAvailableSince);
  const uint32_t capacity = Runners.capacityOf(request.Entry, now);
  if (oldest > now || now - oldest < Options.ShedDelay || capacity == 0)
    return Duration();
  const double share = state.Queue.shareOf(request.Team, shareOf(request.Team));
  const double ahead =
      static_cast<double>(state.Queue.sizeOf(request.Team)) + 1;
  const double perRequest =
      static_cast<double>(state.AllRunners.latency(now).millis()) / capacity;
  return Duration::millis(static_cast<int64_t>(ahead * perRequest / share));
}

void Router::enqueue(RequestState &live, bool isFirst, Instant now) {
  const LiveRequest &request = live.Request;
  EntryState &state = entryState(request.Entry);
  live.ExpiresAt = request.Deadline - likelyLatency(state);
  live.IsQueued = true;
  Expiries.emplace(live.ExpiresAt, request.Request);
  const uint32_t share = shareOf(request.Team);
  if (isFirst)
    state.Queue.pushFront(request.Team, share, {request.Request, now});
  else
    state.Queue.push(request.Team, share, {request.Request, now});
}

void Router::dequeue(RequestState &live) {
  if (!live.IsQueued)
    return;
  live.IsQueued = false;
  Expiries.erase({live.ExpiresAt, live.Request.Request});
  entryState(live.Request.Entry)
      .Queue.remove(live.Request.Team, live.Request.Request);
}

void Router::conclude(RequestState &live, RouterAction action,
                      RouterActions &out) {
  dequeue(live);
  HedgeTimes.erase({live.HedgeAt, live.Request.Request});
  // Lost attempts of an idempotent request that hold no slot were kept only
  // because they may have run, which no longer matters.
  std::erase_if(live.Attempts, [&](const Attempt &attempt) {
    return live.Request.IsIdempotent && !attempt.HoldsSlot;
  });
  live.Conclusion = action;
  out.push_back(std::move(action));
}

void Router::concludeWithoutResponse(RequestState &live, Error why,
                                     Duration after, RouterActions &out) {
  const RequestId &id = live.Request.Request;
  const auto lost =
      std::ranges::find(live.Attempts, AttemptState::Lost, &Attempt::State);
  if (lost != live.Attempts.end()) {
    ++Counters.Unresolved;
    why.Kind = ErrorKind::OutcomeUnknown;
    why.Remedy = "ask for the fate of the request; it is not run again";
    return conclude(
        live, MarkUnresolved{id, lost->Runner, lost->Number, std::move(why)},
        out);
  }
  if (live.HasFailed) {
    ++Counters.Failed;
    why.Kind = ErrorKind::RunFailed;
    return conclude(live, Fail{id, {}, live.LastAttempt, std::move(why)}, out);
  }
  ++Counters.Shed;
  why.Kind = ErrorKind::NotRun;
  conclude(live, Shed{id, std::move(why), after}, out);
}

void Router::forgetIfDone(const RequestId &id) {
  const auto it = Requests.find(id);
  if (it != Requests.end() && it->second.Conclusion &&
      it->second.Attempts.empty())
    Requests.erase(it);
}

void Router::updateReports(Instant now, RouterActions &out) {
  requestSpillover(now);
  expediteSpareReturn();
  requestDueReports(now, out);
}

RouterActions Router::handleAnnouncement(const RunnerAnnouncement &announcement,
                                         Duration age, Instant now) {
  RouterActions out;
  Runners.recordAnnouncement(announcement, age, now);
  dispatchQueued(announcement.Entry, now, out);
  updateReports(now, out);
  return out;
}

RouterActions Router::handleGrant(const CreditGrant &grant, Instant now) {
  RouterActions out;
  std::vector<EntryId> withoutCredits;
  for (const auto &[entry, state] : EntryStates)
    if (Runners.capacityOf(entry, now) == 0)
      withoutCredits.push_back(entry);
  if (Runners.applyGrant(grant, now))
    Runners.setUrgent(grant.Zone);
  for (const EntryId &entry : withoutCredits)
    if (Runners.capacityOf(entry, now) > 0)
      entryState(entry).CreditsAvailableSince = now;
  for (const auto &[entry, state] : EntryStates)
    dispatchQueued(entry, now, out);
  updateReports(now, out);
  return out;
}

RouterActions Router::handleCallerDisconnect(const RequestId &id, Instant now) {
  RouterActions out;
  const auto it = Requests.find(id);
  if (it == Requests.end() || !it->second.IsQueued)
    return out;
  concludeWithoutResponse(it->second,
                          {ErrorKind::Cancelled, "the caller is gone",
                           "send the request again if it is still wanted"},
                          Duration(), out);
  forgetIfDone(id);
  updateReports(now, out);
  return out;
}

RouterActions Router::beginDrain(Instant now) {
  RouterActions out;
  IsDraining = true;
  std::vector<RequestId> unattempted;
  for (const auto &[id, live] : Requests)
    if (live.IsQueued && live.Attempts.empty() && !live.HasFailed)
      unattempted.push_back(id);
  for (const RequestId &id : unattempted) {
    conclude(Requests.at(id), HandOver{id}, out);
    forgetIfDone(id);
  }
  updateReports(now, out);
  return out;
}

bool Router::isIdle() const {
  return std::ranges::none_of(Requests, [](const auto &row) {
    return row.second.IsQueued || hasOpenAttempt(row.second);
  });
}

std::size_t Router::queued() const {
  return std::accumulate(EntryStates.begin(), EntryStates.end(), std::size_t{0},
                         [](std::size_t sum, const auto &row) {
                           return sum + row.second.Queue.size();
                         });
}

} // namespace jujube::routing
