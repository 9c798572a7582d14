// Timers of a Router: deadlines, hedges, inquiries about lost attempts, and
// reports.
#include <algorithm>
#include <iterator>

#include "jujube/routing/router.h"

namespace jujube::routing {
namespace {

constexpr Duration ExpiredRetryAfter = Duration::millis(500);
// Requests are hedged only while at least 1 in this many credits is free.
constexpr uint32_t HedgeHeadroom = 10;
// Unused credits that are kept while other entry hosts wait for credits.
constexpr uint32_t ContendedSpare = 0;

} // namespace

RouterActions Router::tick(Instant now) {
  RouterActions out;
  expire(now, out);
  processLostAttempts(now, out);
  for (const auto &[entry, state] : EntryStates)
    dispatchQueued(entry, now, out);
  hedge(now, out);
  updateReports(now, out);
  return out;
}

Instant Router::nextWake(Instant now) const {
  Instant next = Instant::never();
  for (const ZoneId &zone : Runners.zones())
    next = std::min(next, reportDue(zone));
  if (!Expiries.empty())
    next = std::min(next, Expiries.begin()->first);
  if (!HedgeTimes.empty())
    next = std::min(next, HedgeTimes.begin()->first);
  if (!LostAttemptEvents.empty())
    next = std::min(next, LostAttemptEvents.begin()->first);
  for (const auto &[entry, state] : EntryStates)
    if (const Instant spillAt =
            state.Queue.oldestQueuedAt() + Options.SpilloverDelay;
        spillAt > now)
      next = std::min(next, spillAt);
  return next;
}

void Router::expire(Instant now, RouterActions &out) {
  while (!Expiries.empty() && Expiries.begin()->first <= now) {
    const RequestId id = Expiries.begin()->second;
    concludeExpired(id, out);
  }
}

void Router::concludeExpired(const RequestId &id, RouterActions &out) {
  concludeWithoutResponse(Requests.at(id),
                          {ErrorKind::NotRun,
                           "no slot became free before the deadline",
                           "retry later, or allow a longer timeout"},
                          ExpiredRetryAfter, out);
  forgetIfDone(id);
}

void Router::hedge(Instant now, RouterActions &out) {
  while (!HedgeTimes.empty() && HedgeTimes.begin()->first <= now) {
    const RequestId id = HedgeTimes.begin()->second;
    HedgeTimes.erase(HedgeTimes.begin());
    RequestState &live = Requests.at(id);
    if (live.LastAttempt >= Options.MaxAttempts)
      continue;
    const bool isWanted =
        hasOpenAttempt(live) && mayHedge(live.Request.Entry, now);
    const std::optional<RunnerId> runner =
        isWanted ? chooseRunner(live, now) : std::nullopt;
    if (!runner || !budgetOf(live.Request.Team).spend()) {
      live.HedgeAt = now + Options.HedgeAfter;
      HedgeTimes.emplace(live.HedgeAt, id);
      continue;
    }
    ++Counters.Hedged;
    startAttempt(live, *runner, now, out);
  }
}

// First attempts of other requests take precedence over hedges.
bool Router::mayHedge(const EntryId &entry, Instant now) const {
  return EntryStates.at(entry).Queue.empty() &&
         Runners.spareOf(entry, now) * HedgeHeadroom >=
             Runners.capacityOf(entry, now);
}

void Router::processLostAttempts(Instant now, RouterActions &out) {
  while (!LostAttemptEvents.empty() &&
         LostAttemptEvents.begin()->first <= now) {
    const auto [id, number] = LostAttemptEvents.begin()->second;
    LostAttemptEvents.erase(LostAttemptEvents.begin());
    RequestState &live = Requests.at(id);
    Attempt &attempt = *findAttempt(id, number);
    if (now >= attempt.BusyUntil)
      releaseSlot(live, attempt);
    const bool isResolved = live.Request.IsIdempotent ||
                            now >= attempt.StartedAt + Options.ResolveWithin;
    if (isResolved && !attempt.HoldsSlot) {
      // A request without a conclusion keeps its lost attempts: if it gets no
      // response, its outcome is unknown.
      if (live.Conclusion)
        removeAttempt(live, number);
      forgetIfDone(id);
      continue;
    }
    out.emplace_back(Inquire{id, attempt.Runner, attempt.RunnerStart,
                             Runners.find(attempt.Runner)->Announcement.Http,
                             number});
    attempt.NextEvent = now + Options.InquiryPeriod;
    if (attempt.HoldsSlot)
      attempt.NextEvent = std::min(attempt.NextEvent, attempt.BusyUntil);
    LostAttemptEvents.insert({attempt.NextEvent, {id, number}});
  }
}

void Router::requestSpillover(Instant now) {
  for (auto &[entry, state] : EntryStates) {
    if (state.Queue.empty())
      continue;
    const bool isSlow =
        now - state.Queue.oldestQueuedAt() >= Options.SpilloverDelay;
    if (!isSlow && Runners.isServedIn(Options.Zone, entry, now))
      continue;
    state.SpilloverUntil = now + Options.SpilloverHold;
    for (const ZoneId &zone : Runners.zones())
      if (zone != Options.Zone && Runners.isServedIn(zone, entry, now))
        Runners.setUrgent(zone);
  }
}

uint32_t Router::spareToKeep(const EntryId &entry) const {
  const auto state = EntryStates.find(entry);
  const bool waits = state != EntryStates.end() && !state->second.Queue.empty();
  return waits ? UINT32_MAX : ContendedSpare;
}

// Unused credits on contended entries are returned with the next report, which
// is sent as soon as ReportGap allows.
void Router::expediteSpareReturn() {
  for (const ZoneId &zone : Runners.zones())
    for (const EntryId &entry : Runners.contendedIn(zone))
      if (Runners.spareIn(zone, entry) > spareToKeep(entry))
        Runners.setUrgent(zone);
}

Instant Router::reportDue(const ZoneId &zone) const {
  const auto flight = InFlight.lower_bound({zone, {}});
  const bool isActive =
      Runners.creditsIn(zone) > 0 ||
      (flight != InFlight.end() && flight->first.first == zone);
  const Duration period = Runners.isUrgent(zone) ? Options.ReportGap
                          : isActive             ? Options.ReportPeriod
                                                 : Options.IdleReportPeriod;
  return Runners.lastReport(zone) + period;
}

void Router::requestDueReports(Instant now, RouterActions &out) {
  for (const ZoneId &zone : Runners.zones())
    if (reportDue(zone) <= now)
      out.emplace_back(SendReport{zone});
}

uint32_t Router::spilloverDemand(const ZoneId &zone, const EntryId &entry,
                                 const EntryState &state, uint32_t queued,
                                 Instant now) const {
  if (zone == Options.Zone)
    return queued;
  if (now >= state.SpilloverUntil || !Runners.isServedIn(zone, entry, now))
    return 0;
  const std::vector<ZoneId> zones = Runners.zones();
  const auto others = static_cast<uint32_t>(
      std::ranges::count_if(zones, [&](const ZoneId &other) {
        return other != Options.Zone && Runners.isServedIn(other, entry, now);
      }));
  return (queued + others - 1) / others;
}

std::vector<TeamDemand> Router::demandFor(const ZoneId &zone,
                                          Instant now) const {
  std::map<std::pair<EntryId, TeamId>, TeamDemand> rows;
  const auto rowOf = [&](const EntryId &entry,
                         const TeamId &team) -> TeamDemand & {
    return rows
        .try_emplace({entry, team},
                     TeamDemand{entry, team, shareOf(team), 0, 0,
                                !Runners.isServedIn(Options.Zone, entry, now)})
        .first->second;
  };
  for (const auto &[entry, state] : EntryStates)
    for (const auto &[team, queued] : state.Queue.queuedByTeam())
      if (const uint32_t n = spilloverDemand(zone, entry, state, queued, now);
          n > 0)
        rowOf(entry, team).Queued = n;
  for (const auto &[key, n] : InFlight)
    if (key.first == zone)
      rowOf(key.second.first, key.second.second).InFlight = n;
  std::vector<TeamDemand> demand;
  std::ranges::transform(rows, std::back_inserter(demand),
                         [](const auto &row) { return row.second; });
  return demand;
}

EntryReport Router::report(const ZoneId &zone, Instant now) {
  ++Counters.Reports;
  for (const EntryId &entry : Runners.contendedIn(zone))
    Runners.returnCredits(zone, entry, spareToKeep(entry));
  EntryReport report = Runners.beginReport(zone, now);
  report.Uptime = now - StartedAt;
  report.Demand = demandFor(zone, now);
  return report;
}

} // namespace jujube::routing
