#include "jujube/load/driver.h"

#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"
#include "jujube/http/bodies.h"
#include "jujube/http/json.h"
#include "jujube/logging/line.h"

namespace jujube::load {
namespace {

using logging::Event;
using logging::Line;

// Allowance for a response beyond the deadline of a live request.
constexpr Duration AnswerSlack = Duration::seconds(5);
constexpr Duration AdvancePeriod = Duration::millis(200);

template <typename T> Result<T> decode(const Result<std::string> &answer) {
  if (!isOk(answer))
    return errorOf(answer);
  return http::fromJson<T>(valueOf(answer));
}

std::string keyOf(const RunOptions &options, const TeamId &team) {
  const auto it = options.Keys.find(team);
  return it == options.Keys.end() ? std::string() : it->second;
}

OutgoingCall submitCall(std::size_t record, const Step &step,
                        const RequestId &id, std::string key) {
  http::SubmitBody body{id, step.Entry, payloadFor(step, id)};
  if (step.Tasks > 0)
    body.Tasks = step.Tasks;
  body.StartWithin = step.Deadline;
  return {
      CallKind::Submit,
      record,
      {http::Method::Post, "/v1/requests", std::move(key), http::toJson(body)}};
}

OutgoingCall liveCall(std::size_t record, const Step &step, const RequestId &id,
                      std::string key) {
  const http::CallBody body{id, payloadFor(step, id), step.Deadline};
  OutgoingCall call{CallKind::Call,
                    record,
                    {http::Method::Post,
                     absl::StrCat("/v1/entries/", step.Entry.str(), "/call"),
                     std::move(key), http::toJson(body),
                     step.Deadline + AnswerSlack}};
  call.Call.MayResend = false;
  return call;
}

} // namespace

Driver::Driver(const RunOptions &options, std::vector<SenderMailbox> senders,
               RunOutcome &outcome, std::function<void()> onEnd,
               runtime::TaskContext &context)
    : Options(options), Senders(std::move(senders)), Outcome(outcome),
      OnEnd(std::move(onEnd)), Context(context), StartedAt(context.now()),
      IdleSenders(Senders.size()) {
  std::iota(IdleSenders.begin(), IdleSenders.end(), std::size_t{0});
}

Status Driver::run(const DriverMailbox &mailbox) {
  Context.loop().watchMailbox<DriverMessage>(
      mailbox, [this](DriverMessage message) {
        std::visit([this](auto &it) { handle(std::move(it)); }, message);
      });
  for (const Fault &fault : Options.Faults)
    Context.loop().callAt(StartedAt + fault.At,
                          [this, fault] { applyFault(fault); });
  Context.loop().callEvery(AdvancePeriod, [this] { advance(); });
  scheduleSteps();
  return Context.loop().run();
}

void Driver::scheduleSteps() {
  if (NextStep < Options.Steps.size())
    Context.loop().callAt(StartedAt + Options.Steps[NextStep].At,
                          [this] { executeDueSteps(); });
}

void Driver::executeDueSteps() {
  while (NextStep < Options.Steps.size() &&
         Options.Steps[NextStep].At <= elapsed())
    execute(Options.Steps[NextStep++]);
  scheduleSteps();
}

void Driver::execute(const Step &step) {
  if (step.Kind == StepKind::Cancel) {
    executeCancel(step);
    return;
  }
  const ZoneId &zone = step.Zone.empty()
                           ? Options.Zones[NextZone++ % Options.Zones.size()]
                           : step.Zone;
  const RequestId id(
      absl::StrCat(zone.str(), ".", Options.RunId, "-", step.Name));
  const std::size_t record = Outcome.Requests.add(step, id);
  std::string key = keyOf(Options, step.Team);
  enqueue(step.Kind == StepKind::Call
              ? liveCall(record, step, id, std::move(key))
              : submitCall(record, step, id, std::move(key)));
}

void Driver::executeCancel(const Step &step) {
  const std::optional<std::size_t> record = Outcome.Requests.find(step.Name);
  if (!record)
    return;
  const RequestRecord &wanted = Outcome.Requests.records()[*record];
  enqueue({CallKind::Cancel,
           *record,
           {http::Method::Post,
            absl::StrCat("/v1/requests/", wanted.Id.str(), "/cancel"),
            keyOf(Options, wanted.Planned.Team)}});
}

void Driver::enqueue(OutgoingCall call) {
  Queue.push_back(std::move(call));
  sendQueued();
}

void Driver::sendQueued() {
  while (!Queue.empty() && !IdleSenders.empty()) {
    const std::size_t sender = IdleSenders.front();
    IdleSenders.pop_front();
    (void)Senders[sender]->post(std::move(Queue.front()));
    Queue.pop_front();
    ++InFlight;
  }
}

void Driver::handle(const CallCompleted &message) {
  --InFlight;
  IdleSenders.push_back(message.Sender);
  const std::size_t record = message.Call.Record;
  Ledger &ledger = Outcome.Requests;
  switch (message.Call.Kind) {
  case CallKind::Submit:
    ledger.submitted(record, decode<fate::FateView>(message.Answer),
                     message.IsUnreachable);
    break;
  case CallKind::Call:
    ledger.called(record, decode<api::LiveAnswer>(message.Answer),
                  message.Latency);
    break;
  case CallKind::Cancel:
  case CallKind::Poll:
    ledger.polled(record, decode<fate::FateView>(message.Answer));
    break;
  }
  const bool isFollowed = message.Call.Kind == CallKind::Submit ||
                          message.Call.Kind == CallKind::Poll;
  if (isFollowed && ledger.isPending(record) &&
      CurrentPhase < Phase::Confirming)
    schedulePoll(record);
  sendQueued();
}

void Driver::schedulePoll(std::size_t record) {
  Context.loop().callAt(Context.now() + Options.PollPeriod,
                        [this, record] { poll(record); });
}

void Driver::poll(std::size_t record) {
  if (CurrentPhase >= Phase::Done)
    return;
  const RequestRecord &wanted = Outcome.Requests.records()[record];
  enqueue({CallKind::Poll,
           record,
           {http::Method::Get, absl::StrCat("/v1/requests/", wanted.Id.str()),
            keyOf(Options, wanted.Planned.Team)}});
}

void Driver::applyFault(const Fault &fault) {
  const Status status = apply(fault);
  Line(Event::FaultApplied)
      .with("kind", nameIn(FaultKindNames, fault.Kind))
      .with("pid", fault.Pid)
      .with("ok", isOk(status));
  Outcome.Faults.push_back(fault);
}

void Driver::handle(FleetSample sample) {
  sample.At = elapsed();
  checkSample(sample);
  Outcome.Samples.push_back(std::move(sample));
}

void Driver::checkSample(const FleetSample &sample) {
  const auto check = [this](uint64_t n, ViolationKind kind,
                            absl::string_view what) {
    if (n > 0)
      Outcome.Requests.addViolation(kind, std::string(what));
  };
  const StandinCounts &counts = sample.Standins;
  check(counts.ConcurrentDuplicates, ViolationKind::RanTwice,
        "a task ran twice at once");
  check(counts.RepeatedOnce, ViolationKind::RanTwice,
        "a request that is not idempotent started twice");
  check(counts.OverCapacity, ViolationKind::Overfull,
        "a worker was given more than it holds");
  check(counts.SlotViolations, ViolationKind::Overfull,
        "a runner was given more than its slots");
  check(counts.AfterLeaving, ViolationKind::WorkAfterLeaving,
        "a runner that was leaving got a request");
  // The stand-ins are sampled at slightly different times, so a team counts as
  // over its ceiling only if two consecutive samples show it.
  std::set<std::string> over;
  for (const auto &[team, running] : counts.Running)
    if (const auto it = Options.Ceilings.find(team);
        it != Options.Ceilings.end() && !running.fitsIn(it->second))
      over.insert(team);
  for (const std::string &team : over)
    if (OverCeiling.contains(team))
      Outcome.Requests.addViolation(ViolationKind::OverCeiling, "team " + team);
  OverCeiling = std::move(over);
}

void Driver::advance() {
  const bool isFed = NextStep == Options.Steps.size();
  const Duration lastStep =
      Options.Steps.empty() ? Duration() : Options.Steps.back().At;
  const Duration lastFault =
      Options.Faults.empty() ? Duration() : Options.Faults.back().At;
  const bool isOver =
      elapsed() > std::max(lastStep, lastFault) + Options.MaxDrain;
  if (CurrentPhase == Phase::Feeding && isFed && elapsed() >= lastFault)
    CurrentPhase = Phase::Draining;
  const bool isIdle = InFlight == 0 && Queue.empty();
  if (CurrentPhase == Phase::Draining &&
      ((Outcome.Requests.pending() == 0 && isIdle) || isOver))
    confirmAll();
  else if (CurrentPhase == Phase::Confirming && (isIdle || isOver))
    finish();
}

void Driver::confirmAll() {
  CurrentPhase = Phase::Confirming;
  for (std::size_t i = 0; i < Outcome.Requests.records().size(); ++i) {
    const RequestRecord &record = Outcome.Requests.records()[i];
    if (record.Planned.Kind == StepKind::Submit &&
        record.State == RequestState::Ended)
      poll(i);
  }
}

void Driver::finish() {
  CurrentPhase = Phase::Done;
  Queue.clear();
  Outcome.Requests.close();
  Outcome.Took = elapsed();
  Outcome.IsComplete = true;
  OnEnd();
}

} // namespace jujube::load
