#include "jujube/routing/router.h"

#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"

namespace jujube::routing {
namespace {

constexpr Duration MinRetryAfter = Duration::millis(100);
constexpr Duration MaxRetryAfter = Duration::seconds(10);
// How long a router that was just started waits to hear of the runners.
constexpr Duration StartGrace = Duration::seconds(5);
// Runners announce themselves again within this span.
constexpr Duration AnnounceRetryAfter = Duration::seconds(1);

} // namespace

std::size_t chooseFastest(const std::vector<Candidate> &candidates) {
  const auto rank = [](const Candidate &it) {
    return std::make_tuple(it.IsDoubtful, !it.IsInOwnZone,
                           it.Latency.millis() * (it.InFlight + 1),
                           it.InFlight);
  };
  const auto best = std::ranges::min_element(candidates, {}, rank);
  return static_cast<std::size_t>(best - candidates.begin());
}

Router::Router(RouterOptions options, Instant now)
    : Options(std::move(options)), StartedAt(now), Table(Options) {}

Result<Router> Router::create(RouterOptions options, Instant now) {
  const Duration spans[] = {options.Lease,        options.MaxRequestTime,
                            options.RunnerLease,  options.ReportPeriod,
                            options.ReportGap,    options.EndGuard,
                            options.InquiryPeriod};
  const bool isPositive = std::ranges::all_of(
      spans, [](Duration span) { return span > Duration(); });
  if (!isPositive || options.MaxPerRunner == 0 || options.MaxAttempts == 0 ||
      !options.Choose)
    return Error{ErrorKind::InvalidArgument,
                 "a router needs spans and limits over 0",
                 "set the leases, periods and limits of the entry host"};
  if (options.EndGuard >= options.MaxRequestTime ||
      options.LeaseGuard >= options.Lease)
    return Error{ErrorKind::InvalidArgument,
                 "a guard is as long as the span that it guards",
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

Router::Desk &Router::deskOf(const EntryId &entry) {
  return Desks.try_emplace(entry, Options.Health).first->second;
}

Duration Router::likelyLatency(const Desk &desk) {
  return desk.Typical.hasLearned() ? desk.Typical.likelyLatency() : Duration();
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
  if (std::optional<Shed> shed = refusal(request, now)) {
    ++Counters.Shed;
    return {*std::move(shed)};
  }
  Live &live = Requests[request.Request];
  live.Request = request;
  live.SubmittedAt = now;
  if (!request.IsIdempotent)
    live.Offer = OfferState::Missing;
  enqueue(live, false, now);
  pump(request.Entry, now, out);
  // The journal syncs while the request waits, so that no slot waits for it.
  if (const auto it = Requests.find(request.Request); it != Requests.end())
    askForOffer(it->second, out);
  finishCall(now, out);
  return out;
}

// True if a runner takes requests, or if the zone's leader has not told yet
// which runners there are.
bool Router::mayBeServed(const EntryId &entry, Instant now) const {
  const bool isUninformed =
      Table.leaseEnd(Options.Zone) == Instant() && now < StartedAt + StartGrace;
  return isUninformed || Table.isServed(entry, now);
}

std::optional<Shed> Router::refusal(const LiveRequest &request, Instant now) {
  Desk &desk = deskOf(request.Entry);
  if (!mayBeServed(request.Entry, now))
    return Shed{
        request.Request,
        {ErrorKind::NotRun,
         absl::StrCat("no runner of ", request.Entry.str(), " takes requests"),
         "start a runner of the entry, or retry later"},
        AnnounceRetryAfter};
  if (desk.Queue.sizeOf(request.Team) >= Options.MaxQueuedPerTeam)
    return Shed{request.Request,
                {ErrorKind::NotRun,
                 absl::StrCat("team ", request.Team.str(),
                              " has too many requests waiting"),
                 "retry later, or ask for a larger share"},
                MinRetryAfter};
  const Duration wait = expectedWait(desk, request, now);
  const bool isLate = now + wait + likelyLatency(desk) > request.Deadline;
  if (!isLate && wait <= Options.MaxQueueWait)
    return std::nullopt;
  return Shed{request.Request,
              {ErrorKind::NotRun,
               absl::StrCat("expected to wait ", wait.millis(), " ms"),
               "retry later, or allow a longer timeout"},
              std::clamp(wait, MinRetryAfter, MaxRetryAfter)};
}

// Zero until the queue has stood for the grace span: credits that were just
// asked for would make an estimate from those held too high.
Duration Router::expectedWait(Desk &desk, const LiveRequest &request,
                              Instant now) const {
  const Instant oldest = std::max(desk.Queue.oldest(), desk.CreditsSince);
  const uint32_t capacity = Table.capacityOf(request.Entry, now);
  if (oldest > now || now - oldest < Options.ShedGrace || capacity == 0)
    return Duration();
  const double share = desk.Queue.shareOf(request.Team, shareOf(request.Team));
  const double ahead = static_cast<double>(desk.Queue.sizeOf(request.Team)) + 1;
  const double perRequest =
      static_cast<double>(desk.Typical.latency(now).millis()) / capacity;
  return Duration::millis(static_cast<int64_t>(ahead * perRequest / share));
}

void Router::enqueue(Live &live, bool isFirst, Instant now) {
  const LiveRequest &request = live.Request;
  Desk &desk = deskOf(request.Entry);
  live.ExpiresAt = request.Deadline - likelyLatency(desk);
  live.IsQueued = true;
  Expiries.emplace(live.ExpiresAt, request.Request);
  const uint32_t share = shareOf(request.Team);
  if (isFirst)
    desk.Queue.pushFront(request.Team, share, {request.Request, now});
  else
    desk.Queue.push(request.Team, share, {request.Request, now});
}

void Router::dequeue(Live &live) {
  if (!live.IsQueued)
    return;
  live.IsQueued = false;
  Expiries.erase({live.ExpiresAt, live.Request.Request});
  deskOf(live.Request.Entry)
      .Queue.remove(live.Request.Team, live.Request.Request);
}

void Router::conclude(Live &live, RouterAction action, RouterActions &out) {
  dequeue(live);
  HedgeTimes.erase({live.HedgeAt, live.Request.Request});
  // Kept only for the fact that they may have run.
  std::erase_if(live.Attempts, [&](const Attempt &attempt) {
    return live.Request.IsIdempotent && !attempt.HoldsSlot;
  });
  live.Conclusion = action;
  out.push_back(std::move(action));
}

void Router::concludeUnserved(Live &live, Error why, Duration after,
                              RouterActions &out) {
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

void Router::finishCall(Instant now, RouterActions &out) {
  spill(now);
  returnSpare();
  dueReports(now, out);
}

RouterActions Router::runnerSeen(const RunnerAnnouncement &announcement,
                                 Duration age, Instant now) {
  RouterActions out;
  Table.see(announcement, age, now);
  pump(announcement.Entry, now, out);
  finishCall(now, out);
  return out;
}

RouterActions Router::granted(const CreditGrant &grant, Instant now) {
  RouterActions out;
  std::vector<EntryId> starved;
  for (const auto &[entry, desk] : Desks)
    if (Table.capacityOf(entry, now) == 0)
      starved.push_back(entry);
  if (Table.apply(grant, now))
    Table.setUrgent(grant.Zone);
  for (const EntryId &entry : starved)
    if (Table.capacityOf(entry, now) > 0)
      deskOf(entry).CreditsSince = now;
  for (const auto &[entry, desk] : Desks)
    pump(entry, now, out);
  finishCall(now, out);
  return out;
}

RouterActions Router::callerGone(const RequestId &id, Instant now) {
  RouterActions out;
  const auto it = Requests.find(id);
  if (it == Requests.end() || !it->second.IsQueued)
    return out;
  concludeUnserved(it->second,
                   {ErrorKind::Cancelled, "the caller is gone",
                    "send the request again if it is still wanted"},
                   Duration(), out);
  forgetIfDone(id);
  finishCall(now, out);
  return out;
}

RouterActions Router::beginDrain(Instant now) {
  RouterActions out;
  IsDraining = true;
  std::vector<RequestId> untouched;
  for (const auto &[id, live] : Requests)
    if (live.IsQueued && live.Attempts.empty() && !live.HasFailed)
      untouched.push_back(id);
  for (const RequestId &id : untouched) {
    conclude(Requests.at(id), HandOver{id}, out);
    forgetIfDone(id);
  }
  finishCall(now, out);
  return out;
}

bool Router::isIdle() const {
  return std::ranges::none_of(Requests, [](const auto &row) {
    return row.second.IsQueued || hasOpenAttempt(row.second);
  });
}

std::size_t Router::queued() const {
  return std::accumulate(Desks.begin(), Desks.end(), std::size_t{0},
                         [](std::size_t sum, const auto &row) {
                           return sum + row.second.Queue.size();
                         });
}

} // namespace jujube::routing
