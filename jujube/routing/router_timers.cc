// Deadlines, hedges, inquiries about lost attempts, and reports.
#include <algorithm>
#include <iterator>

#include "jujube/routing/router.h"

namespace jujube::routing {
namespace {

constexpr Duration ExpiredRetryAfter = Duration::millis(500);
// Requests are hedged while one in so many credits is free.
constexpr uint32_t HedgeHeadroom = 10;
// Spare credits that are kept while other entry hosts wait for them.
constexpr uint32_t ContendedSpare = 0;

} // namespace

RouterActions Router::tick(Instant now) {
  RouterActions out;
  expire(now, out);
  followLost(now, out);
  for (const auto &[entry, desk] : Desks)
    pump(entry, now, out);
  hedge(now, out);
  finishCall(now, out);
  return out;
}

Instant Router::nextWake(Instant now) const {
  Instant next = Instant::never();
  for (const ZoneId &zone : Table.zones())
    next = std::min(next, reportDue(zone));
  if (!Expiries.empty())
    next = std::min(next, Expiries.begin()->first);
  if (!HedgeTimes.empty())
    next = std::min(next, HedgeTimes.begin()->first);
  if (!LostTimes.empty())
    next = std::min(next, LostTimes.begin()->first);
  for (const auto &[entry, desk] : Desks)
    if (const Instant spillAt = desk.Queue.oldest() + Options.SpillAfter;
        spillAt > now)
      next = std::min(next, spillAt);
  return next;
}

void Router::expire(Instant now, RouterActions &out) {
  while (!Expiries.empty() && Expiries.begin()->first <= now) {
    const RequestId id = Expiries.begin()->second;
    giveUp(id, out);
  }
}

void Router::giveUp(const RequestId &id, RouterActions &out) {
  concludeUnserved(Requests.at(id),
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
    Live &live = Requests.at(id);
    if (live.LastAttempt >= Options.MaxAttempts)
      continue;
    const bool isWanted =
        hasOpenAttempt(live) && mayHedge(live.Request.Entry, now);
    const std::optional<RunnerId> runner =
        isWanted ? pick(live, now) : std::nullopt;
    if (!runner || !budgetOf(live.Request.Team).spend()) {
      live.HedgeAt = now + Options.HedgeAfter;
      HedgeTimes.emplace(live.HedgeAt, id);
      continue;
    }
    ++Counters.Hedged;
    launch(live, *runner, now, out);
  }
}

// Hedges use spare slots only: first attempts of other requests go first.
bool Router::mayHedge(const EntryId &entry, Instant now) const {
  return Desks.at(entry).Queue.empty() &&
         Table.spareOf(entry, now) * HedgeHeadroom >=
             Table.capacityOf(entry, now);
}

void Router::followLost(Instant now, RouterActions &out) {
  while (!LostTimes.empty() && LostTimes.begin()->first <= now) {
    const auto [id, number] = LostTimes.begin()->second;
    LostTimes.erase(LostTimes.begin());
    Live &live = Requests.at(id);
    Attempt &attempt = *findAttempt(id, number);
    if (now >= attempt.BusyUntil)
      releaseSlot(live, attempt);
    const bool isResolved = live.Request.IsIdempotent ||
                            now >= attempt.StartedAt + Options.ResolveWithin;
    if (isResolved && !attempt.HoldsSlot) {
      // A request that is tried again keeps the fact that it may have run.
      if (live.Conclusion)
        removeAttempt(live, number);
      forgetIfDone(id);
      continue;
    }
    out.emplace_back(Inquire{id, attempt.Runner, attempt.RunnerStart,
                             Table.find(attempt.Runner)->Announcement.Http,
                             number});
    attempt.NextEvent = now + Options.InquiryPeriod;
    if (attempt.HoldsSlot)
      attempt.NextEvent = std::min(attempt.NextEvent, attempt.BusyUntil);
    LostTimes.insert({attempt.NextEvent, {id, number}});
  }
}

void Router::spill(Instant now) {
  for (auto &[entry, desk] : Desks) {
    if (desk.Queue.empty())
      continue;
    const bool isSlow = now - desk.Queue.oldest() >= Options.SpillAfter;
    if (!isSlow && Table.isServedIn(Options.Zone, entry, now))
      continue;
    desk.SpillUntil = now + Options.SpillHold;
    for (const ZoneId &zone : Table.zones())
      if (zone != Options.Zone && Table.isServedIn(zone, entry, now))
        Table.setUrgent(zone);
  }
}

uint32_t Router::keptSpare(const EntryId &entry) const {
  const auto desk = Desks.find(entry);
  const bool waits = desk != Desks.end() && !desk->second.Queue.empty();
  return waits ? UINT32_MAX : ContendedSpare;
}

// Credits that others wait for move as soon as a report may leave.
void Router::returnSpare() {
  for (const ZoneId &zone : Table.zones())
    for (const EntryId &entry : Table.contendedIn(zone))
      if (Table.spareIn(zone, entry) > keptSpare(entry))
        Table.setUrgent(zone);
}

Instant Router::reportDue(const ZoneId &zone) const {
  const auto flight = InFlight.lower_bound({zone, {}});
  const bool isActive =
      Table.creditsIn(zone) > 0 ||
      (flight != InFlight.end() && flight->first.first == zone);
  const Duration period = Table.isUrgent(zone) ? Options.ReportGap
                          : isActive           ? Options.ReportPeriod
                                               : Options.IdleReportPeriod;
  return Table.lastReport(zone) + period;
}

void Router::dueReports(Instant now, RouterActions &out) {
  for (const ZoneId &zone : Table.zones())
    if (reportDue(zone) <= now)
      out.emplace_back(ReportNow{zone});
}

uint32_t Router::spilledTo(const ZoneId &zone, const EntryId &entry,
                           const Desk &desk, uint32_t queued,
                           Instant now) const {
  if (zone == Options.Zone)
    return queued;
  if (now >= desk.SpillUntil || !Table.isServedIn(zone, entry, now))
    return 0;
  const std::vector<ZoneId> zones = Table.zones();
  const auto others = static_cast<uint32_t>(
      std::ranges::count_if(zones, [&](const ZoneId &other) {
        return other != Options.Zone && Table.isServedIn(other, entry, now);
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
                                !Table.isServedIn(Options.Zone, entry, now)})
        .first->second;
  };
  for (const auto &[entry, desk] : Desks)
    for (const auto &[team, queued] : desk.Queue.queued())
      if (const uint32_t n = spilledTo(zone, entry, desk, queued, now); n > 0)
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
  for (const EntryId &entry : Table.contendedIn(zone))
    Table.giveBack(zone, entry, keptSpare(entry));
  EntryReport report = Table.beginReport(zone, now);
  report.UpFor = now - StartedAt;
  report.Demand = demandFor(zone, now);
  return report;
}

} // namespace jujube::routing
