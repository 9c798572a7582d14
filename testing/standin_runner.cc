#include "testing/standin_runner.h"

#include <algorithm>
#include <cmath>

#include "testing/standin_payload.h"

namespace jujube::testing {
namespace {

using entry::RunAnswer;
using entry::RunState;

// Requests may still arrive for this long after a runner announced its leave.
constexpr Duration LeaveGrace = Duration::seconds(2);
constexpr int64_t LateFactor = 10;
constexpr std::size_t MaxRecords = 20000;

StandinReply answerTo(const entry::RunCall &call, int status,
                      const std::string &body) {
  return {status,
          entry::encodeRunnerBody(RunAnswer{call.Request, call.Attempt, body})};
}

} // namespace

StandinRunner::StandinRunner(StandinRunnerOptions options)
    : Options(std::move(options)), Random(Options.Seed) {}

Duration StandinRunner::serviceTime() {
  const auto mean = static_cast<double>(Options.MeanService.millis());
  std::exponential_distribution<double> draw(1.0 / std::max(mean, 1.0));
  return Duration::millis(std::llround(std::min(draw(Random), 10 * mean)));
}

Misbehaviour StandinRunner::habit() {
  std::uniform_int_distribution<uint32_t> draw(1, 1000);
  return draw(Random) <= Options.HabitPermille ? Options.Habit
                                               : Misbehaviour::None;
}

void StandinRunner::remember(const AttemptKey &key, Record record) {
  Records[key] = std::move(record);
  RecordOrder.push_back(key);
  if (RecordOrder.size() <= MaxRecords)
    return;
  Records.erase(RecordOrder.front());
  RecordOrder.pop_front();
}

StandinRunner::Plan StandinRunner::refuse(const entry::RunCall &call,
                                          const std::string &why, Instant now) {
  ++Stats.Refused;
  return {now, answerTo(call, entry::RefusedStatus, why), false};
}

StandinRunner::Plan StandinRunner::arrive(const entry::RunCall &call,
                                          Instant now) {
  // Entry hosts learn of the leave during the grace period.
  if (LeftAt <= now - LeaveGrace) {
    ++Stats.AfterLeaving;
    return refuse(call, "the runner has left", now);
  }
  if (call.Start != Options.Announcement.Start)
    return refuse(call, "meant for another start of the runner", now);
  if (Records.contains({call.Request, call.Attempt}))
    return refuse(call, "the attempt is known already", now);
  if (InProgress >= Options.Announcement.Slots) {
    ++Stats.SlotViolations;
    return refuse(call, "all slots are taken", now);
  }
  const RunInstructions instructions = parseRunInstructions(call.Payload);
  if (instructions.IsOnce && ++OnceStarts[call.Request] > 1)
    ++Stats.RepeatedOnce;
  ++Stats.Started;
  Stats.PeakInProgress = std::max(Stats.PeakInProgress, ++InProgress);
  const Misbehaviour habit = this->habit();
  Duration service = instructions.RunTime.value_or(serviceTime());
  if (habit == Misbehaviour::Late)
    service = service * LateFactor;
  const bool isTimeout = service > call.Timeout;
  const bool fails =
      isTimeout || instructions.Fails || habit == Misbehaviour::Failing;
  const std::string body = isTimeout ? "timeout" : instructions.Answer;
  remember(
      {call.Request, call.Attempt},
      {RunState::Running, fails ? RunState::Failed : RunState::Answered, body});
  Plan plan{
      now + std::min(service, call.Timeout),
      answerTo(call, fails ? entry::FailedStatus : entry::RanStatus, body),
      true};
  plan.Reply.IsCut =
      habit == Misbehaviour::Lost || habit == Misbehaviour::Truncated;
  if (habit == Misbehaviour::Mismatched)
    plan.Reply.Body = entry::encodeRunnerBody(
        RunAnswer{RequestId("other.request"), call.Attempt, body});
  return plan;
}

void StandinRunner::finish(const RequestId &id, uint32_t attempt) {
  --InProgress;
  ++Stats.Finished;
  const auto it = Records.find({id, attempt});
  if (it != Records.end())
    it->second.State = it->second.Final;
}

StandinReply StandinRunner::inquire(const entry::InquiryCall &call) {
  const AttemptKey key{call.Request, call.Attempt};
  if (call.Start != Options.Announcement.Start)
    return {200, entry::encodeRunnerBody(entry::InquiryAnswer{
                     call.Request, call.Attempt, RunState::Forgotten, ""})};
  if (!Records.contains(key))
    remember(key, {RunState::Refused, RunState::Refused, "not seen before"});
  const Record &record = Records.at(key);
  return {200, entry::encodeRunnerBody(entry::InquiryAnswer{
                   call.Request, call.Attempt, record.State, record.Body})};
}

void StandinRunner::leave(Instant now) {
  if (Options.Announcement.IsLeaving)
    return;
  Options.Announcement.IsLeaving = true;
  LeftAt = now;
}

} // namespace jujube::testing
