// Executes the routers' actions for the entry hosts of the fake fleet.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "testing/routing_world.h"

namespace jujube::testing {
namespace {

using routing::AttemptOutcome;

// Time that a link waits for the answer beyond the runner's time limit.
constexpr Duration AnswerGuard = Duration::millis(100);

} // namespace

void RoutingWorld::act(std::size_t i, routing::RouterActions actions) {
  for (routing::RouterAction &action : actions)
    std::visit([this, i](const auto &it) { perform(i, it); }, action);
  wake(i);
}

void RoutingWorld::wake(std::size_t i) {
  EntryHost &host = EntryHosts[i];
  if (!host.Router)
    return;
  const Instant local = localTime(host);
  const Duration wait =
      std::max(host.Router->nextWake(local) - local, Duration::millis(1));
  const Instant when = Events.now() + wait;
  if (when >= host.WakeAt)
    return;
  host.WakeAt = when;
  Events.callAt(when, [this, i, incarnation = host.HostIncarnation, when] {
    EntryHost &woken = EntryHosts[i];
    if (woken.WakeAt == when)
      woken.WakeAt = Instant::never();
    if (woken.HostIncarnation == incarnation && woken.Router)
      act(i, woken.Router->tick(localTime(woken)));
  });
}

void RoutingWorld::finish(std::size_t i, uint64_t incarnation,
                          const RequestId &id, uint32_t attempt,
                          AttemptOutcome outcome) {
  EntryHost &host = EntryHosts[i];
  if (host.HostIncarnation != incarnation)
    return;
  if (host.Router)
    act(i, host.Router->handleAttemptOutcome(id, attempt, outcome,
                                             localTime(host)));
  else if (host.Baseline.Answered)
    act(i, host.Baseline.Answered(id, attempt, outcome, localTime(host)));
}

void RoutingWorld::perform(std::size_t i, const routing::Dispatch &dispatch) {
  const EntryHost &host = EntryHosts[i];
  FakeRunner &runner = *Runners[RunnerIndex.at(dispatch.Runner)];
  const std::size_t zone = ZoneIndex.at(runner.announcement().Zone);
  const auto report = [this, i, incarnation = host.HostIncarnation,
                       dispatch](AttemptOutcome outcome) {
    finish(i, incarnation, dispatch.Request, dispatch.Attempt, outcome);
  };
  if (localTime(host) >= dispatch.SendBefore || !runner.isAlive())
    return Events.callAfter(Options.Latency * 2,
                            [report] { report(AttemptOutcome::NotSent); });
  Arrival arrival{Records.at(dispatch.Request).Request, dispatch.Attempt,
                  dispatch.Start, dispatch.Timeout, nullptr};
  arrival.Answer = [this, zone, to = host.Zone,
                    report](AttemptOutcome outcome) {
    send(zone, to, [report, outcome] { report(outcome); });
  };

  // A connection delivers a request at most once.
  send(
      host.Zone, zone,
      [&runner, arrival = std::move(arrival)] { runner.arrive(arrival); },
      false);
  Events.callAfter(dispatch.Timeout + AnswerGuard,
                   [report] { report(AttemptOutcome::Unknown); });
}

void RoutingWorld::perform(std::size_t i, const routing::JournalOffer &offer) {
  Events.callAfter(
      Options.JournalTime,
      [this, i, incarnation = EntryHosts[i].HostIncarnation, offer] {
        EntryHost &host = EntryHosts[i];
        if (host.HostIncarnation == incarnation)
          act(i, host.Router->handleOfferJournaled(offer.Request, Ok{},
                                                   localTime(host)));
      });
}

void RoutingWorld::perform(std::size_t i, const routing::Inquire &inquiry) {
  FakeRunner &runner = *Runners[RunnerIndex.at(inquiry.Runner)];
  const std::size_t zone = ZoneIndex.at(runner.announcement().Zone);
  const std::size_t from = EntryHosts[i].Zone;
  send(from, zone,
       [this, i, incarnation = EntryHosts[i].HostIncarnation, zone, from,
        &runner, inquiry] {
         const std::optional<AttemptOutcome> outcome =
             runner.inquire(inquiry.Request, inquiry.Attempt, inquiry.Start);
         if (!outcome)
           return;
         send(zone, from, [this, i, incarnation, inquiry, outcome] {
           finish(i, incarnation, inquiry.Request, inquiry.Attempt, *outcome);
         });
       });
}

void RoutingWorld::perform(std::size_t i, const routing::HandOver &handOver) {
  const RequestRecord record = Records.at(handOver.Request);
  const std::size_t first = i - i % Options.EntryHostsPerZone;
  const std::size_t next = first + (i + 1 - first) % Options.EntryHostsPerZone;
  routing::LiveRequest request = record.Request;
  request.Deadline = request.Deadline - (Events.now() - record.SubmittedAt);
  Events.callAfter(Options.Latency, [this, next, request, record] {
    submit(next, request);
    Records.at(request.Request).SubmittedAt = record.SubmittedAt;
    Records.at(request.Request).Request = record.Request;
  });
}

void RoutingWorld::perform(std::size_t i, const routing::SendReport &report) {
  EntryHost &host = EntryHosts[i];
  const std::size_t zone = ZoneIndex.at(report.Zone);
  ++ControlMessages;
  const routing::EntryReport message =
      host.Router->report(report.Zone, localTime(host));
  send(host.Zone, zone, [this, i, zone, message] {
    const auto grant = Zones[zone].Ledger->report(message, Events.now());
    if (!grant)
      return;
    ++ControlMessages;
    send(zone, EntryHosts[i].Zone, [this, i, grant] {
      EntryHost &to = EntryHosts[i];
      if (to.Router)
        act(i, to.Router->handleGrant(*grant, localTime(to)));
    });
  });
}

void RoutingWorld::recordViolation(const std::string &what,
                                   const RequestId &id) {
  Oracle.Violations.push_back(
      absl::StrCat(Events.now().millis(), " ms: ", what, " ", id.str()));
}

void RoutingWorld::conclude(const RequestId &id, routing::RouterAction action) {
  RequestRecord &record = Records.at(id);
  const bool mayResolve =
      record.Conclusion &&
      std::holds_alternative<routing::MarkUnresolved>(*record.Conclusion);
  if (record.Conclusion && !mayResolve)
    recordViolation("was concluded again:", id);
  record.EndedAt = Events.now();
  record.Conclusion = std::move(action);
  ++record.Conclusions;
}

void RoutingWorld::perform(std::size_t, const routing::Deliver &deliver) {
  if (!Oracle.Started.contains(deliver.Request))
    recordViolation("was answered without being run:", deliver.Request);
  Records.at(deliver.Request).DeliveredAttempt = deliver.Attempt;
  conclude(deliver.Request, deliver);
}

void RoutingWorld::perform(std::size_t, const routing::Fail &fail) {
  if (!Oracle.Started.contains(fail.Request))
    recordViolation("failed without being run:", fail.Request);
  conclude(fail.Request, fail);
}

void RoutingWorld::perform(std::size_t, const routing::Shed &shed) {
  if (Oracle.Started.contains(shed.Request) && !Options.Baseline)
    recordViolation("was told as not run, but ran:", shed.Request);
  conclude(shed.Request, shed);
}

void RoutingWorld::perform(std::size_t,
                           const routing::MarkUnresolved &unresolved) {
  conclude(unresolved.Request, unresolved);
}

} // namespace jujube::testing
